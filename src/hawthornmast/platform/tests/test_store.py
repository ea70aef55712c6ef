"""Tests of the client of the store, against a stand-in of the store."""

import logging

import pytest
import trio

from hawthornmast.platform.store import PlatformStore
from standins.deployment import make_configuration
from standins.deployment import StoreStandIn

ADDRESS = "127.0.0.1:9"


@pytest.fixture
async def standin(nursery: trio.Nursery) -> StoreStandIn:
    """Return a listening stand-in of the store."""
    standin = StoreStandIn()
    await standin.start(nursery)
    return standin


def connect(standin: StoreStandIn) -> PlatformStore:
    """Return a client of the stand-in."""
    return PlatformStore("127.0.0.1", standin.port)


class TestReadListing:
    """Valid entries of all pages are returned."""

    async def test_empty(self, standin: StoreStandIn) -> None:
        store = connect(standin)
        snapshot = (await store.read_listing(timeout_s=1)).unwrap()
        assert (snapshot.revision, snapshot.entries) == (100, ())

    async def test_pages(self, standin: StoreStandIn) -> None:
        standin.page_size = 2
        for number in range(5):
            standin.put_upstream(f"u{number}", "boxes", ADDRESS)
        standin.put("other/u9", {})
        store = connect(standin)
        snapshot = (await store.read_listing(timeout_s=1)).unwrap()
        names = [item.upstream.upstream_id for item in snapshot.entries]
        assert names == ["u0", "u1", "u2", "u3", "u4"]
        assert snapshot.revision == standin.revision
        assert len(standin.calls) == 3

    async def test_invalid_entries_are_skipped(
        self, standin: StoreStandIn, caplog: pytest.LogCaptureFixture
    ) -> None:
        standin.put_upstream("u1", "boxes", ADDRESS)
        standin.put_upstream("u2", "boxes", ADDRESS, State="asleep")
        standin.put_bytes("servers/u3", b"\xff\xfe")
        standin.put("servers/u4", 7)
        store = connect(standin)
        with caplog.at_level(logging.WARNING):
            for _ in range(3):
                snapshot = (await store.read_listing(timeout_s=1)).unwrap()
        assert [i.upstream.upstream_id for i in snapshot.entries] == ["u1"]
        # Each invalid entry is logged once, not at each read.
        assert caplog.text.count("upstream-entry-refused") == 3

    @pytest.mark.parametrize(
        "fault", ["unavailable", "rate-limited", "no-response", "malformed"]
    )
    async def test_recovers_after_an_error(
        self, standin: StoreStandIn, fault: str
    ) -> None:
        standin.fault = fault
        store = connect(standin)
        error = (await store.read_listing(timeout_s=0.1)).unwrap_err()
        assert error.peer == f"127.0.0.1:{standin.port}"
        standin.fault = ""
        assert (await store.read_listing(timeout_s=1)).is_ok()


class TestReadConfiguration:
    """The current configuration, None or an error."""

    async def test_missing_configuration(self, standin: StoreStandIn) -> None:
        result = await connect(standin).read_configuration(timeout_s=1)
        assert result.unwrap() is None

    async def test_current_version(self, standin: StoreStandIn) -> None:
        standin.put("op/config", make_configuration(7))
        standin.put("op/config", make_configuration(12))
        result = await connect(standin).read_configuration(timeout_s=1)
        configuration = result.unwrap()
        assert configuration is not None and configuration.version == 12

    async def test_malformed_is_an_error(self, standin: StoreStandIn) -> None:
        standin.put("op/config", {"Version": 9})
        result = await connect(standin).read_configuration(timeout_s=1)
        assert "malformed" in result.unwrap_err().detail

    async def test_concurrent_calls_are_serialized(
        self, standin: StoreStandIn
    ) -> None:
        # Guards against concurrent calls on one HTTP connection, an error that
        # ended the process.
        standin.put("op/config", make_configuration())
        store = connect(standin)
        results = []

        async def read() -> None:
            results.append(await store.read_configuration(timeout_s=1))

        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(read)
        assert all(result.is_ok() for result in results)
