"""Counters, gauges and latency histograms in the Prometheus text format.

The Prometheus client library is not imported. Its import takes 35 ms of processor time
and 4.5 MB. It would stall a process at its first scrape, which often happens while
somebody investigates a failure. Tests parse the text with the library's own parser.
"""

import bisect

PREFIX = "boragegw_"
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"

#: Help texts of the counters by name; ``*`` stands for the value of a label.
COUNTERS = {
    "requests.answered": "requests that ended with a backend server's answer",
    "requests.failed.*": "requests that the gateway ended itself, by status",
    "requests.broken_off": "answers that ended after a part of them was passed on",
    "requests.late": "answers that came after their route's target latency",
    "requests.no_route": "requests that no route of the configuration matches",
    "requests.behind": "requests with an unknown route or API key while others know a "
    "later revision",
    "requests.unauthorized": "requests without a known API key",
    "requests.over_limit": "requests over the limit of their client account",
    "requests.moved_key": "requests whose API key has moved to another account",
    "requests.no_service": "requests whose route leads to no known service",
    "requests.unconfigured": "requests refused before the first configuration",
    "requests.defects": "requests that an error of the gateway itself ended",
    "requests.hedged": "second attempts of slow idempotent requests",
    "requests.retried": "attempts after a failed one",
    "requests.not_read.*": "requests refused before they were whole, by status",
    "requests.quarantined": "requests refused because they crash backend servers",
    "requests.stopping": "requests refused because the process ends too soon",
    "requests.caller_gone": "callers that went away before their answer",
    "requests.concurrent": "requests served behind an earlier one of their connection",
    "requests.dropped": "requests that were read behind a closing answer and not run",
    "requests.late_in_order": "answers that became late behind an earlier one",
    "repeats.denied.*": "failed requests that the policy of repeats refused to send "
    "again, by reason",
    "hedges.denied": "hedges for which the retry budget had nothing to spare",
    "attempts.sent": "attempts sent to backend servers",
    "attempts.failed": "attempts that ended without a whole answer",
    "attempts.reset.*": "of these, connections reset before a response, by cause",
    "probes.sent": "probes sent",
    "searches.full": "searches for a place that found no backend server with room",
    "connections.forgotten": "connections to backend servers that were closed since "
    "nothing gave them back",
    "queue.entered": "requests that waited for capacity",
    "queue.placed": "of these, requests that got a backend server",
    "queue.placed_by_report": "of these, requests that needed no probe",
    "queue.searches": "searches for the first of the requests that wait",
    "queue.left.*": "requests that left the queue without a backend server, by rule",
    "searches.cold_first": "searches that chose a cold server before the warm ones",
    "searches.spread": "searches with lower costs of distance, since near servers are "
    "nearly full",
    "limits.changed": "limits of backend servers that were named, changed or ended",
    "limits.passed_over": "servers that a search passed over because of their limits",
    "relays.sent": "requests that were relayed to another process",
    "relays.received": "requests that another process relayed to this one",
    "relays.refused": "relayed requests that this process did not take",
    "relays.failed": "relays that ended without an answer",
    "reach.checks": "checks whether the servers of a service can be connected to",
    "reach.failing": "times that all servers of a service in a data centre failed",
    "store.calls": "calls to the platform's store, a watch as one",
    "store.alarms": "notices to all processes that the store does not answer this one",
    "store.peer_reads": "reads from a process that watches the store",
    "confirmations.asked": "questions whether the configuration in force is the latest",
    "confirmations.failed": "of these, questions without an answer",
    "sources.bytes": "bytes of answers of the store and of other processes",
    "sources.left": "answers of sources that were given up for another source's",
    "sources.bytes_dropped": "bytes that had arrived of answers that were given up",
    "peers.datagrams_sent": "datagrams sent to peers",
    "peers.datagrams_dropped": "datagrams dropped as foreign, damaged or repeated",
    "peers.send_errors": "datagrams that could not be delivered",
    "records.unreadable": "records of the store that cannot be decoded",
    "tasks.failed": "errors of the process itself outside of requests",
}
ACCOUNT_HELP = "requests of the largest client accounts, and of all others together"
#: Label that holds the variable part of a counter's name.
LABELS = {
    "repeats.denied.*": "reason",
    "requests.failed.*": "status",
    "requests.not_read.*": "status",
    "attempts.reset.*": "cause",
    "queue.left.*": "rule",
}
GAUGES = {
    "ready": "whether requests are accepted, 1 or 0",
    "servers": "backend servers that are listed",
    "peers": "other processes in sight",
    "configuration_version": "version of the configuration in force",
    "store_position": "revision of the platform's store up to which all is known",
    "store_lag": "revisions by which others in sight know more than this process",
    "confirmation_age": "seconds since the latest configuration was known for certain, "
    "-1 if never",
    "answer_age": "seconds since the last answer of a source, -1 before the first",
    "connections": "callers' connections that are open",
    "waiting_requests": "requests that wait for capacity",
    "server_connections_counted": "connections to backend servers that count toward "
    "the limits",
    "server_connections_open": "connections to backend servers that are open",
    "limited_servers": "backend servers that have named a limit",
    "held_response_bytes": "bytes reserved for answers that wait for earlier ones",
    "services_resetting": "services whose backend servers reset when full",
    "lateness": "average seconds by which timers of this process run late",
    "services_lost": "services of which no backend server can be connected to",
}
HISTOGRAMS = {
    "request_seconds": "seconds from a request's first byte to its answer",
    "attempt_seconds": "seconds from an attempt's send to its whole answer",
    "placing_seconds": "seconds from a request's first byte to its first send",
    "head_of_line_seconds": "seconds that an answer waited for earlier ones",
    "queue_seconds": "seconds that a request waited for capacity, until it left",
}
#: Upper bounds of the histogram buckets in seconds. The time until the first attempt is
#: 2 to 30 ms. Responses arrive within 0.05 to 0.8 s and have little value after 1.5 s.
BUCKETS = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 1.5, 3.0)


