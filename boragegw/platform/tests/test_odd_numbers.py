"""Numbers in headers that are too large or no numbers cost only themselves."""

import asyncio

import pytest

from boragegw import gateway, standins, utils
from boragegw.platform import _dialect

in_memory = standins.in_memory

#: Texts that are no number, or one that is out of range.
ODD_NUMBERS = [
    b"",
    b" ",
    b"-1",
    b"+1",
    b"1_0",
    b"0x10",
    b"500,600",
    b"1e3",
    b"1e309",
    b"nan",
    b"inf",
    b"-inf",
    b"infinity",
    b"1.",
    b".5",
    b"1.5.5",
    b"\xd9\xa6",
    b"\xb2",
    b"1\x00",
    b"words",
    b"9" * 16,
    b"9" * 400,
    b"9" * 5000,
    b"0." + b"9" * 400,
    b"1 2",
]
DIALECT = _dialect.PlatformDialect()


def response(**headers):
    pairs = [(k.replace("_", "-").encode(), v) for k, v in headers.items()]
    return gateway.Response(200, pairs)


@pytest.mark.parametrize("text", ODD_NUMBERS)
def test_text_that_is_no_number_is_none(text):
    assert utils.parse_integer(text) is None
    assert utils.parse_decimal(text) is None


@pytest.mark.parametrize(
    ("text", "integer", "decimal"),
    [
        (b"0", 0, 0.0),
        (b" 12\t", 12, 12.0),
        (b"007", 7, 7.0),
        (b"9" * 15, 10**15 - 1, 1e15 - 1),
        (b"1.50", None, 1.5),
    ],
)
def test_numbers(text, integer, decimal):
    assert utils.parse_integer(text) == integer
    assert utils.parse_decimal(text) == decimal


@pytest.mark.parametrize("text", ODD_NUMBERS)
def test_each_header_that_is_read_ignores_an_odd_number(text):
    """Guards against an answer or a request that ends for one of its headers."""
    assert DIALECT.caller_timeout([(b"x-deadline-ms", text)]) is None
    assert DIALECT.parse_server_limit(response(server_limit=text)) is None
    health = DIALECT.parse_health(response(x_warmup_ms=text, x_instance_id=text), 0.0)
    assert health.cold_for is None
    for position in range(4):
        parts = [b"1", b"2", b"3", b"100"]
        parts[position] = text
        report = DIALECT.parse_load_report(response(x_backend_load=b",".join(parts)), 0)
        # A comma makes two readable parts of one; the fourth is optional.
        assert report is None or text == b"500,600"


@pytest.mark.parametrize("count", [0, 1, 2, 5, 3000])
def test_load_report_of_any_number_of_parts(count):
    value = b",".join([b"1"] * count)
    report = DIALECT.parse_load_report(response(x_backend_load=value), 0.0)
    assert (report is None) == (count < 3)


@pytest.mark.parametrize("text", ODD_NUMBERS)
def test_odd_keep_alive_is_none(text):
    """Guards against a whole answer that counts as malformed."""

    @in_memory
    async def play():
        installation = await standins.WireInstallation().start()
        for backend in installation.backends.values():
            backend.more_headers = [("keep-alive", "timeout=" + text.decode("latin-1"))]
        if not text.strip() or b"\x00" in text:
            return
        for number in range(6):
            assert (await installation.call(f"/{number}")).status == 200

    play()


LOADS = (
    "9" * 400 + ",0,6,100",
    "0," + "9" * 400 + ",6",
    "0,0," + "9" * 400,
    "0,0,6," + "9" * 400,
    "0,0,6,nan",
    "0,0,0,0",
    "words",
    "999999999999999,999999999999999,999999999999999,999999999999999",
)


