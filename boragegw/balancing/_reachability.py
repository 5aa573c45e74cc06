"""Reachability: whether this process can still connect to a service's backend servers.

A server that is full or slow still accepts a connection. If several servers of a data
centre in a row do not, and none of them did in between, the data centre is failing for
this process and service. If that holds for all data centres with servers of the
service, either the network between this process and the service is interrupted or the
service is down. Which of the two it is, only other processes can tell: they publish the
services that they do not reach either.
"""

import dataclasses
import math

from boragegw import utils


@dataclasses.dataclass(slots=True)
class DataCentreReach:
    """Contacts of this process with the servers of one service in one data centre.

    :param failed: monotonic seconds of the latest failure by identity of the server,
        of those that accepted no connection since one there was reached.
    :param is_failing: whether its servers count as out of reach.
    :param reached_at: monotonic seconds at which a server there was last reached.
    """

    failed: dict = dataclasses.field(default_factory=dict)
    is_failing: bool = False
    reached_at: float = -math.inf


@dataclasses.dataclass(slots=True)
class ServiceReach:
    """Contacts of this process with the backend servers of one service.

    :param failed: monotonic seconds of the latest failure by identity of the server,
        of all servers that accepted no connection since one was reached.
    :param silent: the same of the servers that did not answer on an open connection.
    :param is_lost: whether the service counts as out of reach.
    :param lost_at: monotonic seconds at which it was last lost.
    :param checked_at: monotonic seconds of the latest check.
    :param reached_at: monotonic seconds at which a server was last reached.
    :param data_centres: :class:`DataCentreReach` by data centre.
    """

    failed: dict = dataclasses.field(default_factory=dict)
    silent: dict = dataclasses.field(default_factory=dict)
    is_lost: bool = False
    lost_at: float = -math.inf
    checked_at: float = -math.inf
    reached_at: float = -math.inf
    data_centres: dict = dataclasses.field(default_factory=dict)

    def data_centre(self, name):
        """Return the :class:`DataCentreReach` of a data centre."""
        reach = self.data_centres.get(name)
        if reach is None:
            reach = self.data_centres[name] = DataCentreReach()
        return reach

    def failing(self):
        """Return the names of the data centres that are failing."""
        return [name for name, reach in self.data_centres.items() if reach.is_failing]


