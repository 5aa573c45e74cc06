"""Chooses where a process learns from: the platform's store, or another process."""

import math

from boragegw import utils
from boragegw.gateway import _peer_messages, _replication_tree

#: Processes in a data centre that watch the store.
WATCHERS = 1
#: Seconds for which a process that did not answer is not followed.
AVOIDED = 2.0


class SourceSelector:
    """Chooses a source among the store and the other processes.

    A few processes watch the store, the first of each data centre by link and then in
    rendezvous order; the others follow that one, or one that follows it, see
    :mod:`~boragegw.gateway._replication_tree`. So calls to the store grow with the data
    centres and not with the fleet. A process that finds nobody to follow reads the
    store.

    Sources are named by the process's name; ``None`` is the store.

    :ivar failing: the last answer that was awaited has not come.
    """

    def __init__(self, catalogue, membership, *, now, random_state):
        self.catalogue = catalogue
        self.membership = membership
        self.now = now
        self.random_state = random_state
        self.failing = False
        self._avoided = {}

    def source(self):
        """Return the source to read from; the others hear whether it is the store."""
        watching = self.should_watch()
        self.membership.own.watches_store = watching
        return None if watching else self.peer()

    def peer(self):
        """Return the process to read from, or ``None`` if there is none."""
        return self.best_peer() or self._any_peer()

    def informed_peer(self):
        """Return a process that knows more than this one, or ``None``."""
        own = self.membership.own
        position = self.catalogue.position
        informed = [m for m in self._candidates() if m.revision > position]
        near = [m for m in informed if m.data_centre == own.data_centre]
        if not informed:
            return None
        return self.random_state.choice(near or informed).name

    def avoid(self, name):
        """Follow ``name`` no more for a while."""
        self._avoided[name] = self.now() + AVOIDED

    def is_prober(self):
        """Return whether this process tries the store while nobody can read it."""
        return self.membership.own.name in self._probers()

    def should_watch(self):
        """Return whether this process should watch the store for its data centre.

        One that cannot read the store only tries it, and only if nobody else can.
        """
        if self._knows_nothing_while_store_is_away():
            return False
        own = self.membership.own
        if own.reads_store:
            return own.name in self._watchers()
        return self.best_peer() is None and own.name in self._probers()

    def _watchers(self):
        """Return the names of the processes that should watch the store."""
        members = [m for m in self._readable() if m.reads_store]
        return self._first_of_each(members)

    def _probers(self):
        """Return the names of those that try the store while nobody can read it."""
        return self._first_of_each(self._readable())

    def _readable(self):
        """Return the other processes that pass on what they know in our format.

        Guards against a fleet of two versions, as while one is rolled out: those of
        one would ask those of the other in vain, and then the store.
        """
        own = self.membership.own.replica_format
        return [m for m in self.membership.alive() if m.replica_format == own]

    def _first_of_each(self, members):
        staying = [m for m in members if m.life != _peer_messages.Life.LEAVING]
        own = self.membership.own
        if own.life != _peer_messages.Life.LEAVING:
            staying.append(own)
        groups = {}
        for member in staying:
            groups.setdefault(member.data_centre, []).append(member)
        return {
            name
            for data_centre, group in groups.items()
            for name in utils.rendezvous_rank(data_centre, _best_linked(group))[
                :WATCHERS
            ]
        }

    def best_peer(self):
        """Return the name of the process to follow, or ``None`` if none can be."""
        own = self.membership.own
        candidates = self._candidates()
        near = [m for m in candidates if m.data_centre == own.data_centre]
        source = _replication_tree.source_for(own, near)
        if source is None:
            away = [m for m in candidates if _replication_tree.is_root(m)]
            source = self.random_state.choice(away) if away else None
        return None if source is None else source.name

    def _candidates(self):
        """Return the members that know something and did not fail of late."""
        now = self.now()
        return [
            member
            for member in self._readable()
            if member.revision
            and member.life != _peer_messages.Life.LEAVING
            and self._avoided.get(member.name, -math.inf) <= now
        ]

    def _knows_nothing_while_store_is_away(self):
        return self.catalogue.position < 0 and self._any_peer() is not None

    def _any_peer(self):
        """Return a peer to begin with if the store has failed and nothing is known.

        Guards against a process that starts while nobody can read the store: it would
        refuse everything although its peers serve on with what they know.
        """
        if self.catalogue.position >= 0 or not self.failing:
            return None
        peers = self._candidates()
        if not peers:
            return None
        return max(peers, key=lambda member: member.revision).name

    def is_good(self, name):
        """Return whether the process ``name`` may still be followed."""
        if self.catalogue.position < 0:
            return True
        members = {member.name: member for member in self.membership.alive()}
        if name not in members:
            return False
        if not any(_replication_tree.is_root(member) for member in members.values()):
            return False
        return _replication_tree.may_follow(self.membership.own, members[name])

    def is_misplaced(self, name):
        """Return whether the store should be read instead of ``name``, or no more."""
        if self.should_watch():
            return name is not None
        return name is None and self.best_peer() is not None


def _best_linked(members):
    """Return the names of the members with the fastest links.

    Guards against a watcher on a slow link: on one of 5 Mbit/s the first reading of 276
    servers by the others took seconds, and they all read the store in its place.
    """
    fastest = max(member.link for member in members)
    return [member.name for member in members if member.link == fastest]
