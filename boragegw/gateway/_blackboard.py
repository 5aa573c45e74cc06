"""The blackboard of one gateway process: what is known, by writer."""

import asyncio
import collections
import dataclasses

from boragegw.gateway import _metrics


@dataclasses.dataclass(slots=True)
class Blackboard:
    """State that the controllers write and the request path reads.

    :param configuration: the configuration in force, ``None`` before the first.
        Writer: the catalogue.
    :param configured: set with the first configuration. Writer: the catalogue.
    :param servers: :class:`~boragegw.balancing.Server` by identity. Writer: the
        catalogue; the carrier writes what it learns of each.
    :param by_service: lists of the same servers. Writer: the catalogue.
    :param evacuated: data centres that are taken out. Writer: the catalogue.
    :param loading_snapshot: the first reading is arriving. Writer: the follower.
    :param behind: this process knows less than another one. Writer: the follower.
    :param processes: gateway processes that may be alive, this one included.
        Writer: membership.
    :param stopping: a planned stop has begun. Writer: the process.
    :param counters: by name, see :data:`~boragegw.gateway.COUNTERS`. Writers: all.
    :param histograms: :class:`~boragegw.gateway.Histogram` by name. Writer: the
        request path.
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
    counters: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    histograms: dict = dataclasses.field(
        default_factory=lambda: {n: _metrics.Histogram() for n in _metrics.HISTOGRAMS}
    )

    @property
    def ready(self):
        """Whether requests can be served: a configuration is known, no stop begun."""
        return self.configuration is not None and not self.stopping
