"""Membership: merges heartbeats into the view of the other entries."""

from boragegw import blackboard, utils


class MembershipPolicy(utils.Parameterized):
    """Merges heartbeats and removes silent members.

    :param forget_after: seconds without a heartbeat after which a member is removed.
    :param capacity: maximum number of members kept, which bounds the table.
    """

    _parameter_constraints = {
        "forget_after": utils.Interval(float, 1, 86_400),
        "capacity": utils.Interval(int, 1, 100_000),
    }

    def __init__(self, forget_after=600.0, capacity=2000):
        self.forget_after = forget_after
        self.capacity = capacity

    def merge(self, section, incoming, now, age=0.0):
        """Merge the received state of a member; return whether it was new.

        Each heartbeat counts once. An old heartbeat that arrives late, or is forwarded
        by one peer after another, does not make a dead member look alive.

        :param incoming: a :class:`~boragegw.blackboard.Member`.
        :param age: seconds since the sender received the heartbeat.
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

    def merge_heartbeat_counter(self, section, incarnation, beat, now, age):
        """Merge a heartbeat without member data; return whether the member is known.

        :param beat: heartbeat counter of the member.
        :param age: seconds since the sender received the heartbeat.
        """
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
        """Remove members that have been silent for ``forget_after`` seconds."""
        for incarnation, member in list(section.members.items()):
            if now - member.heard_at > self.forget_after:
                del section.members[incarnation]

    def live_entries(self, board, now):
        """Return the entries that callers may use: this one and its live peers."""
        serving = board.membership.serving(now)
        own = board.lifecycle.state is blackboard.MemberState.SERVING
        return self._listed(board, serving, own)

    def working_entries(self, board, now):
        """Return the entries that may send work to backend servers.

        Guards against a gap in the warm-up of backend servers while an entry leaves.
        Its callers still use it for a while, so it must keep the cold backend servers
        that it warms up, and no other entry may warm them up meanwhile. It hands them
        over when it accepts no more work.
        """
        working = board.membership.working(now)
        own = board.lifecycle.state in blackboard.WORKING_STATES
        return self._listed(board, working, own)

    @staticmethod
    def _listed(board, members, own):
        """Return the latest incarnation of each member, and this entry if ``own``.

        The platform's list is delayed. It removes an entry that it marks as leaving,
        but it never adds one; only a recent heartbeat does.
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
