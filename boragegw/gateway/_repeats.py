"""Repeats of requests: retries and hedges, charged to the retry budget of a service."""

from boragegw import balancing

#: Probability of a response on time below which a hedge counts as too late for the
#: target.
MIN_HEDGE_PROBABILITY = 0.1
#: Share of the retry budget that a hedge too late for the target leaves to others, if
#: others use the budget.
LATE_HEDGE_RESERVE = 0.8
#: Median latencies that a caller must have left to return by itself after a refusal.
RETURN_MEDIANS = 2.0


class RepeatControl:
    """Decides on retries and hedges and charges them to the retry budget.

    :param board: the :class:`Blackboard`.
    """

    def __init__(self, board):
        self.board = board

    @staticmethod
    def hedge_at(call, since):
        """Return the monotonic seconds at which to hedge.

        :param since: monotonic seconds of the first attempt or the latest bytes.
        """
        end = min(call.target_at, call.deadline)
        state = call.state
        return state.hedging.hedge_at(state.latencies, call.route, since, end)

    def try_hedge(self, call, now):
        """Charge a hedge; return whether the budget allowed it."""
        state = call.state
        window = state.retry_budget.state(now, self.board.processes)
        reserve = state.repeats.hedge_reserve(window, now)
        left = min(call.target_at, call.deadline) - now
        probability = state.latencies.probability_within(call.route.name, left)
        if probability < MIN_HEDGE_PROBABILITY and window.spent:
            reserve = max(reserve, LATE_HEDGE_RESERVE)
        if not state.retry_budget.try_spend(now, self.board.processes, reserve):
            self.board.counters["hedges.denied"] += 1
            return False
        state.repeats.observe_hedge(window, now)
        return True

    @staticmethod
    def refund(call):
        """Undo a retry or a hedge that found no backend server."""
        call.state.retry_budget.refund()
        call.state.repeats.observe_refund()

    def try_retry(self, call, now):
        """Charge a retry; return whether the policy and the budget allowed it.

        Otherwise, ``call.not_repeated`` states the reason.
        """
        state = call.state
        window = state.retry_budget.state(now, self.board.processes)
        verdict = state.repeats.decide(_candidate(call, now), window, now)
        if verdict is balancing.RepeatVerdict.GRANTED:
            return state.retry_budget.try_spend(now, self.board.processes)
        self.board.counters[f"repeats.denied.{verdict.name.lower()}"] += 1
        call.not_repeated = verdict.value
        return False


def _candidate(call, now):
    """Return the :class:`~boragegw.balancing.RepeatCandidate` of a failed call."""
    latencies, route = call.state.latencies, call.route.name
    left = call.deadline - now
    on_time = min(call.target_at - now, left)
    return balancing.RepeatCandidate(
        call.priority,
        latencies.probability_within(route, on_time),
        latencies.probability_within(route, left),
        _chances(call, left),
    )


def _chances(call, left):
    """Return the chances that a refusal leaves to the caller; see the candidate.

    A caller of an idempotent request returns after any failure, another one only if it
    gets the promise that the request was not executed. A returned caller has used its
    chance.
    """
    least = RETURN_MEDIANS * call.state.latencies.median(call.route.name)
    if call.is_return or left < least:
        return 0
    return 2 if call.idempotent else 1
