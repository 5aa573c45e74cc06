"""Detection of datagrams that arrive twice or late."""

from boragegw import utils

#: Maximum number of processes whose sequence numbers are kept.
MAX_SENDERS = 20_000


class SequenceFilter:
    """Accepts the messages of each process in the order in which they were sent."""

    def __init__(self):
        self._latest = utils.BoundedDict(MAX_SENDERS)

    def accepts(self, sender, incarnation, sequence):
        """Return whether a message is later than all others of this process.

        :param incarnation: number of the start of the process.
        """
        key = (sender, incarnation)
        if sequence <= self._latest.get(key, -1):
            return False
        self._latest.add(key, sequence)
        return True
