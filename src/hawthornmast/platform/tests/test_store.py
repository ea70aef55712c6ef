"""Tests of the client of the store, against a stand-in of the store."""

import logging

import pytest
import trio

from hawthornmast import http
from hawthornmast.common import EraRevision
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
        published = result.unwrap()
        assert published is not None and published.configuration.version == 12

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


class TestEra:
    """The store returns to older copies, each in a new era."""

    async def test_store_without_eras_is_in_era_0(
        self, standin: StoreStandIn
    ) -> None:
        standin.put("op/config", make_configuration())
        store = connect(standin)
        snapshot = (await store.read_listing(timeout_s=1)).unwrap()
        published = (await store.read_configuration(timeout_s=1)).unwrap()
        assert snapshot.era == 0
        assert published is not None
        assert published.position == EraRevision(0, 101)

    async def test_read_after_a_return_to_a_copy(
        self, standin: StoreStandIn
    ) -> None:
        standin.era = 1
        standin.put_upstream("u1", "boxes", ADDRESS, Sequence=8)
        copy = standin.take_copy()
        standin.put_upstream("u2", "boxes", ADDRESS)
        store = connect(standin)
        before = (await store.read_listing(timeout_s=1)).unwrap()
        standin.restore(copy)
        standin.put("op/config", make_configuration(3))
        after = (await store.read_listing(timeout_s=1)).unwrap()
        published = (await store.read_configuration(timeout_s=1)).unwrap()
        assert before.position == EraRevision(1, 102)
        # The number was assigned again.
        assert after.position == EraRevision(2, 102)
        (entry,) = after.entries
        assert (entry.revision, entry.sequence) == (101, 8)
        assert published is not None
        assert published.position == EraRevision(2, 102)
        assert published.written == 102

    @pytest.mark.parametrize(
        "era", ["", "x", "-1", "+1", "1.0", "1, 2", "9" * 40]
    )
    async def test_malformed_era_is_refused_and_logged_once(
        self,
        standin: StoreStandIn,
        caplog: pytest.LogCaptureFixture,
        era: str,
    ) -> None:
        store = connect(standin)
        standin.era = era
        with caplog.at_level(logging.WARNING):
            for _ in range(3):
                assert (await store.read_listing(timeout_s=1)).is_err()
        assert caplog.text.count("store-era-refused") == 1
        standin.era = 1
        assert (await store.read_listing(timeout_s=1)).is_ok()

    @pytest.mark.parametrize("era", [0, 1])
    async def test_lower_era_is_refused(
        self, standin: StoreStandIn, era: int
    ) -> None:
        # Guards against a response of a stale copy of the store.
        store = connect(standin)
        standin.era = 2
        assert (await store.read_listing(timeout_s=1)).is_ok()
        standin.era = era
        error = (await store.read_listing(timeout_s=1)).unwrap_err()
        assert error.detail == f"era {era} is older than 2"
        assert (await store.read_configuration(timeout_s=1)).is_err()

    async def test_errors_and_missing_items_tell_the_era(
        self, standin: StoreStandIn
    ) -> None:
        store = connect(standin)
        standin.era = 3
        standin.fault = "unavailable"
        assert (await store.read_listing(timeout_s=1)).is_err()
        standin.fault = ""
        standin.era = 2
        assert (await store.read_configuration(timeout_s=1)).is_err()

    async def test_pages_of_different_eras_form_no_list(
        self, standin: StoreStandIn
    ) -> None:
        # Guards against a list that is in part that of an older copy.
        standin.page_size = 1
        standin.era = 1
        for number in range(3):
            standin.put_upstream(f"u{number}", "boxes", ADDRESS)
        copy = standin.take_copy()
        handle_range = standin._handle_range

        def handle_and_restore(query: dict[str, str]) -> http.Response:
            response = handle_range(query)
            if query.get("after") == "servers/u0":
                standin.restore(copy)
            return response

        standin._handle_range = handle_and_restore  # type: ignore
        store = connect(standin)
        error = (await store.read_listing(timeout_s=1)).unwrap_err()
        assert error.detail == "pages of different eras: [1, 2]"
        standin._handle_range = handle_range  # type: ignore
        snapshot = (await store.read_listing(timeout_s=1)).unwrap()
        assert (snapshot.era, len(snapshot.entries)) == (2, 3)

    async def test_watch_from_an_unknown_revision_is_gone(
        self, standin: StoreStandIn
    ) -> None:
        # Guards against a stand-in that differs from the store; members use
        # no watches.
        response = await http.fetch(
            "127.0.0.1",
            standin.port,
            "GET",
            "/hawthornmast/kv-watch?after=101",
        )
        assert response.unwrap().status == 410
