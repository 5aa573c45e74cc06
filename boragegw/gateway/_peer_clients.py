"""Clients of other processes by name."""

from boragegw.gateway import _sources


class PeerClients:
    """Keeps one client, that of the process which was asked last.

    :param membership: the :class:`Membership`.
    :param peer_source: function from a peer's address to a :class:`Source`.
    """

    def __init__(self, membership, peer_source):
        self.membership = membership
        self.peer_source = peer_source
        self._address = None
        self._client = None

    def find(self, name):
        """Return the :class:`Source` of the process ``name``.

        :raises SourceError: if it is out of sight.
        """
        alive = {m.name: m.peer_address for m in self.membership.alive()}
        address = alive.get(name)
        if address is None:
            raise _sources.SourceError(f"{name} is out of sight")
        if self._address != address:
            if self._client is not None:
                self._client.close()
            self._address, self._client = address, self.peer_source(address)
        return self._client
