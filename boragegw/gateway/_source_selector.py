"""Selection of the source of records: the platform's store or another process."""

import math

from boragegw import utils
from boragegw.gateway import _peer_messages, _replication_tree

#: Processes in each data centre that watch the store.
WATCHERS_PER_DATA_CENTRE = 1
#: Key by which all processes choose the same one among those that watch the store.
FIRST_ROOT_KEY = "store"
#: Seconds for which a process is not followed after it failed or was too slow.
AVOID_SECONDS = 2.0
#: Seconds for which a process watches the store after the store answered its check: the
#: silence is noticed meanwhile by all that should watch.
STAND_IN_SECONDS = 6.0


class SourceSelector:
    """Selects a source among the store and the other processes.

    In each data centre one process watches the store: the one with the fastest link,
    among equals the first by rendezvous hashing. The other processes follow it directly
    or through others, see :mod:`~boragegw.gateway._replication_tree`. Thus the calls to
    the store grow with the number of data centres and not with the fleet. A process
    that finds no process to follow reads the store.

    Sources are identified by the name of the process; ``None`` is the store.

    :ivar failing: the last read has failed.
    """

    def __init__(self, catalogue, membership, *, now, random_state):
        self.catalogue = catalogue
        self.membership = membership
        self.now = now
        self.random_state = random_state
        self.failing = False
        self._avoided = {}
        self._stand_in_until = -math.inf

    @property
    def reads_store(self):
        """Whether this process can read the store, as far as it knows."""
        return self.membership.local_member.reads_store

    def select_source(self):
        """Return the source to read from, and publish whether it is the store."""
        watching = self.should_watch()
        self.membership.local_member.watches_store = watching
        return None if watching else self.select_peer()

    def select_peer(self):
        """Return the name of the process to read from, or ``None``."""
        return self.best_peer() or self._bootstrap_peer()

    def select_peer_ahead(self):
        """Return the name of a process that is ahead of this one, or ``None``."""
        own = self.membership.local_member
        position = self.catalogue.position
        ahead = [m for m in self._candidates() if m.revision > position]
        local = [m for m in ahead if m.data_centre == own.data_centre]
        if not ahead:
            return None
        return self.random_state.choice(local or ahead).name

    def avoid(self, name):
        """Do not follow ``name`` for :data:`AVOID_SECONDS`."""
        self._avoided[name] = self.now() + AVOID_SECONDS

    @property
    def is_standing_in(self):
        """Whether this process watches the store because others may not be answered."""
        return self.now() < self._stand_in_until

    def stand_in(self):
        """Watch the store for :data:`STAND_IN_SECONDS`."""
        self._stand_in_until = self.now() + STAND_IN_SECONDS

    def is_checker(self, count):
        """Return whether this process is among the first ``count`` of its centre."""
        own = self.membership.local_member
        return own.name in self._first_of_each(self._compatible_members(), count)

    def comes_first(self):
        """Return whether this process comes first in its data centre.

        It probes the store while no process can read it.
        """
        return self.membership.local_member.name in self._store_probers()

    def should_watch(self):
        """Return whether this process should watch the store for its data centre.

        A process that cannot read the store only probes it, and only if no other
        process can be followed.
        """
        if self._bootstraps_from_peer():
            return False
        own = self.membership.local_member
        if own.reads_store:
            return self.is_standing_in or own.name in self._store_watchers()
        return self.best_peer() is None and own.name in self._store_probers()

    def _store_watchers(self):
        """Return the names of the processes that should watch the store."""
        members = [m for m in self._compatible_members() if m.reads_store]
        return self._first_of_each(members)

    def _store_probers(self):
        """Return the processes that probe the store while no process can read it."""
        return self._first_of_each(self._compatible_members())

    def _compatible_members(self):
        """Return the other processes that replicate records in this process's format.

        Guards against a fleet of two versions, as during a rolling update: processes of
        one version would query those of the other in vain, and then the store.
        """
        own = self.membership.local_member.replica_format
        return [m for m in self.membership.alive() if m.replica_format == own]

    def _first_of_each(self, members, count=WATCHERS_PER_DATA_CENTRE):
        staying = [m for m in members if m.life != _peer_messages.Life.LEAVING]
        own = self.membership.local_member
        if own.life != _peer_messages.Life.LEAVING:
            staying.append(own)
        groups = {}
        for member in staying:
            groups.setdefault(member.data_centre, []).append(member)
        return {
            name
            for data_centre, group in groups.items()
            for name in _ranked_names(data_centre, group)[:count]
        }

    def best_peer(self):
        """Return the name of the process to follow, or ``None`` if none can be."""
        own = self.membership.local_member
        candidates = self._candidates()
        local = [m for m in candidates if m.data_centre == own.data_centre]
        source = _replication_tree.source_for(own, local)
        if source is None:
            remote = [m for m in candidates if _replication_tree.is_root(m)]
            source = self.random_state.choice(remote) if remote else None
        return None if source is None else source.name

    def first_root(self):
        """Return the first of all processes that watch the store.

        All processes that see the same others choose the same one. ``None`` stands for
        this process.
        """
        own = self.membership.local_member
        names = [m.name for m in self._candidates() if _replication_tree.is_root(m)]
        first = utils.rendezvous_rank(FIRST_ROOT_KEY, [*names, own.name])[0]
        return None if first == own.name else first

    def watches_first(self):
        """Return whether this process is the first that watches the store.

        Silent processes are passed over before they are considered gone, and the
        format of the others does not matter: only one process watches for silence.
        """
        members = self.membership.heard_lately()
        names = [m.name for m in members if _replication_tree.is_root(m)]
        own = self.membership.local_member.name
        return utils.rendezvous_rank(FIRST_ROOT_KEY, [*names, own])[0] == own

    def other_root(self, name):
        """Return another process that watches the store, ``None`` if there is none."""
        roots = [m for m in self._candidates() if _replication_tree.is_root(m)]
        names = [member.name for member in roots if member.name != name]
        return self.random_state.choice(names) if names else None

    def _candidates(self):
        """Return the members that have records and did not fail recently."""
        now = self.now()
        return [
            member
            for member in self._compatible_members()
            if member.revision
            and member.life != _peer_messages.Life.LEAVING
            and self._avoided.get(member.name, -math.inf) <= now
        ]

    def _bootstraps_from_peer(self):
        return self.catalogue.position < 0 and self._bootstrap_peer() is not None

    def _bootstrap_peer(self):
        """Return a peer for the first read if the store has failed.

        Guards against a process that starts while no process can read the store: it
        would refuse all requests although its peers keep serving.
        """
        if self.catalogue.position >= 0 or not self.failing:
            return None
        peers = self._candidates()
        if not peers:
            return None
        return max(peers, key=lambda member: member.revision).name

    def may_follow(self, name):
        """Return whether this process may still follow the process ``name``."""
        if self.catalogue.position < 0:
            return True
        members = {member.name: member for member in self.membership.alive()}
        if name not in members:
            return False
        if not any(_replication_tree.is_root(member) for member in members.values()):
            return False
        return _replication_tree.may_follow(self.membership.local_member, members[name])

    def should_switch(self, name):
        """Return whether to switch from ``name`` to the store, or from it to a peer."""
        if self.should_watch():
            return name is not None
        return name is None and self.best_peer() is not None


def _ranked_names(data_centre, members):
    """Return the names of the members, those with the fastest links first.

    Guards against a watcher on a slow link: through a link of 5 Mbit/s the first read
    of 276 servers by the other processes took seconds, and they all read the store
    instead.
    """
    ranked = utils.rendezvous_rank(data_centre, members, identity=lambda m: m.name)
    ranked.sort(key=lambda member: -member.link_mbps)
    return [member.name for member in ranked]
