"""Choice of the gateway processes whose addresses the directory returns to callers."""

from boragegw import utils


class DirectoryPolicy(utils.Parameterized):
    """Chooses the processes whose addresses a caller gets.

    :param min_local: minimum number of processes in the caller's data centre that
        accept requests. With fewer, the caller gets the processes of all data centres,
        so that it has enough alternatives when one process is lost.
    :param max_remote: maximum number of processes of other data centres otherwise. They
        serve the caller if its data centre loses power.
    :param max_addresses: maximum number of addresses in a response.
    """

    _parameter_constraints = {
        "min_local": utils.Interval(int, 0, 1000),
        "max_remote": utils.Interval(int, 0, 1000),
        "max_addresses": utils.Interval(int, 1, 64),
    }

    def __init__(self, min_local=2, max_remote=2, max_addresses=64):
        self.min_local = min_local
        self.max_remote = max_remote
        self.max_addresses = max_addresses

    def choose(self, members, data_centre, random_state):
        """Return the members whose addresses a caller in ``data_centre`` gets.

        :param members: :class:`Member` of all processes that accept requests.
        """
        self._check_params()
        local = [m for m in members if m.data_centre == data_centre]
        remote = [m for m in members if m.data_centre != data_centre]
        random_state.shuffle(local)
        random_state.shuffle(remote)
        if len(local) < self.min_local:
            return (local + remote)[: self.max_addresses]
        return (local + remote[: self.max_remote])[: self.max_addresses]