class Histogram:
    """Number of observations per bucket, and the sum of their values."""

    __slots__ = ("counts", "sum")

    def __init__(self):
        self.counts = [0] * (len(BUCKETS) + 1)
        self.sum = 0.0

    def observe(self, seconds):
        """Add one observation."""
        self.counts[bisect.bisect_left(BUCKETS, seconds)] += 1
        self.sum += seconds


def render_metrics(counters, gauges, histograms, accounts):
    """Return all metrics in the Prometheus text format, in bytes.

    :param counters: values by name; names are those of :data:`COUNTERS`.
    :param gauges: values by name; names are those of :data:`GAUGES`.
    :param histograms: :class:`Histogram` by name; names are those of
        :data:`HISTOGRAMS`.
    :param accounts: pairs of name and :class:`AccountCount`.
    """
    lines = []
    for name, help_text in COUNTERS.items():
        lines += _counter_lines(name, help_text, counters)
    lines += _account_lines(accounts)
    for name, help_text in GAUGES.items():
        lines += _header_lines(name, "gauge", help_text)
        lines.append(f"{PREFIX}{name} {gauges[name]}")
    for name, help_text in HISTOGRAMS.items():
        lines += _header_lines(name, "histogram", help_text)
        lines += _histogram_lines(name, histograms[name])
    return ("\n".join(lines) + "\n").encode()


def _header_lines(name, kind, help_text):
    return [f"# HELP {PREFIX}{name} {help_text}", f"# TYPE {PREFIX}{name} {kind}"]


def _counter_lines(name, help_text, counters):
    label = LABELS.get(name)
    base = name.removesuffix(".*")
    metric = base.replace(".", "_") + "_total"
    yield from _header_lines(metric, "counter", help_text)
    if label is None:
        yield f"{PREFIX}{metric} {counters.get(name, 0)}"
        return
    for counter in sorted(counters):
        if counter.startswith(base + "."):
            value = counter.removeprefix(base + ".")
            yield f'{PREFIX}{metric}{{{label}="{value}"}} {counters[counter]}'


def _account_lines(accounts):
    metric = "account_requests_total"
    yield from _header_lines(metric, "counter", ACCOUNT_HELP)
    for name, count in accounts:
        label = name.replace("\\", "\\\\").replace('"', '\\"')
        for outcome, number in (
            ("admitted", count.admitted),
            ("refused", count.refused),
        ):
            labels = f'account="{label}",outcome="{outcome}"'
            yield f"{PREFIX}{metric}{{{labels}}} {number}"


def _histogram_lines(name, histogram):
    total = 0
    for bound, count in zip((*BUCKETS, "+Inf"), histogram.counts, strict=True):
        total += count
        yield f'{PREFIX}{name}_bucket{{le="{bound}"}} {total}'
    yield f"{PREFIX}{name}_sum {round(histogram.sum, 6)}"
    yield f"{PREFIX}{name}_count {total}"
