"""Roster of the other gateway processes: what is known of each, and which are live."""

import math

import msgspec

from boragegw import utils
from boragegw.gateway import _peer_messages

#: Known processes above which a fleet is large, and below which it is small again.
LARGE_FLEET_SIZE = 24
SMALL_FLEET_SIZE = 16
#: Seconds without a heartbeat after which a process of a small fleet is considered
#: gone. A link that loses 3% of its packets loses three heartbeats in a row once in
#: 37,000 times.
SILENCE_TIMEOUT_SECONDS = 2.0
#: Seconds from the last unanswered probe until a process of a large fleet is considered
#: gone, unless a later state of it arrives. It is suspected for the last 0.8 s of them,
#: in which it can object.
PROBE_TIMEOUT_SECONDS = 1.3
#: Age of a state is measured at each hop without the time on the wire. A state is taken
#: to be later than a probe only if it is later by this many seconds.
AGE_TOLERANCE_SECONDS = 0.25
#: Seconds without any message after which a process of a large fleet considers all
#: others gone: it is itself the one that is cut off.
ISOLATION_SECONDS = 2.0
#: Seconds after which a leaving process is considered gone if no later state arrives.
LEAVING_TIMEOUT_SECONDS = 3.0
#: Seconds for which a process that is gone is still counted as possibly alive.
FORGET_AFTER_SECONDS = 30.0
#: Gossip about another incarnation of a process is accepted if it is later than the
#: last state of the known incarnation by this many seconds.
INCARNATION_MARGIN_SECONDS = 0.5
#: Key by which the processes of a data centre are put into a ring.
RING_KEY = "ring"


class KnownPeer:
    """Another process of the fleet.

    :ivar heard_at: monotonic seconds at which it sent its last known state.
    :ivar known_since: monotonic seconds at which it came into sight.
    :ivar changed_at: monotonic seconds of the last change that others should know soon.
    :ivar silent_since: monotonic seconds of the last of several probes without a reply,
        infinite if it is not suspected.
    """

    __slots__ = (
        "address",
        "changed_at",
        "heard_at",
        "known_since",
        "member",
        "ring_position",
        "silent_since",
    )

    def __init__(self, member, heard_at, known_since):
        self.member = member
        self.heard_at = heard_at
        self.known_since = known_since
        self.changed_at = known_since
        self.silent_since = math.inf
        self.address = split_address(member.peer_address)
        self.ring_position = utils.stable_hash(RING_KEY, member.name)

    @property
    def is_suspected(self):
        """Whether it has not replied to probes."""
        return self.silent_since < math.inf


