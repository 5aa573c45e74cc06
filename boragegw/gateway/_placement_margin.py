"""Margin that non-idempotent requests need at servers that reset when full."""

import dataclasses


class PlacementMargin:
    """Chooses servers so that other requests of the same moment find room as well.

    It changes nothing at services that are not known to reset when full.

    :param board: the :class:`Blackboard`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, board, *, now):
        self.board = board
        self.now = now

    def restrict(self, search, scored):
        """Return the scored server of a probe, not acceptable if it lacks the margin.

        :param search: a :class:`Search`.
        :param scored: a :class:`~boragegw.balancing.ScoredServer`.
        """
        state = search.state.full_servers
        state.observe_probe(scored.server, scored.has_capacity)
        if not state.resets_when_full or not scored.is_acceptable:
            return scored
        if not search.non_idempotent or self._has_margin(search, scored.server):
            return scored
        return dataclasses.replace(scored, is_acceptable=False)

    def choose(self, search, available):
        """Return the best selection and reserve a place there.

        A non-idempotent request gets a server with margin. If there is none, it gets
        the one with the least risk: at once if that is low, else at its last search.

        :param available: a :class:`Selection` for each server with capacity.
        :return: ``None`` if no place is left.
        """
        state = search.state.full_servers
        if not state.resets_when_full:
            return min(available, key=_cost)
        available = [s for s in available if state.room(s.server) > 0]
        if search.non_idempotent:
            available = self._for_non_idempotent(search, available)
        best = min(available, key=_cost, default=None)
        if best is not None:
            state.reserve(best.server, self.now())
        return best

    def keeps_margin(self, search, server):
        """Return whether a request may get a server on which a place is reserved.

        The place was reserved for another request, which may run more than once.
        """
        is_bound = search.non_idempotent and search.state.full_servers.resets_when_full
        return not is_bound or self._has_margin(search, server)

    def _for_non_idempotent(self, search, available):
        safe = [s for s in available if self._has_margin(search, s.server)]
        if safe or not available:
            return safe
        state = search.state.full_servers
        risks = {
            s: state.overflow_risk(s.server, *self._scale(search)) for s in available
        }
        least = min(available, key=risks.get)
        is_taken = search.takes_last or risks[least] <= state.waiting_tail
        return [least] if is_taken else []

    def _scale(self, search):
        """Return the servers of the service, the processes and the time."""
        servers = len(self.board.by_service.get(search.service.name, ()))
        return servers, self.board.processes, self.now()

    def _has_margin(self, search, server):
        return search.state.full_servers.has_margin(server, *self._scale(search))


def _cost(selection):
    return selection.scored_server.cost
