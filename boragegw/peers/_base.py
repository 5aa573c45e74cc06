"""Abstract interface of the network between entry processes."""

import abc
import dataclasses

from boragegw import errors


class PeerError(errors.BoragegwError):
    """A peer was unreachable or refused a request, or its message was malformed.

    :param sent: whether a byte of the message may have reached the peer.
    """

    def __init__(self, detail, sent=False):
        super().__init__("peer", detail)
        self.sent = sent


@dataclasses.dataclass(frozen=True, slots=True)
class KnownConfiguration:
    """State that a process already holds, so that a peer sends only newer parts.

    :param revision: current configuration revision.
    :param version: current version of the list of VMs.
    :param hashes: SHA-256 hashes of the documents held, as hexadecimal text.
    """

    revision: int = 0
    version: int = 0
    hashes: frozenset = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationBundle:
    """Parts of a peer's configuration that the requesting process does not hold.

    Parts that are not newer are empty.

    :param head: raw head document.
    :param documents: raw documents by name.
    :param vms: raw list of VMs.
    """

    head: bytes
    documents: dict
    vms: bytes


class PeerNetwork(abc.ABC):
    """Sends datagrams, forwarded requests and bulk transfers to entry processes."""

    @abc.abstractmethod
    def send(self, address, message):
        """Send ``message`` as a datagram, which may be lost."""

    @abc.abstractmethod
    async def forward(self, address, incarnation, request):
        """Forward ``request`` to the process ``incarnation`` at ``address``.

        :returns: the process's :class:`~boragegw.messages.Response`.
        :raises PeerError: if that process does not respond.
        """

    @abc.abstractmethod
    async def fetch_configuration(self, address, known):
        """Return a peer's :class:`ConfigurationBundle`.

        :param known: :class:`KnownConfiguration` of this process.
        :raises PeerError: if the peer returns none.
        """

    @abc.abstractmethod
    async def send_sealed_table(self, address, sealed):
        """Send a :class:`~boragegw.decisions.SealedTable` to a peer, which stores it.

        :raises PeerError: unless the peer has confirmed that it holds the whole table.
        """

    async def aclose(self):  # noqa: B027 - optional
        """Close all connections."""
