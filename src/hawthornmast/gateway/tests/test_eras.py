"""Tests of the synchronization when the platform begins a new era."""

import attrs
import msgpack
import pytest
from result import Ok
import trio

from hawthornmast.common import EraRevision
from hawthornmast.common import Instance
from hawthornmast.gateway.snapshots import decode_summary
from hawthornmast.gateway.snapshots import encode_summary
from hawthornmast.gateway.snapshots import EraSummary
from hawthornmast.gateway.tests.support import make_configuration
from hawthornmast.gateway.tests.support import make_gossip
from hawthornmast.gateway.tests.support import make_listed_upstream
from hawthornmast.gateway.tests.test_sources import Reader
from hawthornmast.membership.entries import UpstreamSnapshot


@pytest.fixture
async def reader(
    autojump_clock: trio.testing.MockClock, nursery: trio.Nursery
) -> Reader:
    """Return a running reader after its first read."""
    reader = Reader()
    nursery.start_soon(reader.synchronizer.run)
    await trio.sleep(0.3)
    return reader


class TestEras:
    """State of an earlier era of the platform changes nothing."""

    async def test_messages_without_eras_are_those_of_earlier_versions(
        self, autojump_clock: trio.testing.MockClock, reader: Reader
    ) -> None:
        # Guards against messages that earlier versions refuse.
        summary = reader.synchronizer.summarize()
        assert len(encode_summary(summary)) == 7
        snapshot = reader.synchronizer.encode_state_snapshot(0)
        assert len(msgpack.unpackb(snapshot)) == 4

    async def test_summary_names_the_era(
        self, autojump_clock: trio.testing.MockClock, reader: Reader
    ) -> None:
        reader.platform.era = 3
        await trio.sleep(1.2)
        encoded = encode_summary(reader.synchronizer.summarize())
        assert len(encoded) == 8
        decoded = decode_summary(msgpack.unpackb(msgpack.packb(encoded)))
        assert decoded == reader.synchronizer.summarize()
        assert decoded.eras.era == 3
        earlier = reader.synchronizer.encode_state_snapshot(
            0, with_reads=False
        )
        assert len(msgpack.unpackb(earlier)) == 3

    async def test_stale_read_is_refused(
        self,
        autojump_clock: trio.testing.MockClock,
        reader: Reader,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        # Guards against a stale copy that a member reads after it has heard
        # of a newer era from a peer.
        peer = make_gossip(2).instance
        summary = attrs.evolve(
            reader.synchronizer.summarize(), eras=EraSummary(era=2)
        )
        async with trio.open_nursery() as nursery:
            reader.synchronizer.receive(summary, peer, nursery)
        reader.platform.configuration = make_configuration(4)
        reader.platform.snapshot = UpstreamSnapshot(
            revision=9, entries=(make_listed_upstream("u9"),)
        )
        await trio.sleep(3.0)
        assert reader.synchronizer.version == 1
        assert set(reader.listing.entries) == {"u1"}
        assert caplog.text.count("era 0 is older than 2") == 1

    async def test_peer_of_an_earlier_era_changes_nothing(
        self, autojump_clock: trio.testing.MockClock, reader: Reader
    ) -> None:
        # Guards against a peer that can't reach the platform, and that has
        # higher numbers of an earlier era.
        reader.platform.era = 2
        await trio.sleep(1.2)
        reader.platform.down = True
        await trio.sleep(3.0)
        before = reader.synchronizer.summarize()
        other = Reader(2)
        other.platform.era = 1
        other.platform.configuration = make_configuration(9)
        other.platform.snapshot = UpstreamSnapshot(revision=900, entries=())
        assert await other.synchronizer._read_listing()
        assert await other.synchronizer._read_configuration()
        peer = make_gossip(2).instance
        async with trio.open_nursery() as nursery:
            reader.synchronizer.receive(
                other.synchronizer.summarize(), peer, nursery
            )
            # Nor does a summary without an era.
            reader.synchronizer.receive(
                attrs.evolve(before, eras=EraSummary(), listing_age_s=0.0),
                peer,
                nursery,
            )
            reader.synchronizer._apply_state_snapshot(
                other.synchronizer.encode_state_snapshot(0),
                peer,
                asked_at=trio.current_time(),
            )
        assert reader.synchronizer.summarize() == before

    async def test_newer_era_of_a_peer_is_pulled(
        self, autojump_clock: trio.testing.MockClock, reader: Reader
    ) -> None:
        reader.platform.era = 1
        await trio.sleep(1.2)
        reader.platform.down = True
        other = Reader(2)
        other.platform.era = 2
        other.platform.snapshot = UpstreamSnapshot(
            revision=2, entries=(make_listed_upstream("u2"),)
        )
        assert await other.synchronizer._read_listing()

        async def fetch(peer: Instance, version: int) -> Ok[bytes]:
            return Ok(other.synchronizer.encode_state_snapshot(version))

        reader.synchronizer._fetch_snapshot = fetch
        async with trio.open_nursery() as nursery:
            reader.synchronizer.receive(
                other.synchronizer.summarize(),
                make_gossip(2).instance,
                nursery,
            )
        assert reader.listing.position == EraRevision(2, 2)
        # The platform's list of the new era lacks u1, which may return.
        assert set(reader.listing.entries) == {"u1", "u2"}

    @pytest.mark.parametrize("copy", [3, None])
    async def test_waiting_for_the_newest_adds_no_calls(
        self,
        autojump_clock: trio.testing.MockClock,
        reader: Reader,
        copy: int | None,
    ) -> None:
        # Guards against a member that reads the platform without pause while
        # that has a lower version or none.
        reader.platform.era = 1
        reader.platform.configuration = make_configuration(4)
        await trio.sleep(1.2)
        reader.platform.era = 2
        reader.platform.configuration = copy and make_configuration(copy)
        before = len(reader.platform.calls)
        await trio.sleep(5.0)
        assert reader.synchronizer.version == 4
        assert len(reader.platform.calls) - before <= 18

    @pytest.mark.parametrize(
        "value",
        [
            7,
            [],
            [1, 5, 1, 0, b""],
            ["2", 5, 1, 0, b"", b""],
            [-1, 5, 1, 0, b"", b""],
            [True, 5, 1, 0, b"", b""],
            [2, "x", 1, 0, b"", b""],
            [2, 5, None, 0, b"", b""],
            [2, 5, 1, None, b"", b""],
            [2, 5, 1, 0, None, b""],
        ],
    )
    def test_malformed_era_of_a_peer_is_refused(self, value: object) -> None:
        with pytest.raises((ValueError, TypeError)):
            decode_summary([1, 0, 5, b"", 0, None, None, value])
