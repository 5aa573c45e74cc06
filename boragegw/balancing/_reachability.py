"""Reachability: whether this process can still connect to a service's backend servers.

A server that is full or slow still accepts a connection. If several servers in a row do
not, and none of them did in between, either the network between this process and the
service is interrupted or the service is down. Which of the two it is, only other
processes can tell: they publish the services that they do not reach either.
"""

import dataclasses
import math

from boragegw import utils


@dataclasses.dataclass(slots=True)
class ServiceReach:
    """Contacts of this process with the backend servers of one service.

    :param failed: monotonic seconds of the latest failure by identity of the server,
        of all servers that accepted no connection since one was reached.
    :param silent: the same of the servers that did not answer on an open connection.
    :param is_lost: whether the service counts as out of reach.
    :param checked_at: monotonic seconds of the latest check.
    :param reached_at: monotonic seconds at which a server was last reached.
    """

    failed: dict = dataclasses.field(default_factory=dict)
    silent: dict = dataclasses.field(default_factory=dict)
    is_lost: bool = False
    checked_at: float = -math.inf
    reached_at: float = -math.inf


class ReachabilityPolicy(utils.Parameterized):
    """Decides from contacts whether a service is out of reach, and what to check.

    :param lost_after: number of different servers that must have accepted no connection
        in a row; all of them if a service has fewer.
    :param suspect_after: number of different servers that must have failed or been
        silent in a row for the service to be checked.
    :param memory: seconds after which a failure no longer counts.
    :param check_interval: seconds between two checks of the same service.
    :param check_size: number of servers to which a check opens connections.
    :param unreached_checks: number of checks without success after which no server is
        searched for any more.
    :param regained_share: least share of these that must accept for a lost service to
        count as reached again. Guards against a process that still reaches one server
        of many: it would send its requests there and lose the service again.
    """

    _parameter_constraints = {
        "lost_after": utils.Interval(int, 1, 64),
        "suspect_after": utils.Interval(int, 1, 64),
        "memory": utils.Interval(float, 0.1, 60),
        "check_interval": utils.Interval(float, 0.01, 60),
        "check_size": utils.Interval(int, 1, 64),
        "unreached_checks": utils.Interval(int, 1, 100),
        "regained_share": utils.Interval(float, 0, 1),
    }

    def __init__(
        self,
        lost_after=4,
        suspect_after=2,
        memory=3.0,
        check_interval=0.3,
        check_size=4,
        unreached_checks=3,
        regained_share=0.5,
    ):
        self.lost_after = lost_after
        self.suspect_after = suspect_after
        self.memory = memory
        self.check_interval = check_interval
        self.check_size = check_size
        self.unreached_checks = unreached_checks
        self.regained_share = regained_share

    def observe_reached(self, reach, now):
        """Record that a server accepted a connection or responded.

        A lost service is regained by a check only.
        """
        reach.failed.clear()
        reach.silent.clear()
        reach.reached_at = now

    def reaches_none(self, reach, now):
        """Return whether the service is lost and several checks reached no server.

        A request for it is then refused without a search. As long as some servers are
        reached, they are worth a search, although the service counts as lost.
        """
        checked_for = self.unreached_checks * self.check_interval
        return reach.is_lost and now > reach.reached_at + checked_for

    def observe_failed(self, reach, identity, servers, now):
        """Record that a server accepted no connection.

        :param reach: a :class:`ServiceReach`.
        :param servers: number of servers of the service.
        :return: whether the service has just been lost.
        """
        self._check_params()
        reach.failed[identity] = now
        self._expire(reach, now)
        if reach.is_lost or len(reach.failed) < min(self.lost_after, servers):
            return False
        reach.is_lost = True
        return True

    def observe_silence(self, reach, identity, now):
        """Record a server that did not answer on a connection that was open before.

        This proves nothing, since a full server may not answer either, but it is a
        reason to check.
        """
        reach.silent[identity] = now

    def is_check_due(self, reach, now):
        """Return whether servers should be checked; if so, count it as done now."""
        self._check_params()
        self._expire(reach, now)
        suspects = len(reach.failed.keys() | reach.silent.keys())
        is_suspect = reach.is_lost or suspects >= self.suspect_after
        if not is_suspect or now < reach.checked_at + self.check_interval:
            return False
        reach.checked_at = now
        return True

    def observe_check(self, reach, accepted, checked):
        """Record how many of the checked servers accepted a connection.

        :return: whether the service has just been regained.
        """
        if not reach.is_lost or not checked:
            return False
        if accepted < max(1, self.regained_share * checked):
            return False
        reach.is_lost = False
        reach.failed.clear()
        reach.silent.clear()
        return True

    def choose_servers(self, servers, random_state):
        """Return the servers that a check connects to, those of any state."""
        return random_state.sample(servers, min(self.check_size, len(servers)))

    def _expire(self, reach, now):
        oldest = now - self.memory
        if not reach.is_lost:
            reach.failed = _newer(reach.failed, oldest)
        reach.silent = _newer(reach.silent, oldest)


def _newer(moments, oldest):
    """Return the entries that are not older, the same object if these are all."""
    if not moments or min(moments.values()) >= oldest:
        return moments
    return {key: moment for key, moment in moments.items() if moment >= oldest}
