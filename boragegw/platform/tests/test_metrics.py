"""Metrics endpoint as read by a Prometheus scraper."""

import prometheus_client.parser
import pytest

from boragegw import gateway, standins

in_memory = standins.in_memory


async def scrape(installation, name="gw-0"):
    reply = await installation.send_request((name, 7541), "/v1/metrics")
    assert reply.headers["content-type"].startswith("text/plain; version=0.0.4")
    text = reply.body.decode()
    return {
        (sample.name, *sorted(sample.labels.items())): sample.value
        for family in prometheus_client.parser.text_string_to_metric_families(text)
        for sample in family.samples
    }


@in_memory
async def test_scraper_reads_counters_gauges_and_histograms():
    installation = await standins.WireInstallation().start()
    for number in range(5):
        await installation.call(f"/{number}")
    metrics = await scrape(installation)
    assert metrics["boragegw_requests_answered_total",] == 5
    assert metrics["boragegw_request_seconds_count",] == 5
    assert metrics["boragegw_request_seconds_bucket", ("le", "+Inf")] == 5
    assert metrics["boragegw_request_seconds_bucket", ("le", "0.002")] == 0
    assert 0.25 <= metrics["boragegw_attempt_seconds_sum",] < 0.5
    assert metrics["boragegw_servers",] == 3
    assert metrics["boragegw_ready",] == 1


@in_memory
async def test_failures_are_counted_by_status():
    """Operators must see which error responses the process generated itself."""
    installation = await standins.WireInstallation().start(route_type="unsafe")
    for backend in installation.backends.values():
        backend.faults.reset_after_run = True
    await installation.call("/pay", "POST", b"1")
    metrics = await scrape(installation)
    assert metrics["boragegw_requests_failed_total", ("status", "502")] == 1
    assert metrics["boragegw_attempts_failed_total",] == 1


@in_memory
async def test_other_paths_are_not_found():
    installation = await standins.WireInstallation().start()
    assert (await installation.send_request(("gw-0", 7541), "/")).status == 404


@pytest.mark.parametrize(
    ("seconds", "bound"), [(0.0, 0), (0.002, 0), (0.0021, 1), (3.0, 12), (9.0, 13)]
)
def test_histogram_counts_up_to_its_bound(seconds, bound):
    histogram = gateway.Histogram()
    histogram.observe(seconds)
    assert histogram.counts.index(1) == bound
