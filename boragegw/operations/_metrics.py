"""The table of all metrics, and the statsd reporter."""

import statsd

from boragegw import gateway

METRICS = {
    **gateway.COUNTERS,
    "requests.refused.*": "requests refused, by error code",
    "requests.forwarded": "non-idempotent requests forwarded to their home",
    "requests.resumed": "downloads continued on another backend server",
    "requests.shed": "waiting requests refused for lack of room",
    "requests.expired_in_queue": "waiting requests whose deadline passed",
    "requests.slow_caller": "answers given up because the caller did not read",
    "requests.broken_off": "answers that broke off after their head was sent",
    "keys.replayed": "resends that joined or got a stored outcome",
    "probes.failed": "probes without an answer",
    "probes.over_budget": "probes not sent for lack of budget",
    "backends.turned_cold": "backend servers that turned cold",
    "backends.turned_warm": "backend servers that turned warm",
    "configuration.adopted": "configurations put in force",
    "configuration.rejected": "configurations refused as invalid",
    "configuration.stale_reads": "reads that returned an older revision",
    "configuration.reads": "reads of the platform, a watch as one",
    "fleet.rejected": "lists of VMs refused as invalid",
    "platform.failures": "failed reads of the platform",
    "peers.datagrams_received": "datagrams received",
    "peers.bytes_sent": "bytes of datagrams sent",
    "peers.bytes_received": "bytes of datagrams received",
    "peers.requests_refused": "requests of peers without a valid signature",
}
GAUGES = {
    "gauge.in_flight": "requests in this process",
    "gauge.revision": "configuration revision in force",
    "gauge.configuration_age": "seconds since the revision was confirmed",
    "gauge.peers_alive": "peers in sight",
    "gauge.keys": "records of keys held",
    "gauge.queue.*": "requests waiting, by service",
}


class MetricsReporter:
    """Sends changed counters and all gauges to statsd, in one pipeline.

    :param board: the blackboard with the counters.
    :param keys: the table of idempotency keys.
    :param address: ``host:port`` of the statsd server; ``None`` disables the reporter.
    :param prefix: first part of each metric name.
    :param client: a statsd client to use instead of one for ``address``.
    """

    def __init__(
        self, board, clock, keys, address=None, prefix="boragegw", client=None
    ):
        self.board = board
        self.clock = clock
        self.keys = keys
        self.address = address
        self.prefix = prefix
        self._client = client
        self._sent = {}
        if client is None and address is not None:
            host, _, port = address.rpartition(":")
            self._client = statsd.StatsClient(host.strip("[]"), int(port), prefix)

    def flush(self):
        """Send the counters that changed since the last call, and all gauges."""
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, value in self.board.counters.items():
                change = value - self._sent.get(name, 0)
                if change:
                    pipeline.incr(name, change)
                    self._sent[name] = value
            for name, value in self.gauges():
                pipeline.gauge(name, value)

    def gauges(self):
        """Yield the name and value of each gauge."""
        board = self.board
        now = self.clock.now()
        yield "gauge.in_flight", board.lifecycle.in_flight
        yield "gauge.revision", board.configuration.revision
        age = min(now - board.configuration.confirmed_at, 1e9)
        yield "gauge.configuration_age", round(age, 3)
        yield "gauge.peers_alive", sum(1 for _ in board.membership.alive(now))
        yield "gauge.keys", len(self.keys)
        for name, service in board.services.items():
            yield f"gauge.queue.{name}", len(service.waiting)
