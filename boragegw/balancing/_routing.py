"""Routes: which service a request goes to, and what its route permits."""

import dataclasses
import enum


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    SAFE = "safe"
    NON_IDEMPOTENT = "non-idempotent"
    DOWNLOAD = "download"

    @property
    def idempotent(self):
        """Whether a request may run more than once."""
        return self is not RouteKind.NON_IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One part of a split route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route of the configuration in force.

    :param host: host name in lower case, without a port.
    :param prefix: path prefix that begins and ends with a slash.
    :param timeout: longest time in seconds that a request is kept waiting.
    :param target_latency: seconds within which an answer is worth most.
    :param priority: rank among the requests of a service; 0 is the most urgent.
    :param max_attempts: most backend servers on which one request may run.
    :param weighted_services: the services that share the requests, by weight. Empty if
        they are not known; requests are then refused.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    target_latency: float
    priority: int
    max_attempts: int
    weighted_services: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSettings:
    """One service of the configuration in force.

    :param health_path: path of the health check.
    :param max_connections: connections that a backend server accepts from everybody.
    :param warm_up: seconds for which a backend server stays cold after its start.
    :param warm_up_rate: requests per second that a cold backend server bears.
    """

    name: str
    health_path: str
    max_connections: int
    warm_up: float
    warm_up_rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send; bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 64 << 20
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class RouteTable:
    """Finds a request's route by host and longest prefix.

    The look-up tries each prefix of the path that ends with a slash, longest first,
    so its cost follows the depth of the path and not the number of routes.
    """

    def __init__(self, routes):
        self._by_host = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def __len__(self):
        return sum(len(routes) for routes in self._by_host.values())

    def match(self, host, path):
        """Return the route of ``path`` at ``host``, or ``None``.

        :param host: value of the Host header.
        :param path: path without a query.
        """
        routes = self._by_host.get(normalize_host(host))
        if routes is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def normalize_host(host):
    """Return ``host`` in lower case without its port."""
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        host = name
    return host.strip().lower()


class WeightedRoundRobin:
    """Takes the parts of a split route in turn, in proportion to their weights.

    Smooth weighted round robin keeps each process within one request of the weights,
    where an even draw would stray by 0.035 of a share over 200 requests. The start is
    drawn, so that many processes do not favour the same part at first.
    """

    def __init__(self, parts, random_state):
        self._parts = [part for part in parts if part.weight > 0] or list(parts)
        self._total = sum(part.weight for part in self._parts)
        self._credit = [random_state.random() * self._total for _ in self._parts]

    def next_service(self):
        """Return the service of the next request."""
        if len(self._parts) == 1:
            return self._parts[0].service
        best = 0
        for index, part in enumerate(self._parts):
            self._credit[index] += part.weight
            if self._credit[index] > self._credit[best]:
                best = index
        self._credit[best] -= self._total
        return self._parts[best].service


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A configuration in force, whole.

    :param version: greater versions replace smaller ones.
    :param services: :class:`ServiceSettings` by name.
    """

    version: int
    routes: RouteTable
    services: dict
    limits: CallerLimits
