"""Which gateway processes live: heartbeats between them, in typed datagrams."""

import asyncio
import random

import msgspec

from boragegw.gateway import _peer_messages

#: Seconds between heartbeats.
INTERVAL = 0.5
#: Seconds without news after which a process counts as gone. Three heartbeats may be
#: lost in a row on a link that loses 3% of its packets once in 37,000 times.
SILENCE = 2.0
#: The same with more processes than :data:`FANOUT`, whose news come through others: 2 s
#: took 4 in 10,000 processes that live for gone at any moment.
CROWD_SILENCE = 3.0
#: Seconds for which a process out of sight is counted among those that may be alive.
MAYBE_ALIVE = 30.0
#: Seconds after the start in which others may not have been heard yet, and the number
#: of processes that is assumed until then. Guards against a fleet that starts at once,
#: as after a power loss: each process would take the whole budget of repeats and the
#: whole rate of each cold server for its own.
LEARNING = 2.0
UNKNOWN_FLEET = 24
#: Processes to which a heartbeat goes; with more, news spread in a few steps.
FANOUT = 24
#: News of other processes in a heartbeat: one to a process that has long heard
#: everybody; as many as fit in 1,200 bytes to a new one, or with more processes than
#: :data:`FANOUT`. New processes are told of first, to everybody.
NEWS = 1
MUCH_NEWS = 8
#: With more processes than :data:`FANOUT`: those to which a beat goes, those of them in
#: each other data centre, the pulses of others in a beat, and the number of beats of
#: which one goes to the seeds. Bytes between data centres are dear, and news that has
#: arrived in a data centre spreads inside it.
CROWD_FANOUT = 16
CROWD_AWAY = 3
CROWD_NEWS = 24
CROWD_SEEDS_EVERY = 4
#: Seconds for which a process counts as new.
NEW_FOR = 3.0
#: Of so many beats one is a heartbeat and the others are pulses, to processes that have
#: long heard everybody. 13 processes then send 14 KB/s together instead of 31.
FULL_EVERY = 4


class KnownPeer:
    """Another process, when it was last heard of, and since when it is known."""

    __slots__ = ("heard_at", "known_since", "member")

    def __init__(self, member, heard_at, known_since):
        self.member = member
        self.heard_at = heard_at
        self.known_since = known_since


