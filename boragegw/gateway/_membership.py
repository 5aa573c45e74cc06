"""Membership of the fleet of gateway processes, by heartbeats and gossip over UDP."""

import asyncio
import random

import msgspec

from boragegw.gateway import _peer_messages

#: Seconds between heartbeats.
HEARTBEAT_INTERVAL_SECONDS = 0.5
#: Seconds without a heartbeat after which a process is considered gone. A link that
#: loses 3% of its packets loses three heartbeats in a row once in 37,000 times.
SILENCE_TIMEOUT_SECONDS = 2.0
#: Silence timeout in a fleet of more than :data:`FANOUT` processes, where heartbeats
#: arrive through other processes. With 2 s, 4 in 10,000 live processes were considered
#: gone at any moment.
LARGE_FLEET_SILENCE_TIMEOUT_SECONDS = 3.0
#: Seconds for which a silent process is still counted as possibly alive.
FORGET_AFTER_SECONDS = 30.0
#: Seconds after the start in which other processes may not have been heard yet, and the
#: fleet size that is assumed until then. Guards against a fleet that starts all at
#: once, as after a power loss: each process would use the whole retry budget and the
#: whole rate of each cold server for itself.
DISCOVERY_SECONDS = 2.0
ASSUMED_FLEET_SIZE = 24
#: Maximum number of processes that each heartbeat is sent to directly. In a larger
#: fleet, state spreads by gossip in a few hops.
FANOUT = 24
#: Gossiped members in a heartbeat. A process that knows the whole fleet gets one. A new
#: process gets as many as fit into 1,200 bytes, and so does every process in a fleet
#: larger than :data:`FANOUT`. New members are gossiped first, to all processes.
GOSSIP_ENTRIES = 1
MAX_GOSSIP_ENTRIES = 8
#: In a fleet larger than :data:`FANOUT`: targets of each heartbeat, targets in each
#: other data centre, updates of other processes in each heartbeat, and heartbeats per
#: one that goes to the seeds. Traffic between data centres is expensive, and state that
#: has reached a data centre spreads inside it.
LARGE_FLEET_FANOUT = 16
LARGE_FLEET_REMOTE_FANOUT = 3
LARGE_FLEET_UPDATES = 24
LARGE_FLEET_SEED_BEATS = 4
#: Seconds for which a process counts as new.
NEWCOMER_SECONDS = 3.0
#: One in this many heartbeats to an informed process is a full one, the others are
#: compact. 13 processes then send 14 KB/s together instead of 31.
FULL_HEARTBEAT_BEATS = 4


class KnownPeer:
    """Another process of the fleet.

    :param heard_at: monotonic seconds at which it sent its last known state.
    :param known_since: monotonic seconds at which it came into sight.
    """

    __slots__ = ("heard_at", "known_since", "member")

    def __init__(self, member, heard_at, known_since):
        self.member = member
        self.heard_at = heard_at
        self.known_since = known_since


