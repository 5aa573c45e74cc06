"""How long a request may wait for capacity: three rules behind one base class."""

import abc
import collections
import math

#: Share of the expected work that must remain as slack at the end of a long wait. Half
#: of the requests take longer than expected.
WORK_MARGIN_SHARE = 0.5


class WaitLimit(abc.ABC):
    """Decides how long the requests of one service wait.

    :param policy: the :class:`SheddingPolicy`.
    """

    def __init__(self, policy):
        self.policy = policy

    @abc.abstractmethod
    def leave_at(self, entry, rate, now):
        """Return the monotonic seconds until which a new request may wait.

        :param entry: the :class:`WaitEntry`.
        :param rate: the :class:`ServiceRate`.
        """

    def expects_turn(self, entry, ahead, rate, now):
        """Return whether a new request can get its turn within its wait.

        :param ahead: number of waiting requests that come before it.
        :param rate: the :class:`ServiceRate`.
        """
        return True

    def observe_sojourn(self, seconds, now):  # noqa: B027 - only one rule needs it
        """Record how long a request waited that has got a server."""

    def _fixed_end(self, entry):
        policy = self.policy
        share = policy.urgent_hold_share if entry.urgent else policy.hold_share
        return entry.admitted_at + share * entry.target_latency

    def _longest_end(self, entry, now):
        policy = self.policy
        share = policy.urgent_most_share if entry.urgent else policy.most_share
        most = entry.admitted_at + share * entry.target_latency
        return min(most, now + entry.slack(now) - WORK_MARGIN_SHARE * entry.work)


class FixedShare(WaitLimit):
    """A fixed share of the route's target latency."""

    def leave_at(self, entry, rate, now):
        """Return the end of the share."""
        return self._fixed_end(entry)


class ControlledDelay(WaitLimit):
    """A long wait as long as the queue empties, a short one while it stands.

    The queue stands if no request of the latest window got a server in less than the
    short wait. Then all requests would wait long, and none would gain by it.
    """

    def __init__(self, policy):
        super().__init__(policy)
        self._sojourns = collections.deque()

    def observe_sojourn(self, seconds, now):
        """Record a sojourn; keep the candidates for the minimum of the window."""
        sojourns = self._sojourns
        while sojourns and sojourns[-1][1] >= seconds:
            sojourns.pop()
        sojourns.append((now, seconds))

    def leave_at(self, entry, rate, now):
        """Return the end of the short or the long wait."""
        short = self._fixed_end(entry)
        if self._minimum(now) > short - entry.admitted_at:
            return short
        return max(short, self._longest_end(entry, now))

    def _minimum(self, now):
        sojourns = self._sojourns
        while sojourns and sojourns[0][0] < now - self.policy.window:
            sojourns.popleft()
        return sojourns[0][1] if sojourns else math.inf


class ExpectedWait(WaitLimit):
    """A long wait if the turn is expected within it; otherwise none.

    As long as nothing is known of the rate, requests wait for the fixed share.
    """

    def leave_at(self, entry, rate, now):
        """Return the end of the long wait, in which the request can be in time."""
        if rate.per_second(now) is None:
            return self._fixed_end(entry)
        return max(self._fixed_end(entry), self._longest_end(entry, now))

    def expects_turn(self, entry, ahead, rate, now):
        """Return whether the turn is expected within the wait."""
        per_second = rate.per_second(now)
        return per_second is None or now + (ahead + 1) / per_second <= entry.leave_at


#: Rules by the name in the settings.
WAIT_LIMITS = {
    "fixed share": FixedShare,
    "controlled delay": ControlledDelay,
    "expected wait": ExpectedWait,
}
