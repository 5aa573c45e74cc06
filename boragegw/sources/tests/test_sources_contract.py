"""Reads from the platform over HTTP, and the errors that its failures raise."""

import asyncio

import pytest

from boragegw import errors, sources, standins


def run(scenario, addresses_before=()):
    async def main():
        state = standins.PublishedState()
        state.publish({"recalls": b'{"recalls": []}'})
        state.set_vms([])
        server = standins.StandinPlatform(state)
        await server.start()
        addresses = [*addresses_before, server.address]
        source = sources.HttpConfigurationSource(addresses)
        fleet = sources.HttpFleetSource(addresses)
        try:
            return await scenario(state, source, fleet)
        finally:
            await source.aclose()
            await fleet.aclose()
            await server.stop()

    return asyncio.run(main())


def test_reads_return_what_is_published_byte_for_byte():
    async def scenario(state, source, fleet):
        assert await source.read_head() == state.head
        assert await source.read_document("recalls") == b'{"recalls": []}'
        assert await fleet.watch_vms(0, 1.0) == state.encode_vms()

    run(scenario)


def test_watch_returns_at_the_change_and_at_its_timeout():
    async def scenario(state, source, fleet):
        watching = asyncio.create_task(source.watch_head(1, 30.0))
        while state.reads == 0:  # noqa: ASYNC110 - the watch's arrival
            await asyncio.sleep(0.01)
        state.publish_recalls([("release", ["r1"])])
        assert await watching == state.head
        assert await source.watch_head(2, 0.05) == state.head

    run(scenario)


READS = {
    "head": lambda source, fleet: source.read_head(),
    "watch": lambda source, fleet: source.watch_head(0, 0.05),
    "document": lambda source, fleet: source.read_document("recalls"),
    "unknown document": lambda source, fleet: source.read_document("service.none"),
    "list of VMs": lambda source, fleet: fleet.watch_vms(0, 0.05),
}


@pytest.mark.parametrize("read", sorted(READS))
def test_outage_is_a_platform_error(read):
    async def scenario(state, source, fleet):
        state.outage = True
        with pytest.raises(errors.PlatformError):
            await READS[read](source, fleet)

    run(scenario)


def test_unknown_document_is_a_platform_error():
    async def scenario(state, source, fleet):
        with pytest.raises(errors.PlatformError, match="404"):
            await READS["unknown document"](source, fleet)

    run(scenario)


def test_document_above_a_megabyte_is_refused():
    async def scenario(state, source, fleet):
        state.documents["recalls"] = b" " * ((1 << 20) + 1)
        with pytest.raises(errors.PlatformError, match="more than"):
            await source.read_document("recalls")

    run(scenario)


def test_next_address_is_used_after_a_failure():
    async def scenario(state, source, fleet):
        with pytest.raises(errors.PlatformError):
            await source.read_head()
        assert await source.read_head() == state.head

    run(scenario, addresses_before=["127.0.0.1:1"])