class Membership(asyncio.DatagramProtocol):
    """Sends and receives heartbeats, and keeps the list of live processes.

    A process is live until :data:`SILENCE_TIMEOUT_SECONDS` have passed without a
    heartbeat from it.

    :param local_member: this process's :class:`Member`, updated by its owner.
    :param seeds: function that returns the ``(host, port)`` pairs of the seeds.
    :ivar on_crash: called with the fingerprint of each :class:`CrashNotice`.
    :ivar on_change: called after the state of another process may have changed.
    """

    def __init__(self, board, local_member, seeds, *, now, log, random_state=None):
        self.board = board
        self.local_member = local_member
        self.seeds = seeds
        self.now = now
        self.log = log
        self.random_state = random_state or random.Random()
        self.on_crash = None
        self.on_change = None
        self._known = {}
        self._by_incarnation = {}
        self._started_at = now()
        board.processes = ASSUMED_FLEET_SIZE
        self._silent = set()
        self._transport = None
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder(_peer_messages.Datagram).decode

    # Queries.

    def alive(self):
        """Return the :class:`Member` of each other live process."""
        return [k.member for k in self._live_peers()]

    def ready(self):
        """Return the members that accept requests, including this one if it does."""
        members = [m for m in self.alive() if m.life == _peer_messages.Life.READY]
        if self.local_member.life == _peer_messages.Life.READY:
            members.append(self.local_member)
        return members

    def latest_revision(self):
        """Return the greatest revision that another live process knows."""
        return max((m.revision for m in self.alive()), default=0)

    # Sending.

    def connection_made(self, transport):
        """Keep the transport for sending."""
        self._transport = transport

    def tick(self):
        """Send a heartbeat; to be called every :data:`HEARTBEAT_INTERVAL_SECONDS`."""
        self.local_member.beat += 1
        self._expire_silent()
        introduction = self._heartbeat(MAX_GOSSIP_ENTRIES)
        is_full = self.local_member.beat % FULL_HEARTBEAT_BEATS == 0
        regular = self._heartbeat(GOSSIP_ENTRIES) if is_full else self._update_batch()
        informed = self._informed_addresses()
        for address in self._targets():
            self._send(address, regular if address in informed else introduction)

    def announce(self):
        """Send a heartbeat to all live processes at once, as on a planned stop."""
        self.local_member.beat += 1
        beat = self._heartbeat(GOSSIP_ENTRIES)
        for member in self.alive():
            self._send(_split_address(member.peer_address), beat)

    def broadcast_crash(self, fingerprint):
        """Report to all live processes that a request crashed a backend server."""
        datagram = self._encode(_peer_messages.CrashNotice(fingerprint))
        for member in self.alive():
            self._send(_split_address(member.peer_address), datagram)

    def _live_peers(self):
        oldest = self.now() - self._silence_timeout
        return [k for k in self._known.values() if k.heard_at >= oldest]

    @property
    def _silence_timeout(self):
        return (
            SILENCE_TIMEOUT_SECONDS
            if len(self._known) <= FANOUT
            else LARGE_FLEET_SILENCE_TIMEOUT_SECONDS
        )

    def _newcomers(self, live_peers):
        oldest = self.now() - NEWCOMER_SECONDS
        return [k for k in live_peers if k.known_since > oldest]

    def _informed_addresses(self):
        """Return the addresses of processes that certainly know the whole fleet."""
        if self.now() < self._started_at + NEWCOMER_SECONDS:
            return set()
        live_peers = self._live_peers()
        newcomers = self._newcomers(live_peers)
        return {
            _split_address(k.member.peer_address)
            for k in live_peers
            if k not in newcomers
        }

    def _update_batch(self):
        """Return a compact heartbeat, in a large fleet with updates of other processes.

        A large fleet's heartbeat is sent to :data:`LARGE_FLEET_FANOUT` processes only.
        They pass the update on to the others.
        """
        now = self.now()
        updates = [_update_of(self.local_member, 0.0)]
        live_peers = self._live_peers()
        if len(live_peers) > FANOUT:
            chosen = self._sample(live_peers, LARGE_FLEET_UPDATES)
            updates += [_update_of(k.member, now - k.heard_at) for k in chosen]
        return self._encode(_peer_messages.UpdateBatch(updates))

    def _heartbeat(self, limit):
        """Return a full heartbeat that gossips up to ``limit`` members, new ones first.

        Up to :data:`MAX_GOSSIP_ENTRIES` new members are included whatever the limit.
        """
        now = self.now()
        live_peers = self._live_peers()
        self.random_state.shuffle(live_peers)
        newcomers = self._newcomers(live_peers)[:MAX_GOSSIP_ENTRIES]
        others = [k for k in live_peers if k not in newcomers]
        chosen = newcomers + others[: max(0, limit - len(newcomers))]
        gossip = [
            _peer_messages.GossipedMember(k.member, round(now - k.heard_at, 3))
            for k in chosen
        ]
        wants_reply = not live_peers
        return self._encode(
            _peer_messages.Heartbeat(self.local_member, gossip, wants_reply)
        )

    def _targets(self):
        alive = self.alive()
        is_large = len(alive) > FANOUT
        if is_large and self.now() < self._started_at + NEWCOMER_SECONDS:
            alive = self.random_state.sample(alive, FANOUT)
        elif is_large:
            alive = self._sample_by_data_centre(alive)
        targets = {_split_address(member.peer_address) for member in alive}
        # Seeds are contacted forever: after a partition in which both sides have
        # forgotten each other, only the seeds reconnect them.
        if not is_large or self.local_member.beat % LARGE_FLEET_SEED_BEATS == 0:
            targets.update(self.seeds())
        targets.discard(_split_address(self.local_member.peer_address))
        return targets

    def _sample_by_data_centre(self, members):
        """Return the targets of a heartbeat in a large fleet, mostly near ones."""
        groups = {}
        for member in members:
            groups.setdefault(member.data_centre, []).append(member)
        near = groups.pop(self.local_member.data_centre, [])
        chosen = []
        for group in groups.values():
            chosen += self._sample(group, LARGE_FLEET_REMOTE_FANOUT)
        return chosen + self._sample(near, max(0, LARGE_FLEET_FANOUT - len(chosen)))

    def _sample(self, members, limit):
        return self.random_state.sample(members, min(len(members), limit))

    def _send(self, address, datagram):
        if self._transport is not None and not self._transport.is_closing():
            self.board.counters["peers.datagrams_sent"] += 1
            self._transport.sendto(datagram, address)

    # Receiving.

    def datagram_received(self, data, addr):
        """Apply a message of another process; count and drop a malformed datagram."""
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
            for update in message.updates:
                self._apply_update(update)
            self._publish()
            return
        self._apply_member(message.sender, self.now(), direct=True)
        for entry in message.gossip:
            self._apply_member(
                entry.member, self.now() - max(0.0, entry.age), direct=False
            )
        if message.wants_reply:
            self._send(
                _split_address(message.sender.peer_address),
                self._heartbeat(MAX_GOSSIP_ENTRIES),
            )
        self._publish()

    def _apply_update(self, update):
        """Update a known process.

        The update of an unknown process is ignored. That process sends a full heartbeat
        within two seconds.
        """
        known = self._by_incarnation.get(update.incarnation)
        if known is None or update.beat <= known.member.beat:
            return
        known.member = msgspec.structs.replace(
            known.member,
            beat=update.beat,
            life=update.life,
            revision=update.revision,
            reads_store=update.reads_store,
            watches_store=update.watches_store,
            retained=update.retained,
        )
        self._mark_heard(known, self.now() - max(0, update.age_ms) / 1000)

    def _mark_heard(self, known, heard_at):
        """Record when a process was heard; one that returns into sight counts as new.

        Guards against a slow return after a partition. Processes that are not in
        contact with the returning one learn of it by gossip, which sends new members
        first. With random gossip, a process was back in sight of all others only 7 s
        after a partition of 3 s.
        """
        now = self.now()
        if known.heard_at < now - self._silence_timeout:
            known.known_since = now
        known.heard_at = heard_at

    def error_received(self, exc):
        """Count an ICMP error; the next heartbeat is sent regardless."""
        self.board.counters["peers.send_errors"] += 1

    def _apply_member(self, member, heard_at, direct):
        """Apply the state of a process if it is newer than the known one.

        Guards against resurrecting a terminated process: gossip about it can arrive
        after its successor's first heartbeat. The age of that gossip only grows, so it
        is older than the known state and is dropped.

        :param direct: the state comes from the process itself and not by gossip.
        """
        if member.name == self.local_member.name:
            return
        known = self._known.get(member.name)
        if known is not None:
            same = known.member.incarnation == member.incarnation
            if same and member.beat <= known.member.beat:
                return
            if (
                not same
                and not direct
                and heard_at <= known.heard_at + HEARTBEAT_INTERVAL_SECONDS
            ):
                return
        if known is None or known.member.incarnation != member.incarnation:
            self.log.event("peer-seen", peer=member.name, life=member.life)
            self._remove(member.name)
            known = KnownPeer(member, heard_at, self.now())
            self._known[member.name] = known
            self._by_incarnation[member.incarnation] = known
            return
        known.member = member
        self._mark_heard(known, heard_at)

    def _remove(self, name):
        known = self._known.pop(name, None)
        if known is not None:
            self._by_incarnation.pop(known.member.incarnation, None)

    def _expire_silent(self):
        now = self.now()
        silent = {
            n
            for n, k in self._known.items()
            if now - k.heard_at > self._silence_timeout
        }
        for name in silent - self._silent:
            self.log.event("peer-silent", peer=name)
        self._silent = silent
        for name in list(self._known):
            if now - self._known[name].heard_at > FORGET_AFTER_SECONDS:
                self._remove(name)
        self._publish()

    def _publish(self):
        now = self.now()
        maybe_alive = (
            1
            for k in self._known.values()
            if k.member.life != _peer_messages.Life.LEAVING
            or now - k.heard_at < self._silence_timeout
        )
        known = 1 + sum(maybe_alive)
        if now < self._started_at + DISCOVERY_SECONDS:
            known = max(known, ASSUMED_FLEET_SIZE)
        self.board.processes = known
        if self.on_change is not None:
            self.on_change()


def _update_of(member, age):
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


def _split_address(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