class ReachabilityPolicy(utils.Parameterized):
    """Decides from contacts whether a service is out of reach, and what to check.

    :param lost_after: number of different servers that must have accepted no connection
        in a row; all of them if a service has fewer.
    :param failing_after: number of different servers of a data centre that must have
        accepted no connection in a row for it to be failing; all of them if it has
        fewer. 0 does not tell data centres apart.
    :param suspect_after: number of different servers that must have failed or been
        silent in a row for the service to be checked.
    :param memory: seconds after which a failure no longer counts.
    :param check_interval: seconds between two checks of the same service.
    :param check_size: number of servers to which a check opens connections, in each
        data centre that is failing.
    :param unreached_checks: number of checks without success after which no server is
        searched for any more.
    :param regained_share: least share of these that must accept for a lost service to
        count as reached again, or a failing data centre. Guards against a process that
        still reaches one server of many: it would send its requests there and lose the
        service again.
    """

    _parameter_constraints = {
        "lost_after": utils.Interval(int, 1, 64),
        "failing_after": utils.Interval(int, 0, 64),
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
        failing_after=2,
        suspect_after=2,
        memory=3.0,
        check_interval=0.3,
        check_size=4,
        unreached_checks=3,
        regained_share=0.5,
    ):
        self.lost_after = lost_after
        self.failing_after = failing_after
        self.suspect_after = suspect_after
        self.memory = memory
        self.check_interval = check_interval
        self.check_size = check_size
        self.unreached_checks = unreached_checks
        self.regained_share = regained_share

    def observe_reached(self, reach, now, data_centre=""):
        """Record that a server accepted a connection or responded.

        A lost service is regained by a check only, and so is a failing data centre.
        """
        reach.failed.clear()
        reach.silent.clear()
        reach.reached_at = now
        local = reach.data_centre(data_centre)
        local.failed.clear()
        local.reached_at = now

    def reaches_none(self, reach, now):
        """Return whether the service is lost and several checks reached no server.

        A request for it is then refused without a search. As long as some servers are
        reached, they are worth a search, although the service counts as lost.
        """
        checked_for = self.unreached_checks * self.check_interval
        return reach.is_lost and now > reach.reached_at + checked_for

    def observe_failed(self, reach, identity, servers, now, data_centre="", sizes=None):
        """Record that a server accepted no connection.

        :param reach: a :class:`ServiceReach`.
        :param servers: number of servers of the service.
        :param data_centre: data centre of the server.
        :param sizes: number of servers by data centre, of all that have any; ``None``
            if all are in one.
        :return: whether the service has just been lost.
        """
        self._check_params()
        reach.failed[identity] = now
        reach.data_centre(data_centre).failed[identity] = now
        self._expire(reach, now)
        sizes = sizes or {data_centre: servers}
        if len(sizes) > 1:
            self._mark_failing(reach, data_centre, sizes)
        if reach.is_lost or len(reach.failed) < min(self.lost_after, servers):
            return False
        if len(sizes) > 1 and not set(sizes) <= set(reach.failing()):
            return False
        reach.is_lost = True
        reach.lost_at = now
        return True

    def _mark_failing(self, reach, data_centre, sizes):
        needed = min(self.failing_after, sizes.get(data_centre, 1))
        local = reach.data_centre(data_centre)
        local.is_failing = local.is_failing or len(local.failed) >= needed

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
        is_suspect = (
            reach.is_lost or suspects >= self.suspect_after or bool(reach.failing())
        )
        if not is_suspect or now < reach.checked_at + self.check_interval:
            return False
        reach.checked_at = now
        return True

    def observe_check(self, reach, accepted, checked, data_centre=""):
        """Record how many of the checked servers accepted a connection.

        :return: whether the service has just been regained.
        """
        local = reach.data_centre(data_centre)
        if not (reach.is_lost or local.is_failing) or not checked:
            return False
        if accepted < max(1, self.regained_share * checked):
            return False
        was_lost, reach.is_lost = reach.is_lost, False
        local.is_failing = False
        local.failed.clear()
        reach.failed.clear()
        reach.silent.clear()
        return was_lost

    def check_sizes(self, reach, data_centres, now):
        """Return the number of servers that a check connects to by data centre.

        A check tells whether this process is cut off from all data centres, so it
        covers also those of which no server was reached since the last check.

        :param data_centres: names of those with servers of the service.
        """
        if not data_centres:
            return {}
        sample = max(self.failing_after, -(-self.check_size // len(data_centres)))
        due = {}
        for name in data_centres:
            local = reach.data_centre(name)
            if reach.is_lost or local.is_failing or len(data_centres) == 1:
                due[name] = self.check_size
            elif now > local.reached_at + self.check_interval:
                due[name] = sample
        return due

    def choose_servers(self, servers, random_state, size=None):
        """Return the servers that a check connects to, those of any state.

        :param size: their number, by default ``check_size``.
        """
        size = self.check_size if size is None else size
        return random_state.sample(servers, min(size, len(servers)))

    def _expire(self, reach, now):
        oldest = now - self.memory
        if not reach.is_lost:
            reach.failed = _newer(reach.failed, oldest)
            for local in reach.data_centres.values():
                local.failed = _newer(local.failed, oldest)
        reach.silent = _newer(reach.silent, oldest)


def _newer(moments, oldest):
    """Return the entries that are not older, the same object if these are all."""
    if not moments or min(moments.values()) >= oldest:
        return moments
    return {key: moment for key, moment in moments.items() if moment >= oldest}
