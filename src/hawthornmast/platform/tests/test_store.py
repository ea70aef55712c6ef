"""The store's client against a stand-in of the store."""

import logging

import pytest
import trio

from hawthornmast.platform.store import PlatformStore
from standins.deployment import make_configuration
from standins.deployment import StoreStandIn

ADDRESS = "127.0.0.1:9"


@pytest.fixture
async def standin(nursery: trio.Nursery) -> StoreStandIn:
    """Return a store that listens."""
    standin = StoreStandIn()
    await standin.start(nursery)
    return standin


def connect(standin: StoreStandIn) -> PlatformStore:
    """Return a client of a store."""
    return PlatformStore("127.0.0.1", standin.port)


class TestReadListing:
    """Valid entries are returned, over all pages."""

    async def test_empty(self, standin: StoreStandIn) -> None:
        store = connect(standin)
        reading = (await store.read_listing(timeout_s=1)).unwrap()
        assert (reading.revision, reading.entries) == (100, ())

    async def test_pages(self, standin: StoreStandIn) -> None:
        standin.page_size = 2
        for number in range(5):
            standin.put_upstream(f"u{number}", "boxes", ADDRESS)
        standin.put("other/u9", {})
        store = connect(standin)
        reading = (await store.read_listing(timeout_s=1)).unwrap()
        names = [item.upstream.upstream_id for item in reading.entries]
        assert names == ["u0", "u1", "u2", "u3", "u4"]
        assert reading.revision == standin.revision
        assert len(standin.calls) == 3

    async def test_entries_of_other_writers_are_left_out(
        self, standin: StoreStandIn, caplog: pytest.LogCaptureFixture
    ) -> None:
        standin.put_upstream("u1", "boxes", ADDRESS)
        standin.put_upstream("u2", "boxes", ADDRESS, State="asleep")
        standin.put_bytes("servers/u3", b"\xff\xfe")
        standin.put("servers/u4", 7)
        store = connect(standin)
        with caplog.at_level(logging.WARNING):
            for _ in range(3):
                reading = (await store.read_listing(timeout_s=1)).unwrap()
        assert [i.upstream.upstream_id for i in reading.entries] == ["u1"]
        # One line an entry, however often it is read.
        assert caplog.text.count("upstream-entry-refused") == 3

    @pytest.mark.parametrize(
        "fault", ["unavailable", "rate-limited", "no-response", "malformed"]
    )
    async def test_faults_are_errors_and_pass(
        self, standin: StoreStandIn, fault: str
    ) -> None:
        standin.fault = fault
        store = connect(standin)
        error = (await store.read_listing(timeout_s=0.1)).unwrap_err()
        assert error.peer == f"127.0.0.1:{standin.port}"
        standin.fault = ""
        assert (await store.read_listing(timeout_s=1)).is_ok()


class TestReadConfiguration:
    """The newest configuration, or none."""

    async def test_none_yet(self, standin: StoreStandIn) -> None:
        done = await connect(standin).read_configuration(timeout_s=1)
        assert done.unwrap() is None

    async def test_newest(self, standin: StoreStandIn) -> None:
        standin.put("op/config", make_configuration(7))
        standin.put("op/config", make_configuration(12))
        done = await connect(standin).read_configuration(timeout_s=1)
        configuration = done.unwrap()
        assert configuration is not None and configuration.version == 12

    async def test_malformed_is_an_error(self, standin: StoreStandIn) -> None:
        standin.put("op/config", {"Version": 9})
        done = await connect(standin).read_configuration(timeout_s=1)
        assert "malformed" in done.unwrap_err().detail

    async def test_calls_take_turns(self, standin: StoreStandIn) -> None:
        # Two calls at once on one connection ended the process.
        standin.put("op/config", make_configuration())
        store = connect(standin)
        results = []

        async def read() -> None:
            results.append(await store.read_configuration(timeout_s=1))

        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(read)
        assert all(done.is_ok() for done in results)
