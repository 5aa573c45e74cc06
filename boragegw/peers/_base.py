"""The interface among entry processes."""

import abc
import dataclasses

from boragegw import errors


class PeerError(errors.BoragegwError):
    """A peer could not be reached, or refused.

    :param sent: whether a byte of the message may have reached the peer.
    """

    def __init__(self, detail, sent=False):
        super().__init__("peer", detail)
        self.sent = sent


@dataclasses.dataclass(frozen=True, slots=True)
class KnownConfiguration:
    """What a learner has, so that a peer sends only what is new.

    :param revision: configuration revision in force.
    :param version: version of the list of VMs.
    :param hashes: SHA-256 of the documents held, as hexadecimal text.
    """

    revision: int = 0
    version: int = 0
    hashes: frozenset = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationBundle:
    """What a peer has that a learner has not; what is not newer is empty."""

    head: bytes
    documents: dict
    vms: bytes


class PeerNetwork(abc.ABC):
    """Datagrams, forwards and bulk transfers between entry processes."""

    @abc.abstractmethod
    def send(self, address, message):
        """Send ``message`` as a datagram; it may be lost."""

    @abc.abstractmethod
    async def forward(self, address, incarnation, request):
        """Have the process ``incarnation`` at ``address`` carry ``request``.

        :returns: its :class:`~boragegw.messages.Response`.
        :raises PeerError: if there is no answer from that process.
        """

    @abc.abstractmethod
    async def fetch_configuration(self, address, known):
        """Return a peer's :class:`ConfigurationBundle`.

        :param known: a :class:`KnownConfiguration`.
        :raises PeerError: if there is none.
        """

    @abc.abstractmethod
    async def send_sealed_table(self, address, sealed):
        """Give a :class:`~boragegw.decisions.SealedTable` to a peer to keep.

        :raises PeerError: unless the peer has confirmed that it holds all of it.
        """

    async def aclose(self):  # noqa: B027 - optional
        """Close all connections."""
