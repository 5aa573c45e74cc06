"""Composition of the messages that gateway processes send about the fleet."""

import dataclasses
import math

from boragegw.gateway import _news, _peer_messages

#: Gossiped members in a heartbeat. A process that knows the whole fleet gets one, a new
#: process as many as fit into 1,200 bytes. New members are gossiped first.
GOSSIP_ENTRIES = 1
MAX_GOSSIP_ENTRIES = 8
#: Seconds for which a process counts as new.
NEWCOMER_SECONDS = 3.0
#: Maximum numbers of items in a message of a large fleet: updates of processes that
#: changed recently, random updates each of the own data centre and of the whole fleet,
#: and suspicions.
RECENT_UPDATES = 16
RANDOM_UPDATES = 2
SUSPICIONS = 8
#: Seconds for which a change counts as recent.
RECENT_SECONDS = 3.0
#: Seconds after which the lists from which messages are composed are renewed.
VIEW_SECONDS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """Lists of :class:`KnownPeer` from which messages are composed.

    :param listed_at: monotonic seconds.
    :param local: those in the own data centre.
    :param recent: those whose state changed recently.
    :param most_advanced: the one that knows the latest revision, if any.
    """

    listed_at: float
    alive: list = ()
    local: list = ()
    recent: list = ()
    suspected: list = ()
    most_advanced: list = ()


class Composer:
    """Composes heartbeats and exchanges from the roster.

    :param roster: the :class:`Roster`.
    """

    def __init__(self, roster, *, now, random_state):
        self.roster = roster
        self.now = now
        self.random_state = random_state
        self._view = View(-math.inf)

    def heartbeat(self, limit, wants_reply=None):
        """Return a full heartbeat that gossips up to ``limit`` members, new ones first.

        Up to :data:`MAX_GOSSIP_ENTRIES` new members are included whatever the limit.

        :param wants_reply: by default, whether this process knows no other one.
        """
        now = self.now()
        live_peers = list(self.roster.alive())
        self.random_state.shuffle(live_peers)
        newcomers = self.newcomers(live_peers)[:MAX_GOSSIP_ENTRIES]
        others = [k for k in live_peers if k not in newcomers]
        chosen = newcomers + others[: max(0, limit - len(newcomers))]
        gossip = [_news.gossip_of(k, now) for k in chosen]
        if wants_reply is None:
            wants_reply = not live_peers
        return _peer_messages.Heartbeat(self.roster.local_member, gossip, wants_reply)

    def compact_heartbeat(self):
        """Return a heartbeat with the fields that change."""
        own_update = _news.own_update_of(self.roster.local_member)
        return _peer_messages.UpdateBatch([own_update])

    def newcomers(self, live_peers):
        """Return the processes that have come into sight recently."""
        oldest = self.now() - NEWCOMER_SECONDS
        return [k for k in live_peers if k.known_since > oldest]

    def introduced_members(self, data_centre):
        """Return live processes for a new one, those of its data centre first."""
        alive = self.sample(self.roster.alive(), len(self.roster.alive()))
        alive.sort(key=lambda k: k.member.data_centre != data_centre)
        return alive[:MAX_GOSSIP_ENTRIES]

    def exchange(self, purpose):
        """Return the own state, recent changes and a sample of other states."""
        now = self.now()
        view = self.current_view()
        chosen = self.sample(view.recent, RECENT_UPDATES)
        chosen += self.sample(view.local, RANDOM_UPDATES)
        chosen += self.sample(view.alive, RANDOM_UPDATES)
        chosen += view.most_advanced
        unique = {k.member.incarnation: k for k in chosen}.values()
        updates = [_news.update_of(k, now) for k in unique]
        suspected = (k for k in view.suspected if k.is_suspected)
        return _peer_messages.Exchange(
            [_news.own_update_of(self.roster.local_member), *updates],
            [_news.suspicion_of(k, now) for k in suspected],
            purpose=purpose,
        )

    def all_updates(self):
        """Return an :class:`Exchange` list with all live processes and suspicions."""
        now = self.now()
        updates = [_news.update_of(k, now) for k in self.roster.alive()]
        suspected = [k for k in self.roster.known() if k.is_suspected]
        suspicions = [_news.suspicion_of(k, now) for k in suspected]
        return _news.compose(self.roster.local_member, (), updates, suspicions)

    def full_members(self, members, with_own=True):
        """Return an :class:`Exchange` list with full members.

        :param members: :class:`KnownPeer` list.
        :param with_own: whether to include this process itself.
        """
        now = self.now()
        own = self.roster.local_member
        gossip = [_news.gossip_of(known, now) for known in members]
        if with_own:
            gossip.append(_peer_messages.GossipedMember(own, 0.0))
        return _news.compose(own, gossip)

    def current_view(self):
        """Return the :class:`View`, which is renewed a few times a second."""
        now = self.now()
        if now >= self._view.listed_at + VIEW_SECONDS:
            self._view = self.list_view()
        return self._view

    def list_view(self):
        """Return the :class:`View` of this moment."""
        now = self.now()
        alive = self.roster.alive()
        own = self.roster.local_member.data_centre
        suspected = [k for k in self.roster.known() if k.is_suspected]
        most_advanced = max(alive, key=lambda k: k.member.revision, default=None)
        return View(
            listed_at=now,
            alive=alive,
            local=[k for k in alive if k.member.data_centre == own],
            recent=[k for k in alive if k.changed_at > now - RECENT_SECONDS],
            suspected=self.sample(suspected, SUSPICIONS),
            most_advanced=[] if most_advanced is None else [most_advanced],
        )

    def sample(self, members, limit):
        """Return up to ``limit`` random members."""
        return self.random_state.sample(members, min(len(members), limit))
