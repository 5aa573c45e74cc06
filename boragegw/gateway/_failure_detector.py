"""Detection of processes that do not reply, in a fleet of any size at constant cost.

Each process probes a few others in each interval: the next ones of a ring of its data
centre, so that every process is probed by someone, and some random ones, so that the
loss of many processes at once is noticed as well. One that does not reply to several
probes in a row is suspected.
"""

from boragegw.gateway import _peer_messages

#: Processes that are probed in each interval: the next ones of the ring, random ones of
#: the own data centre, and random ones of other data centres.
RING_PROBES = 2
LOCAL_PROBES = 2
REMOTE_PROBES = 1
#: Maximum number of further probes while processes are suspected, since few are left
#: to probe when many fail at once, and maximum number of probes to those that are gone.
MAX_EXTRA_PROBES = 8
#: Probes in a row without a reply after which a process is suspected.
MAX_UNANSWERED_PROBES = 3
#: Expected number of probes that each process that is gone gets in an interval from all
#: others, so that its return is noticed.
GONE_PROBES = 2.0
#: Seconds without any message after which nobody is suspected: the own link may be the
#: cause.
MAX_QUIET_SECONDS = 1.0


class FailureDetector:
    """Chooses the processes to probe, and those to suspect.

    :param roster: the :class:`Roster`.
    :ivar watched_name: name of a process that is probed in each interval, or ``None``.
    """

    def __init__(self, roster, *, now, random_state):
        self.roster = roster
        self.now = now
        self.random_state = random_state
        self.watched_name = None
        # The process and the times of the probes to it, by incarnation.
        self._unanswered = {}

    def start_round(self):
        """Start a new interval.

        A process that did not reply to the last probe gets two, so that it is not
        suspected because datagrams are lost.

        :return: the :class:`KnownPeer` of each process to probe, and pairs of each one
            that did not reply and the monotonic seconds of the last probe to it.
        """
        now = self.now()
        silent = self._take_silent()
        alive = [k for k in self.roster.alive() if _is_probed(k)]
        again = [k for k, _ in self._unanswered.values()]
        chosen = {k.member.incarnation: k for k in again}
        for known in self._choose(alive):
            chosen.setdefault(known.member.incarnation, known)
        for incarnation, known in chosen.items():
            if incarnation not in self._unanswered:
                self._unanswered[incarnation] = (known, [])
            self._unanswered[incarnation][1].append(now)
        return [*chosen.values(), *again, *self._choose_gone(len(alive))], silent

    def mark_reply(self, incarnation):
        """Record a message that comes from this process itself."""
        self._unanswered.pop(incarnation, None)

    def _take_silent(self):
        is_quiet = self.now() > self.roster.heard_at + MAX_QUIET_SECONDS
        silent = []
        for incarnation, (known, probes) in list(self._unanswered.items()):
            if self.roster.find(incarnation) is not known or not _is_probed(known):
                del self._unanswered[incarnation]
            elif len(probes) >= MAX_UNANSWERED_PROBES:
                del self._unanswered[incarnation]
                if not is_quiet:
                    silent.append((known, probes[-1]))
        return silent

    def _choose(self, alive):
        own = self.roster.local_member
        local = [k for k in alive if k.member.data_centre == own.data_centre]
        remote = [k for k in alive if k.member.data_centre != own.data_centre]
        yield from self._next_in_ring(local)
        yield from self._sample(local, LOCAL_PROBES)
        yield from self._sample(remote, REMOTE_PROBES)
        yield from self._choose_near_suspected(alive)
        watched = self.roster.find_name(self.watched_name)
        if watched is not None and _is_probed(watched):
            yield watched

    def _choose_near_suspected(self, alive):
        """Return processes of the data centres in which others are suspected."""
        suspected = [k for k in self.roster.alive() if k.is_suspected]
        data_centres = {k.member.data_centre for k in suspected}
        candidates = [k for k in alive if k.member.data_centre in data_centres]
        return self._sample(candidates, min(len(suspected), MAX_EXTRA_PROBES))

    def _next_in_ring(self, local):
        """Return the processes that follow this one in the ring of its data centre."""
        own = self.roster.own_ring_position
        ring = sorted(local, key=lambda k: (k.ring_position <= own, k.ring_position))
        return ring[:RING_PROBES]

    def _choose_gone(self, alive_count):
        """Return processes that are gone and that are probed for their return."""
        share = min(1.0, GONE_PROBES / (1 + alive_count))
        gone = self.roster.gone()
        chosen = [k for k in gone if self.random_state.random() < share]
        return self._sample(chosen, MAX_EXTRA_PROBES)

    def _sample(self, members, limit):
        return self.random_state.sample(members, min(len(members), limit))


def _is_probed(known):
    return known.member.life != _peer_messages.Life.LEAVING and not known.is_suspected
