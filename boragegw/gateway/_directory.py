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
    :param min_reaching_share: least share of the processes that must reach backend
        servers for the others to be left out. Guards against a fleet of which a few
        processes get all callers because the servers of all services are down or slow.
    :param max_late_share: largest share of the processes that may be left out because
        they run late; they are as slow as their machines, or have too many callers.
    :param late_levels: number of levels of lateness above the median from which a
        process is left out. The levels themselves have hysteresis.
    """

    _parameter_constraints = {
        "min_local": utils.Interval(int, 0, 1000),
        "max_remote": utils.Interval(int, 0, 1000),
        "max_addresses": utils.Interval(int, 1, 64),
        "min_reaching_share": utils.Interval(float, 0, 1),
        "max_late_share": utils.Interval(float, 0, 1),
        "late_levels": utils.Interval(int, 1, 9),
    }

    def __init__(
        self,
        min_local=2,
        max_remote=2,
        max_addresses=64,
        min_reaching_share=0.3,
        max_late_share=0.3,
        late_levels=2,
    ):
        self.min_local = min_local
        self.max_remote = max_remote
        self.max_addresses = max_addresses
        self.min_reaching_share = min_reaching_share
        self.max_late_share = max_late_share
        self.late_levels = late_levels

    def choose(self, members, data_centre, random_state, cut_off=frozenset()):
        """Return the members whose addresses a caller in ``data_centre`` gets.

        :param members: :class:`Member` of all processes that accept requests.
        :param cut_off: names of those that reach no backend server of any service.
        """
        self._check_params()
        members = self._preferred(members, cut_off)
        local = [m for m in members if m.data_centre == data_centre]
        remote = [m for m in members if m.data_centre != data_centre]
        latest = self._first_late_level(members)
        local = self._without_late(local, latest, self.min_local)
        remote = self._without_late(remote, latest, self.max_remote)
        random_state.shuffle(local)
        random_state.shuffle(remote)
        if len(local) < self.min_local:
            return (local + remote)[: self.max_addresses]
        return (local + remote[: self.max_remote])[: self.max_addresses]

    def _preferred(self, members, cut_off):
        """Return the members that reach servers, or all if these are too few."""
        reaching = [m for m in members if m.name not in cut_off]
        if len(reaching) < self.min_reaching_share * len(members):
            return members
        return reaching

    def _first_late_level(self, members):
        """Return the level of lateness from which processes are left out."""
        levels = sorted(m.lateness for m in members)
        return self.late_levels + (levels[(len(levels) - 1) // 2] if levels else 0)

    def _without_late(self, members, level, minimum):
        """Return the members without the latest, but at least a minimum of them."""
        late = [m for m in members if m.lateness >= level]
        if not late:
            return members
        late.sort(key=lambda m: m.lateness, reverse=True)
        allowed = min(int(self.max_late_share * len(members)), len(members) - minimum)
        left_out = {m.name for m in late[: max(0, allowed)]}
        return [m for m in members if m.name not in left_out]
