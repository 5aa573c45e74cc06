"""Distribution of changes of the membership to all processes of a large fleet."""

import itertools

from boragegw.gateway import _peer_messages

#: Processes in each other data centre that pass news on there: more than one, since a
#: datagram may be lost, and a process may be gone without anybody knowing yet.
RELAYS_PER_DATA_CENTRE = 2
#: Maximum numbers of full members, and of updates and suspicions each, in a datagram of
#: at most 1,200 bytes.
MEMBERS_PER_DATAGRAM = 8
ITEMS_PER_DATAGRAM = 32
#: Maximum number of full members that are sent to each process at once; the others
#: follow. Guards against a burst that fills the link when the whole fleet starts.
MAX_MEMBERS_AT_ONCE = 2 * MEMBERS_PER_DATAGRAM


class NewsQueue:
    """Collects changes until they are sent together."""

    def __init__(self):
        self._members = {}
        self._updates = {}
        self._suspicions = {}
        self._has_own_update = False
        self._has_own_member = False

    def __bool__(self):
        return bool(
            self._members or self._updates or self._suspicions or self._has_own_update
        )

    def add_own(self, is_new=False):
        """Add the state of this process itself, in full if others may not know it."""
        self._has_own_update = True
        self._has_own_member |= is_new

    def add_member(self, known):
        """Add a process that others may not know."""
        self._members[known.member.incarnation] = known

    def add_update(self, known):
        """Add the state of a process that others know."""
        self._updates[known.member.incarnation] = known

    def add_suspicion(self, known):
        """Add a process that does not reply."""
        self._suspicions[known.member.incarnation] = known

    def take_messages(self, own_member, now):
        """Return an :class:`Exchange` for each datagram and take it from the queue.

        :param own_member: the :class:`Member` of this process.
        """
        members = [_peer_messages.GossipedMember(own_member, 0.0)]
        members = members if self._has_own_member else []
        taken = list(itertools.islice(self._members, MAX_MEMBERS_AT_ONCE))
        members += [gossip_of(self._members.pop(key), now) for key in taken]
        updates = [update_of(k, now) for k in self._updates.values()]
        suspicions = [
            suspicion_of(k, now) for k in self._suspicions.values() if k.is_suspected
        ]
        self._updates.clear()
        self._suspicions.clear()
        self._has_own_update = self._has_own_member = False
        return compose(own_member, members, updates, suspicions)


def compose(own_member, members=(), updates=(), suspicions=()):
    """Return the :class:`Exchange` of each datagram that these items take.

    There is at least one, with the update of this process itself.
    """
    parts = itertools.zip_longest(
        _parts(members, MEMBERS_PER_DATAGRAM),
        _parts(updates, ITEMS_PER_DATAGRAM),
        _parts(suspicions, ITEMS_PER_DATAGRAM),
        fillvalue=[],
    )
    own_update = own_update_of(own_member)
    messages = [
        _peer_messages.Exchange([own_update, *some_updates], doubted, some_members)
        for some_members, some_updates, doubted in parts
    ]
    return messages or [_peer_messages.Exchange([own_update])]


def select_relays(alive, own_data_centre, random_state):
    """Return the processes that pass news on in each other data centre.

    :param alive: :class:`KnownPeer` of each live process.
    """
    groups = {}
    for known in alive:
        if known.member.data_centre != own_data_centre and not known.is_suspected:
            groups.setdefault(known.member.data_centre, []).append(known)
    return [
        known
        for group in groups.values()
        for known in random_state.sample(group, min(len(group), RELAYS_PER_DATA_CENTRE))
    ]


def own_update_of(member):
    """Return the :class:`MemberUpdate` of this process."""
    return _update(member, 0)


def update_of(known, now):
    """Return the :class:`MemberUpdate` of another process."""
    return _update(known.member, milliseconds(now - known.heard_at))


def suspicion_of(known, now):
    """Return the :class:`Suspicion` of a suspected process."""
    silent_ms = milliseconds(now - known.silent_since)
    return _peer_messages.Suspicion(known.member.incarnation, silent_ms)


def gossip_of(known, now):
    """Return the :class:`GossipedMember` of another process."""
    return _peer_messages.GossipedMember(known.member, round(now - known.heard_at, 3))


def milliseconds(seconds):
    """Return whole milliseconds. An integer takes a third of the bytes of a float."""
    return round(1000 * seconds)


def _update(member, age_ms):
    values = (
        member.incarnation,
        member.beat,
        member.life,
        member.revision,
        member.reads_store,
        member.watches_store,
        age_ms,
        member.retained,
        member.unreached,
    )
    if not member.lateness:
        return _peer_messages.CalmUpdate(*values)
    return _peer_messages.MemberUpdate(*values, member.lateness)


def _parts(items, size):
    return [items[start : start + size] for start in range(0, len(items), size)]
