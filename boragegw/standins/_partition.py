"""Partitions between hosts of the in-memory network."""

import dataclasses
import enum

#: Seconds between the attempts of a host to open a connection while nobody responds.
SYN_INTERVALS_SECONDS = (1.0, 2.0, 4.0, 8.0, 16.0)


class PartitionMode(enum.Enum):
    """What happens to open and to new connections across a partition."""

    SILENT = "packets are lost, new connections hang"
    RESET = "open and new connections are reset"
    REFUSE = "packets are lost, new connections are refused"
    KEEP_AND_REFUSE = "open connections work, new ones are refused"
    KEEP_AND_HANG = "open connections work, new ones hang"


_PACKET_LOSS_MODES = (PartitionMode.SILENT, PartitionMode.REFUSE)
_REFUSING_MODES = (PartitionMode.REFUSE, PartitionMode.KEEP_AND_REFUSE)


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Partition:
    """A partition that separates each of ``hosts`` from each of ``others``."""

    hosts: frozenset
    others: frozenset
    mode: PartitionMode

    @property
    def loses_packets(self):
        """Whether packets of open connections are lost until the partition ends."""
        return self.mode in _PACKET_LOSS_MODES

    @property
    def resets_connections(self):
        """Whether open connections are reset when the partition begins."""
        return self.mode is PartitionMode.RESET

    def separates(self, one, other):
        """Return whether the partition lies between two hosts."""
        return (one in self.hosts and other in self.others) or (
            other in self.hosts and one in self.others
        )

    def check_new_connection(self):
        """Raise the error that a new connection gets; return if it hangs."""
        if self.mode in _REFUSING_MODES:
            raise ConnectionRefusedError("refused by the network")
        if self.resets_connections:
            raise ConnectionResetError("reset by the network")
