"""Addresses of servers that nobody can connect to."""

import asyncio
import json

import pytest

from boragegw import gateway, standins
from boragegw.platform import _addresses, _document_decoder
from boragegw.platform.tests import test_documents

USABLE = {
    "10.1.0.34:8548": ("10.1.0.34", 8548),
    "127.0.0.1:1": ("127.0.0.1", 1),
    "255.255.255.254:65535": ("255.255.255.254", 65535),
    "[::1]:80": ("::1", 80),
    "[fd00::1:2]:9000": ("fd00::1:2", 9000),
}
UNUSABLE = [
    "",
    ":",
    ":80",
    "10.1.0.34",
    "10.1.0.34:",
    "10.1.0.34:0",
    "10.1.0.34:00000",
    "127.0.0.1:99999",
    "127.0.0.1:65536",
    "127.0.0.1:" + "9" * 400,
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:-1",
    "127.0.0.1:+80",
    "127.0.0.1: 80",
    "127.0.0.1:8_0",
    "127.0.0.1:\u0668\u0660",
    "127.0..1:8080",
    "127.0.1:8080",
    "127.1:8080",
    "256.0.0.1:80",
    "010.1.0.034:80",
    "0.0.0.0:80",
    "[::]:80",
    "::1:80",
    "[::1:80",
    "[10.1.0.34]:80",
    "server.example:80",
    "localhost:80",
    "*:80",
    "\ud7ff:80",
    "10.1.0.34\x00:80",
    "10.1.0.34 :80",
    " 10.1.0.34:80",
    "x" * 10_000 + ":80",
    "10.1.0.34," * 1000 + ":80",
]


def decode_server(address):
    recorder = test_documents.EventRecorder()
    decoder = _document_decoder.DocumentDecoder(recorder)
    entry = {
        "address": address,
        "info": {"service": "app", "zone": "dc-a", "slots": 4},
        "status": {"state": "ready"},
    }
    record = gateway.Record("servers/i-1", json.dumps(entry).encode(), 1)
    return decoder.decode_server(record), decoder.counters, recorder.kinds


@pytest.mark.parametrize("text", USABLE)
def test_usable_address_is_listed(text):
    listing, counters, kinds = decode_server(text)
    assert listing.address == USABLE[text]
    assert not kinds
    assert not counters


@pytest.mark.parametrize("text", UNUSABLE)
def test_entry_with_an_unusable_address_names_no_server(text):
    """Guards against requests that end since they were sent to no address at all."""
    listing, counters, kinds = decode_server(text)
    assert listing is None
    assert kinds == ["foreign-entry"]
    assert counters["records.unreadable"] == 1


def test_error_shows_a_part_of_the_address():
    with pytest.raises(ValueError) as caught:
        _addresses.parse_address("x" * 10_000 + ":80")
    assert len(str(caught.value)) < 200


@pytest.mark.parametrize(
    "address",
    [
        ("127.0.0.1", 99999),
        ("127.0..1", 80),
        ("", 0),
        ("x" * 300, 80),
        ("a\x00b", 80),
        ("127.0.0.1", 10**400),
        ("127.0.0.1", -1),
    ],
)
def test_any_exception_of_an_attempt_to_connect_is_its_failure(address):
    """Guards against a request that ends, and a connection that is counted for good."""

    async def connect():
        loop = asyncio.get_running_loop()
        pool = gateway.ConnectionPool(address, loop.time)
        for _ in range(3):
            with pytest.raises(gateway.ExchangeError):
                await pool.acquire(2)
        return pool.is_empty

    assert asyncio.run(connect())


def test_real_processes_serve_all_beside_entries_with_unusable_addresses(tmp_path):
    """Guards against 3 in 100 requests that end without an answer."""

    async def play():
        statuses = []
        fleet = standins.ProcessFleet(tmp_path, [standins.ProcessFleet.route()])
        async with fleet:
            for number, text in enumerate(UNUSABLE):
                entry = fleet.backends[0].entry("app")
                entry["address"] = text
                fleet.store.put(f"servers/i-odd-{number}", entry)
            await asyncio.sleep(1.0)
            for number in range(200):
                response = await fleet.call("/x", to=number % 2)
                statuses.append(response.status)
            metrics = await fleet.metrics()
            ends = [process.own_ends for process in fleet.processes]
        return statuses, metrics, ends

    statuses, metrics, ends = asyncio.run(play())
    assert statuses.count(200) == len(statuses)
    assert metrics["boragegw_records_unreadable_total"] == 2 * len(UNUSABLE)
    assert metrics["boragegw_servers"] == 2 * 3
    assert metrics["boragegw_tasks_failed_total"] == 0
    assert ends == [0, 0]
