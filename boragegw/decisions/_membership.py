"""Membership: what a heartbeat changes in the view of the other entries."""

from boragegw import blackboard, utils


class MembershipPolicy(utils.Parameterized):
    """Merges heartbeats and forgets the silent.

    :param forget: seconds of silence after which a peer is forgotten.
    :param capacity: most peers remembered; a cap for every table.
    """

    _parameter_constraints = {
        "forget": utils.Interval(float, 1, 86_400),
        "capacity": utils.Interval(int, 1, 100_000),
    }

    def __init__(self, forget=600.0, capacity=2000):
        self.forget = forget
        self.capacity = capacity

    def merge(self, section, incoming, now, age=0.0):
        """Take in what was heard of one member; return whether it was news.

        A beat counts once: an old beat that arrives by a slow way, or is told by one
        peer after another, does not make a dead member look alive.

        :param incoming: a :class:`~boragegw.blackboard.Member`.
        :param age: seconds since the teller heard it.
        """
        self._check_params()
        known = section.members.get(incoming.incarnation)
        if known is None:
            if len(section.members) >= self.capacity:
                self.sweep(section, now)
            if len(section.members) >= self.capacity:
                return False
            incoming.heard_at = now - age
            section.members[incoming.incarnation] = incoming
            self._retire_predecessors(section, incoming)
            return True
        if incoming.beat <= known.beat:
            return False
        incoming.heard_at = max(known.heard_at, now - age)
        section.members[incoming.incarnation] = incoming
        return True

    def merge_beat(self, section, incarnation, beat, now, age):
        """Take in a bare beat; return False if the member is not known."""
        known = section.members.get(incarnation)
        if known is None:
            return False
        if beat > known.beat:
            known.beat = beat
            known.heard_at = max(known.heard_at, now - age)
        return True

    @staticmethod
    def _retire_predecessors(section, incoming):
        """Mark earlier incarnations at the same address as stopped."""
        for member in section.members.values():
            if member is incoming or member.peer_address != incoming.peer_address:
                continue
            if member.heard_at <= incoming.heard_at:
                member.state = blackboard.MemberState.STOPPED

    def sweep(self, section, now):
        """Forget members that have been silent for long."""
        for incarnation, member in list(section.members.items()):
            if now - member.heard_at > self.forget:
                del section.members[incarnation]

    def live_entries(self, board, now):
        """Return the entries callers may use: this one and the peers in sight."""
        serving = board.membership.serving(now)
        own = board.lifecycle.state is blackboard.MemberState.SERVING
        return self._listed(board, serving, own)

    def working_entries(self, board, now):
        """Return the entries that may send work to backend servers.

        Guards against a gap while an entry leaves: its callers still come for a
        while, so it must keep the cold backend servers that it warms, and no other
        entry may warm them meanwhile. It hands them over when it takes no new work.
        """
        working = board.membership.working(now)
        own = board.lifecycle.state in blackboard.WORKING_STATES
        return self._listed(board, working, own)

    @staticmethod
    def _listed(board, members, own):
        """Return ``members`` by name, and this entry if ``own``.

        The platform's list lags: it can remove an entry (leaving) but its silence
        never adds one; only a recent beat does.
        """
        leaving = {
            vm.name
            for vm in board.fleet.vms.values()
            if vm.role == blackboard.ROLE_ENTRY and vm.leaving
        }
        kept = [
            member
            for member in members
            if member.name not in leaving and member.name != board.identity.name
        ]
        by_name = {}
        for member in kept:
            known = by_name.get(member.name)
            if known is None or member.heard_at > known.heard_at:
                by_name[member.name] = member
        live = list(by_name.values())
        if own:
            live.append(board.identity)
        return live
