"""Membership by gossiped heartbeats: which entries are alive, at which revision."""

from boragegw import blackboard, peers

#: Random peers that each round of heartbeats is sent to.
FANOUT = 3
#: Other members that a heartbeat describes in full.
FULL_MEMBERS = 2
#: Other members that a heartbeat reports on, in full or by their beat alone.
MAX_MEMBERS = 20
#: Most peers that a heartbeat is broadcast to.
BROADCAST_FANOUT = 32


class MembershipController:
    """Writes the membership section and sends this process's heartbeats.

    Size and rate of the heartbeats are bounded independently of the fleet's size.

    :param network: a :class:`~boragegw.peers.PeerNetwork`.
    :param policy: a :class:`~boragegw.decisions.MembershipPolicy`.
    :param seeds: peer addresses contacted besides those that the platform lists.

    ``sealed_tables`` holds the sealed key tables of stopped processes by incarnation.
    ``on_heartbeat`` is called with the sender's member for each heartbeat, and
    ``on_new_member`` with each member that was unknown before.
    """

    def __init__(self, board, clock, random_state, network, policy, seeds=()):
        self.board = board
        self.clock = clock
        self.random_state = random_state
        self.network = network
        self.policy = policy
        self.seeds = seeds
        self.sealed_tables = {}
        self.on_heartbeat = lambda member: None
        self.on_new_member = lambda member: None
        self._beat = 0

    def own_member(self):
        """Return the member record of this process, as sent to its peers."""
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
            sealed=tuple(self.sealed_tables),
        )

    def _next_heartbeat(self):
        self._beat += 1
        now = self.clock.now()
        alive = list(self.board.membership.alive(now))
        sample = self._sample(alive, MAX_MEMBERS)
        full = [(member, now - member.heard_at) for member in sample[:FULL_MEMBERS]]
        beats = [
            peers.Beat(member.incarnation, member.beat, now - member.heard_at)
            for member in sample[FULL_MEMBERS:]
        ]
        return peers.Heartbeat(self.own_member(), full, beats)

    def _sample(self, rows, count):
        return self.random_state.sample(rows, min(count, len(rows)))

    def send_heartbeats(self):
        """Send one round of heartbeats to a few random peers.

        One known address that is not alive in this process's view is included. After
        a network partition each side has dropped the other from its view; without
        that heartbeat the two sides would not find each other again.
        """
        now = self.clock.now()
        alive = [m.peer_address for m in self.board.membership.alive(now)]
        own = self.board.identity.peer_address
        listed = [vm.peer_address for vm in self.board.fleet.entries()]
        known = set(alive) | {own}
        not_alive = [a for a in (*listed, *self.seeds) if a and a not in known]
        targets = self._sample(sorted(set(alive) - {own}), FANOUT)
        targets += self._sample(sorted(set(not_alive)), 1 if alive else FANOUT)
        message = self._next_heartbeat()
        for address in targets:
            self.network.send(address, message)
        self.policy.sweep(self.board.membership, now)

    def broadcast_heartbeat(self):
        """Send a heartbeat to the live peers at once.

        It spreads a new revision or a change of this process's state without delay.
        """
        now = self.clock.now()
        alive = [m.peer_address for m in self.board.membership.alive(now)]
        message = self._next_heartbeat()
        for address in self._sample(alive, BROADCAST_FANOUT):
            self.network.send(address, message)

    def handle_heartbeat(self, heartbeat):
        """Merge a received heartbeat into the membership section."""
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
            self.on_new_member(member)

    def sealed_table_holders(self, incarnation):
        """Return the live peers that hold the sealed key table of a stopped process.

        :param incarnation: incarnation of the stopped process.
        """
        now = self.clock.now()
        alive = self.board.membership.alive(now)
        return [member for member in alive if incarnation in member.sealed]

    def sealed_table_recipients(self, count):
        """Return up to ``count`` serving peers to hand a sealed key table to.

        Peers of other data centres come first; the last one is of this data centre
        if there is one.
        """
        own = self.board.identity
        serving = sorted(
            self.board.membership.serving(self.clock.now()), key=lambda m: m.name
        )
        self.random_state.shuffle(serving)
        serving.sort(key=lambda member: member.data_centre == own.data_centre)
        chosen = serving[: count - 1] + serving[-1:]
        unique = {member.incarnation: member for member in chosen}
        return list(unique.values())

    def drop_expired_sealed_tables(self):
        """Drop the sealed key tables whose retention has ended."""
        wall = self.clock.wall()
        for incarnation, table in list(self.sealed_tables.items()):
            if table.keep_until <= wall:
                del self.sealed_tables[incarnation]
