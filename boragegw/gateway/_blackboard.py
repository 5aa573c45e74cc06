"""Blackboard of one gateway process: shared state, with one writer for each field."""

import asyncio
import collections
import dataclasses
import math

from boragegw.gateway import _account_counts, _metrics


@dataclasses.dataclass(slots=True)
class Blackboard:
    """State that the controllers write and the request path reads.

    :param configuration: the configuration in force, ``None`` before the first one.
        Writer: the catalogue.
    :param configured: event that is set with the first configuration. Writer: the
        catalogue.
    :param servers: :class:`~boragegw.balancing.Server` by identity. Writer: the
        catalogue; the request path updates the state of each server.
    :param by_service: lists of the same servers by name of the service. Writer: the
        catalogue.
    :param evacuated: data centres that get no requests. Writer: the catalogue.
    :param loading_snapshot: whether the first snapshot is arriving. Writer: the
        follower.
    :param behind: whether another process knows a later revision. Writer: the follower.
    :param processes: number of gateway processes that may be alive, including this one.
        Writer: the membership.
    :param stopping: whether a graceful shutdown has begun. Writer: the process.
    :param stop_by: monotonic seconds by which a process that shuts down has to end;
        infinite before. Writer: the process.
    :param counters: by name, see :data:`~boragegw.gateway.COUNTERS`. Writers: all.
    :param accounts: requests by client account. Writer: the request path.
    :param histograms: :class:`~boragegw.gateway.Histogram` by name. Writer: the request
        path.
    """

    configuration: object = None
    configured: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    servers: dict = dataclasses.field(default_factory=dict)
    by_service: dict = dataclasses.field(default_factory=dict)
    evacuated: frozenset = frozenset()
    loading_snapshot: bool = False
    behind: bool = False
    processes: int = 1
    stopping: bool = False
    stop_by: float = math.inf
    counters: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    accounts: _account_counts.AccountCounts = dataclasses.field(
        default_factory=_account_counts.AccountCounts
    )
    histograms: dict = dataclasses.field(
        default_factory=lambda: {n: _metrics.Histogram() for n in _metrics.HISTOGRAMS}
    )

    @property
    def ready(self):
        """Whether there is a configuration and no shutdown has begun."""
        return self.configuration is not None and not self.stopping