class Membership(asyncio.DatagramProtocol):
    """Sends and takes heartbeats.

    :param own: this process's :class:`Member`, updated by its owner.
    :param seeds: function that returns ``(host, port)`` pairs to try.
    :param on_change: called after anything about the others has changed.
    """

    def __init__(self, board, own, seeds, *, now, log, random_state=None):
        self.board = board
        self.own = own
        self.seeds = seeds
        self.now = now
        self.log = log
        self.random_state = random_state or random.Random()
        self.on_crash = None
        self.on_change = None
        self._known = {}
        self._by_incarnation = {}
        self._started_at = now()
        board.processes = UNKNOWN_FLEET
        self._lost_sight = set()
        self._transport = None
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder(_peer_messages.Datagram).decode

    # Views.

    def alive(self):
        """Return the :class:`Member` of each other process in sight."""
        return [k.member for k in self._fresh()]

    def ready(self):
        """Return the members that take requests, this one included if it does."""
        members = [m for m in self.alive() if m.life == _peer_messages.Life.READY]
        if self.own.life == _peer_messages.Life.READY:
            members.append(self.own)
        return members

    def latest_revision(self):
        """Return the greatest revision that a process in sight knows."""
        return max((m.revision for m in self.alive()), default=0)

    # Sending.

    def connection_made(self, transport):
        """Take the transport."""
        self._transport = transport

    def tick(self):
        """Send a heartbeat; call this each :data:`INTERVAL`."""
        self.own.beat += 1
        self._note_silence()
        introduction = self._heartbeat(MUCH_NEWS)
        full = self.own.beat % FULL_EVERY == 0
        usual = self._heartbeat(NEWS) if full else self._pulses()
        acquainted = self._acquainted()
        for address in self._targets():
            self._send(address, usual if address in acquainted else introduction)

    def announce(self):
        """Tell all in sight at once, as for a planned stop."""
        self.own.beat += 1
        beat = self._heartbeat(NEWS)
        for member in self.alive():
            self._send(_pair(member.peer), beat)

    def spread_crash(self, fingerprint):
        """Tell all in sight that a request has crashed a backend server."""
        datagram = self._encode(_peer_messages.CrashNotice(fingerprint))
        for member in self.alive():
            self._send(_pair(member.peer), datagram)

    def _fresh(self):
        oldest = self.now() - self._silence
        return [k for k in self._known.values() if k.heard_at >= oldest]

    @property
    def _silence(self):
        return SILENCE if len(self._known) <= FANOUT else CROWD_SILENCE

    def _newcomers(self, fresh):
        oldest = self.now() - NEW_FOR
        return [k for k in fresh if k.known_since > oldest]

    def _acquainted(self):
        """Return the addresses of processes that surely know everybody."""
        if self.now() < self._started_at + NEW_FOR:
            return set()
        fresh = self._fresh()
        newcomers = self._newcomers(fresh)
        return {_pair(k.member.peer) for k in fresh if k not in newcomers}

    def _pulses(self):
        """Return own news, and with a large fleet those of some others.

        A beat then reaches :data:`CROWD_FANOUT` processes only; the others hear of it
        from them.
        """
        now = self.now()
        pulses = [_pulse_of(self.own, 0.0)]
        fresh = self._fresh()
        if len(fresh) > FANOUT:
            chosen = self._sample(fresh, CROWD_NEWS)
            pulses += [_pulse_of(k.member, now - k.heard_at) for k in chosen]
        return self._encode(_peer_messages.UpdateBatch(pulses))

    def _heartbeat(self, most):
        """Return a heartbeat with news of at most ``most`` others, newcomers first."""
        now = self.now()
        fresh = self._fresh()
        self.random_state.shuffle(fresh)
        newcomers = self._newcomers(fresh)[:MUCH_NEWS]
        others = [k for k in fresh if k not in newcomers]
        chosen = newcomers + others[: max(0, most - len(newcomers))]
        news = [
            _peer_messages.GossipedMember(k.member, round(now - k.heard_at, 3))
            for k in chosen
        ]
        alone = not fresh
        return self._encode(_peer_messages.Heartbeat(self.own, news, alone))

    def _targets(self):
        alive = self.alive()
        crowd = len(alive) > FANOUT
        if crowd and self.now() < self._started_at + NEW_FOR:
            alive = self.random_state.sample(alive, FANOUT)
        elif crowd:
            alive = self._near_and_some_away(alive)
        targets = {_pair(member.peer) for member in alive}
        # Seeds are tried for ever: after a partition in which both sides have
        # forgotten each other, only they join the two again.
        if not crowd or self.own.beat % CROWD_SEEDS_EVERY == 0:
            targets.update(self.seeds())
        targets.discard(_pair(self.own.peer))
        return targets

    def _near_and_some_away(self, members):
        """Return those of a large fleet to which a beat goes."""
        groups = {}
        for member in members:
            groups.setdefault(member.data_centre, []).append(member)
        near = groups.pop(self.own.data_centre, [])
        chosen = []
        for group in groups.values():
            chosen += self._sample(group, CROWD_AWAY)
        return chosen + self._sample(near, max(0, CROWD_FANOUT - len(chosen)))

    def _sample(self, members, most):
        return self.random_state.sample(members, min(len(members), most))

    def _send(self, address, datagram):
        if self._transport is not None and not self._transport.is_closing():
            self.board.counters["peers.datagrams_sent"] += 1
            self._transport.sendto(datagram, address)

    # Receiving.

    def datagram_received(self, data, addr):
        """Take a heartbeat; count and drop what is none."""
        try:
            message = self._decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError):
            self.board.counters["peers.datagrams_dropped"] += 1
            return
        if isinstance(message, _peer_messages.CrashNotice):
            if self.on_crash is not None:
                self.on_crash(message.fingerprint)
            return
        if isinstance(message, _peer_messages.UpdateBatch):
            for pulse in message.pulses:
                self._take_pulse(pulse)
            self._changed()
            return
        self._take(message.sender, self.now(), direct=True)
        for news in message.news:
            self._take(news.member, self.now() - max(0.0, news.age), direct=False)
        if message.wants_answer:
            self._send(_pair(message.sender.peer), self._heartbeat(MUCH_NEWS))
        self._changed()

    def _take_pulse(self, pulse):
        """Update a known process; an unknown one says more within two seconds."""
        known = self._by_incarnation.get(pulse.incarnation)
        if known is None or pulse.beat <= known.member.beat:
            return
        known.member = msgspec.structs.replace(
            known.member,
            beat=pulse.beat,
            life=pulse.life,
            revision=pulse.revision,
            reads_store=pulse.reads_store,
            watches_store=pulse.watches_store,
            retained=pulse.retained,
        )
        self._hear(known, self.now() - max(0, pulse.age_ms) / 1000)

    def _hear(self, known, heard_at):
        """Note news of a known process; one that comes back into sight counts as new.

        Guards against a slow return after a partition: those that did not hear it
        meanwhile learn of it by others, which tell of new processes first. Told of at
        random, a process was back in everybody's sight 7 s after a cut of 3 s.
        """
        now = self.now()
        if known.heard_at < now - self._silence:
            known.known_since = now
        known.heard_at = heard_at

    def error_received(self, exc):
        """Count an ICMP error; the next heartbeat goes out all the same."""
        self.board.counters["peers.send_errors"] += 1

    def _take(self, member, heard_at, direct):
        """Adopt what is newer than what is known.

        Guards against the return of the dead: news of an ended process can arrive
        after its successor's first heartbeat. Its age only grows, so it is older than
        what is known and is dropped.
        """
        if member.name == self.own.name:
            return
        known = self._known.get(member.name)
        if known is not None:
            same = known.member.incarnation == member.incarnation
            if same and member.beat <= known.member.beat:
                return
            if not same and not direct and heard_at <= known.heard_at + INTERVAL:
                return
        if known is None or known.member.incarnation != member.incarnation:
            self.log.event("peer-seen", peer=member.name, life=member.life)
            self._forget(member.name)
            known = KnownPeer(member, heard_at, self.now())
            self._known[member.name] = known
            self._by_incarnation[member.incarnation] = known
            return
        known.member = member
        self._hear(known, heard_at)

    def _forget(self, name):
        known = self._known.pop(name, None)
        if known is not None:
            self._by_incarnation.pop(known.member.incarnation, None)

    def _note_silence(self):
        now = self.now()
        silent = {n for n, k in self._known.items() if now - k.heard_at > self._silence}
        for name in silent - self._lost_sight:
            self.log.event("peer-silent", peer=name)
        self._lost_sight = silent
        for name in list(self._known):
            if now - self._known[name].heard_at > MAYBE_ALIVE:
                self._forget(name)
        self._changed()

    def _changed(self):
        now = self.now()
        maybe = (
            1
            for k in self._known.values()
            if k.member.life != _peer_messages.Life.LEAVING
            or now - k.heard_at < self._silence
        )
        known = 1 + sum(maybe)
        if now < self._started_at + LEARNING:
            known = max(known, UNKNOWN_FLEET)
        self.board.processes = known
        if self.on_change is not None:
            self.on_change()


def _pulse_of(member, age):
    return _peer_messages.MemberUpdate(
        member.incarnation,
        member.beat,
        member.life,
        member.revision,
        member.reads_store,
        member.watches_store,
        round(1000 * age),
        member.retained,
    )


def _pair(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
