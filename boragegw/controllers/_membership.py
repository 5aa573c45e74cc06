"""Heartbeats: who is there, with which configuration."""

from boragegw import blackboard, peers

FANOUT = 3
FULL_MEMBERS = 2
BEATS = 20
BROADCAST = 32


class MembershipController:
    """Writes the membership section; sends this process's heartbeats.

    The messages are of constant size and rate, whatever the size of the fleet.

    :param policy: a :class:`~boragegw.decisions.MembershipPolicy`.
    :param seeds: peer addresses asked besides those that the platform lists.
    :param on_heartbeat: called with each sender's member.
    :param on_newcomer: called with each member not heard of before.
    """

    def __init__(self, board, clock, random_state, network, policy, seeds=()):
        self.board = board
        self.clock = clock
        self.random_state = random_state
        self.network = network
        self.policy = policy
        self.seeds = seeds
        self.sealed = {}
        self.on_heartbeat = lambda member: None
        self.on_newcomer = lambda member: None
        self._beat = 0

    def own_member(self):
        """Return this process as its peers see it."""
        board = self.board
        identity = board.identity
        configuration = board.configuration
        return blackboard.Member(
            incarnation=identity.incarnation,
            name=identity.name,
            data_centre=identity.data_centre,
            caller_address=identity.caller_address,
            peer_address=identity.peer_address,
            beat=self._beat,
            state=board.lifecycle.state,
            revision=configuration.revision,
            fleet_version=board.fleet.version,
            confirmed_age=self.clock.now() - configuration.confirmed_at,
            sealed=tuple(self.sealed),
        )

    def _heartbeat(self):
        self._beat += 1
        now = self.clock.now()
        alive = list(self.board.membership.alive(now))
        sample = self._sample(alive, BEATS)
        full = [(member, now - member.heard_at) for member in sample[:FULL_MEMBERS]]
        beats = [
            peers.Beat(member.incarnation, member.beat, now - member.heard_at)
            for member in sample[FULL_MEMBERS:]
        ]
        return peers.Heartbeat(self.own_member(), full, beats)

    def _sample(self, rows, count):
        return self.random_state.sample(rows, min(count, len(rows)))

    def send_heartbeats(self):
        """Send one round to a few random peers, one of them perhaps out of sight.

        Guards against a partition that heals unseen: each side has dropped the other
        from its view, so somebody must still be written to who has not been heard.
        """
        now = self.clock.now()
        alive = [m.peer_address for m in self.board.membership.alive(now)]
        own = self.board.identity.peer_address
        listed = [vm.peer_address for vm in self.board.fleet.entries()]
        known = set(alive) | {own}
        unseen = [a for a in (*listed, *self.seeds) if a and a not in known]
        targets = self._sample(sorted(set(alive) - {own}), FANOUT)
        targets += self._sample(sorted(set(unseen)), 1 if alive else FANOUT)
        message = self._heartbeat()
        for address in targets:
            self.network.send(address, message)
        self.policy.sweep(self.board.membership, now)

    def announce(self):
        """Tell everybody in sight at once: a new revision, or that this one leaves."""
        now = self.clock.now()
        alive = [m.peer_address for m in self.board.membership.alive(now)]
        message = self._heartbeat()
        for address in self._sample(alive, BROADCAST):
            self.network.send(address, message)

    def take_heartbeat(self, heartbeat):
        """Take in a heartbeat."""
        now = self.clock.now()
        for member, age in heartbeat.members:
            self._merge(member, now, age)
        for beat in heartbeat.beats:
            if beat.incarnation != self.board.identity.incarnation:
                self.policy.merge_heartbeat_counter(
                    self.board.membership, beat.incarnation, beat.beat, now, beat.age
                )
        self._merge(heartbeat.sender, now, 0.0)
        self.on_heartbeat(heartbeat.sender)

    def _merge(self, member, now, age):
        if member.incarnation == self.board.identity.incarnation:
            return
        section = self.board.membership
        is_new = member.incarnation not in section.members
        self.policy.merge(section, member, now, age)
        if is_new and member.incarnation in section.members:
            self.on_newcomer(member)

    def keepers_of(self, incarnation):
        """Return the peers that hold the sealed key table of a stopped process."""
        now = self.clock.now()
        alive = self.board.membership.alive(now)
        return [member for member in alive if incarnation in member.sealed]

    def successors(self, count):
        """Return peers that a sealed table is handed to, other data centres too."""
        own = self.board.identity
        serving = sorted(
            self.board.membership.serving(self.clock.now()), key=lambda m: m.name
        )
        self.random_state.shuffle(serving)
        serving.sort(key=lambda member: member.data_centre == own.data_centre)
        chosen = serving[: count - 1] + serving[-1:]
        unique = {member.incarnation: member for member in chosen}
        return list(unique.values())

    def sweep_sealed(self):
        """Forget sealed tables whose time is over."""
        wall = self.clock.wall()
        for incarnation, table in list(self.sealed.items()):
            if table.keep_until <= wall:
                del self.sealed[incarnation]