@pytest.mark.parametrize("load", LOADS)
@pytest.mark.parametrize("kind", ["safe", "unsafe", "download"])
def test_odd_load_reports_of_two_servers_cost_no_request(load, kind):
    """Guards against answers that are made and never reach their callers."""

    @in_memory
    async def play():
        installation = await standins.WireInstallation().start(
            gateways=2, backends=6, route_type=kind
        )
        for name in ("i-0", "i-1"):
            installation.backends[name].load = load
        calls = [
            asyncio.ensure_future(
                installation.call(f"/{number}", "POST", b"1", to=f"gw-{number % 2}")
            )
            for number in range(60)
            if not await asyncio.sleep(0.03)
        ]
        responses = await asyncio.gather(*calls)
        assert [r.status for r in responses] == [200] * len(calls)
        for process in installation.processes.values():
            assert process.board.counters["requests.defects"] == 0
            _, transports = process.selector.connection_counts()
            counted, _ = process.selector.connection_counts()
            assert counted == transports

    play()


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
@pytest.mark.parametrize("method", ["parse_load_report", "parse_server_limit"])
def test_error_in_the_handling_of_an_answer_ends_that_exchange_alone(method, kind):
    """Guards against a connection that is closed without a response."""

    @in_memory
    async def play():
        installation = await standins.WireInstallation().start(
            backends=4, route_type=kind
        )
        process = installation.processes["gw-0"]
        parse = getattr(process.dialect, method)

        def fail_for_answers(response, *arguments):
            if response.header(b"x-server-signature"):
                raise OverflowError("too large")
            return parse(response, *arguments)

        setattr(process.dialect, method, fail_for_answers)
        statuses = [
            (await installation.call(f"/{number}", "POST", b"1")).status
            for number in range(10)
        ]
        setattr(process.dialect, method, parse)
        assert statuses == [502] * 10
        assert process.board.counters["requests.defects"] >= 10
        _, transports = process.selector.connection_counts()
        counted, _ = process.selector.connection_counts()
        assert counted == transports
        assert sum(p.in_use for p in process.selector._pools.values()) == 0
        assert (await installation.call("/x", "POST", b"1")).status == 200

    play()


@in_memory
async def test_error_in_a_search_is_refused_as_not_run():
    installation = await standins.WireInstallation().start()
    process = installation.processes["gw-0"]
    select = process.selector.select

    async def fail(search):
        raise OverflowError("too large")

    process.selector.select = fail
    response = await installation.call("/x")
    process.selector.select = select
    assert response.status == 503
    assert not installation.runs()
    assert process.board.counters["requests.defects"] == 1


@pytest.mark.parametrize("deadline", ["nan", "1_0", "0x10", "500,600", "-5", "9" * 400])
@in_memory
async def test_unreadable_deadline_counts_as_none(deadline):
    """Guards against a request that is refused for a header that says nothing."""
    installation = await standins.WireInstallation().start()
    response = await installation.call("/x", x_deadline_ms=deadline)
    assert response.status == 200


@pytest.mark.parametrize(
    ("head", "expected"),
    [
        (b"GET /x HTTP/1.1\r\n\r\n", b"400"),
        (b"GET /x HTTP/1.0\r\n\r\n", b"404"),
        (b"GET /x HTTP/1.1\r\nhost: site.example\r\n\r\n", b"200"),
    ],
)
@in_memory
async def test_request_without_a_host(head, expected):
    """HTTP/1.1 requires a Host; without one a 404 would blame the path."""
    await standins.WireInstallation().start()
    received = asyncio.get_running_loop().create_future()

    class Caller(asyncio.Protocol):
        def connection_made(self, transport):
            transport.write(head)

        def data_received(self, data):
            if not received.done():
                received.set_result(data)

    loop = asyncio.get_running_loop()
    await loop.create_connection(Caller, "gw-0", 8548)
    assert (await received).split(b" ")[1] == expected


def test_real_processes_serve_all_beside_odd_load_reports(tmp_path):
    """Guards against answers of sound servers that are lost with those of odd ones."""

    async def play():
        routes = [
            standins.ProcessFleet.route("/safe/", "safe"),
            standins.ProcessFleet.route("/unsafe/", "unsafe"),
        ]
        statuses = []
        async with standins.ProcessFleet(tmp_path, routes, backends=6) as fleet:
            for backend in fleet.backends[:2]:
                backend.load = LOADS[0]
            for number in range(100):
                for path, method in (("/safe/x", "GET"), ("/unsafe/x", "POST")):
                    response = await fleet.call(path, method, b"", to=number % 2)
                    statuses.append(response.status)
            metrics = await fleet.metrics()
        return statuses, metrics

    statuses, metrics = asyncio.run(play())
    assert statuses == [200] * 200
    assert metrics["boragegw_requests_defects_total"] == 0