class Roster:
    """Applies the states of other processes and tells which processes are live.

    In a small fleet each process hears all others twice a second, and one that falls
    silent is gone. In a large fleet a process is live until another one reports that it
    does not reply, see :class:`FailureDetector`, and nobody hears of it afterwards.

    :param local_member: this process's :class:`Member`.
    :ivar heard_at: monotonic seconds of the last message of any process.
    :ivar told_size: size of the fleet that another process has reported, 0 if unknown.
    :ivar own_ring_position: position of this process in the ring of its data centre.
    """

    def __init__(self, local_member, *, now, log):
        self.local_member = local_member
        self.now = now
        self.log = log
        self.heard_at = -math.inf
        self.told_size = 0
        self.own_ring_position = utils.stable_hash(RING_KEY, local_member.name)
        self._known = {}
        self._by_incarnation = {}
        self._is_large = False
        self._silent_names = set()
        self._alive = []
        self._alive_until = -math.inf

    # Queries.

    @property
    def is_large(self):
        """Whether the fleet is too large for heartbeats between all processes."""
        return self._is_large

    @property
    def is_isolated(self):
        """Whether no process of a large fleet has been heard for a while."""
        return self._is_large and self.now() > self.heard_at + ISOLATION_SECONDS

    def known(self):
        """Return all known processes, also those that are gone."""
        return list(self._known.values())

    def find(self, incarnation):
        """Return the known process with this incarnation, or ``None``."""
        return self._by_incarnation.get(incarnation)

    def find_name(self, name):
        """Return the known process with this name, or ``None``."""
        return self._known.get(name)

    def alive(self):
        """Return the :class:`KnownPeer` of each live process."""
        if not self._is_large:
            oldest = self.now() - SILENCE_TIMEOUT_SECONDS
            return [k for k in self._known.values() if k.heard_at >= oldest]
        if self.is_isolated:
            return []
        if self.now() >= self._alive_until:
            self._list_alive()
        return self._alive

    def gone(self):
        """Return the :class:`KnownPeer` of each process that is considered gone."""
        if len(self._known) == len(self.alive()):
            return []
        return [known for known in self._known.values() if self.is_gone(known)]

    def is_gone(self, known):
        """Return whether a known process is considered gone."""
        now = self.now()
        if not self._is_large:
            return now > known.heard_at + SILENCE_TIMEOUT_SECONDS
        return self.is_isolated or now >= _gone_at(known)

    def possibly_alive(self):
        """Return the number of processes that may be alive, including this one."""
        leaving = _peer_messages.Life.LEAVING
        departed = sum(1 for known in self.gone() if known.member.life == leaving)
        return max(1 + len(self._known) - departed, self.told_size)

    def _list_alive(self):
        now = self.now()
        self._alive = [k for k in self._known.values() if now < _gone_at(k)]
        self._alive_until = min(map(_gone_at, self._alive), default=math.inf)

    def _invalidate_alive(self):
        self._alive_until = -math.inf

    # Changes.

    def mark_heard(self):
        """Record that a message of any process has arrived."""
        self.heard_at = self.now()

    def apply_member(self, member, heard_at, direct):
        """Apply the state of a process if it is newer than the known one.

        Guards against resurrecting a terminated process: gossip about it can arrive
        after its successor's first heartbeat. The age of that gossip only grows, so it
        is older than the known state and is dropped.

        :param direct: the state comes from the process itself and not by gossip.
        :return: the :class:`KnownPeer` if it is new or has returned, else ``None``.
        """
        if member.name == self.local_member.name:
            return None
        known = self._known.get(member.name)
        if known is not None and known.member.incarnation == member.incarnation:
            return self._apply_state(known, member, heard_at, direct)
        if (
            known is not None
            and not direct
            and heard_at <= known.heard_at + INCARNATION_MARGIN_SECONDS
        ):
            return None
        self.log.event("peer-seen", peer=member.name, life=member.life)
        return self._add(member, heard_at)

    def apply_update(self, update, heard_at, direct):
        """Apply the update of a known process if it is newer than the known state.

        :return: the :class:`KnownPeer` if it has returned into sight, else ``None``.
        """
        known = self._by_incarnation.get(update.incarnation)
        if known is None:
            return None
        member = known.member
        if update.beat > member.beat:
            member = msgspec.structs.replace(
                member,
                beat=update.beat,
                life=update.life,
                revision=update.revision,
                reads_store=update.reads_store,
                watches_store=update.watches_store,
                retained=update.retained,
                unreached=update.unreached,
                lateness=update.lateness,
            )
        return self._apply_state(known, member, heard_at, direct)

    def suspect(self, known, silent_since):
        """Apply the suspicion that a process has not replied since ``silent_since``.

        :return: whether this is new.
        """
        if (
            not self._is_large
            or known.heard_at > silent_since + AGE_TOLERANCE_SECONDS
            or known.silent_since <= silent_since
        ):
            return False
        is_new = not known.is_suspected
        known.silent_since = silent_since
        self._invalidate_alive()
        return is_new

    def expire(self):
        """Log the processes that fell silent, and forget those long gone."""
        now = self.now()
        silent = {known.member.name for known in self.gone()}
        for name in silent - self._silent_names:
            self.log.event("peer-silent", peer=name)
        self._silent_names = silent
        for name in silent:
            known = self._known[name]
            if now - self._last_sign(known) > FORGET_AFTER_SECONDS:
                self._remove(name)
        self._update_size()

    def _last_sign(self, known):
        if self._is_large and known.is_suspected:
            return known.silent_since
        if self._is_large and known.member.life != _peer_messages.Life.LEAVING:
            return self.heard_at
        return known.heard_at

    def _apply_state(self, known, member, heard_at, direct):
        was_gone = self.is_gone(known)
        if member.beat > known.member.beat:
            if _differs(member, known.member):
                known.changed_at = self.now()
                self._invalidate_alive()
            known.member = member
        elif not direct or member.beat < known.member.beat:
            return None
        known.heard_at = heard_at
        if heard_at > known.silent_since + AGE_TOLERANCE_SECONDS:
            known.silent_since = math.inf
            known.changed_at = self.now()
            self._invalidate_alive()
        if not was_gone or self.is_gone(known):
            return None
        # One that returns counts as new, so that others hear of its return soon: with
        # random gossip, a process was back in sight of all others only 7 s after a
        # partition of 3 s.
        known.known_since = known.changed_at = self.now()
        return known

    def _add(self, member, heard_at):
        self._remove(member.name)
        known = KnownPeer(member, heard_at, self.now())
        self._known[member.name] = known
        self._by_incarnation[member.incarnation] = known
        self._invalidate_alive()
        self._update_size()
        return known

    def _remove(self, name):
        known = self._known.pop(name, None)
        if known is not None:
            self._by_incarnation.pop(known.member.incarnation, None)
            self._invalidate_alive()

    def _update_size(self):
        size = max(len(self._known), self.told_size - 1)
        if not self._is_large and size > LARGE_FLEET_SIZE:
            self._become_large()
        elif self._is_large and size < SMALL_FLEET_SIZE:
            self._become_small()

    def _become_large(self):
        """Consider a process live from now on until it is suspected."""
        for known in self._known.values():
            if self.is_gone(known):
                known.silent_since = known.heard_at
        self._is_large = True
        self._invalidate_alive()

    def _become_small(self):
        """Expect a heartbeat from each live process from now on."""
        for known in self.alive():
            known.heard_at = self.now()
            known.silent_since = math.inf
        self._is_large = False


def _gone_at(known):
    """Return the moment at which a process of a large fleet is considered gone."""
    if known.member.life == _peer_messages.Life.LEAVING:
        return known.heard_at + LEAVING_TIMEOUT_SECONDS
    return known.silent_since + PROBE_TIMEOUT_SECONDS


def _differs(member, other):
    """Return whether a field differs that does not change all the time."""
    return (
        member.life != other.life
        or member.reads_store != other.reads_store
        or member.watches_store != other.watches_store
        or member.retained != other.retained
        or member.unreached != other.unreached
        or member.lateness != other.lateness
        or bool(member.revision) != bool(other.revision)
    )


def split_address(address):
    """Return the ``(host, port)`` of an address ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
