"""Routing: which service a request goes to, and the limits of its route."""

import dataclasses
import enum


class RouteKind(enum.Enum):
    """Kind of the requests of a route; determines whether they may be retried."""

    SAFE = "safe"
    NON_IDEMPOTENT = "non-idempotent"
    DOWNLOAD = "download"

    @property
    def idempotent(self):
        """Whether requests may run more than once."""
        return self is not RouteKind.NON_IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route of the active configuration.

    :param host: host name in lower case, without a port.
    :param prefix: path prefix that begins and ends with a slash.
    :param timeout: maximum time in seconds until a request is answered.
    :param target_latency: seconds within which requests should be answered.
    :param priority: priority among the requests of a service; 0 is the most urgent.
    :param max_attempts: maximum number of backend servers on which a request may run.
    :param weighted_services: the services that share the requests, by weight. Empty if
        they are not known; requests are then refused.
    :param anonymous: whether requests need no API key.
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
    anonymous: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSettings:
    """Settings of a service in the active configuration.

    :param health_path: path of the health check.
    :param max_connections: connections that a backend server accepts in total.
    :param warm_up: seconds for which a backend server stays cold after its start.
    :param warm_up_rate: requests per second that a cold backend server can handle.
    """

    name: str
    health_path: str
    max_connections: int
    warm_up: float
    warm_up_rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests of callers, in bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 64 << 20
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class RouteTable:
    """Finds the route of a request by host and longest path prefix.

    A lookup tries each prefix of the path that ends with a slash, longest first. Its
    cost depends on the depth of the path and not on the number of routes.

    :param routes: the :class:`Route` objects.
    :param incomplete_hosts: hosts with further routes whose prefixes are not known;
        ``None`` among them stands for a host that is not known either.
    """

    def __init__(self, routes, incomplete_hosts=()):
        self._incomplete_hosts = frozenset(
            None if host is None else normalize_host(host) for host in incomplete_hosts
        )
        self._by_host = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def __len__(self):
        return sum(len(routes) for routes in self._by_host.values())

    def may_lack_route(self, host):
        """Return whether ``host`` may have a route that is not in this table."""
        incomplete = self._incomplete_hosts
        return None in incomplete or normalize_host(host) in incomplete

    def match(self, host, path):
        """Return the route of ``path`` on ``host``, or ``None``.

        :param host: value of the Host header.
        :param path: request path without the query.
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
    """Return ``host`` in lower case without its port and without a final dot."""
    host = host.strip()
    name, colon, port = host.rpartition(":")
    if colon and (not port or port.isdigit()):
        host = name
    return host.removesuffix(".").lower()


class WeightedRoundRobin:
    """Smooth weighted round robin over the services of a route.

    Each process stays within one request of the weights. Random selection would
    deviate by 0.035 in the share of a service over 200 requests. The initial state is
    random, so that many processes do not all start with the same service.

    :param services: a sequence of :class:`WeightedService`.
    """

    def __init__(self, services, random_state):
        self._services = [s for s in services if s.weight > 0] or list(services)
        self._total_weight = sum(s.weight for s in self._services)
        self._current_weights = [
            random_state.random() * self._total_weight for _ in self._services
        ]

    def next_service(self):
        """Return the name of the service that gets the next request."""
        if len(self._services) == 1:
            return self._services[0].service
        best = 0
        for index, weighted in enumerate(self._services):
            self._current_weights[index] += weighted.weight
            if self._current_weights[index] > self._current_weights[best]:
                best = index
        self._current_weights[best] -= self._total_weight
        return self._services[best].service


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A complete configuration.

    :param version: a greater version replaces a smaller one.
    :param services: :class:`ServiceSettings` by name.
    :param accounts: an :class:`~boragegw.accounts.AccountTable`; ``None`` if requests
        need no API keys.
    """

    version: int
    routes: RouteTable
    services: dict
    limits: CallerLimits
    accounts: object = None
