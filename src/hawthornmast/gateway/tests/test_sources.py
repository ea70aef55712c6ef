"""Tests of the synchronization with the platform, on trio's mock clock."""

import random
import zlib

import attrs
import msgpack
import pytest
from result import Ok
import trio

from hawthornmast.common import Instance
from hawthornmast.gateway.snapshots import decode_summary
from hawthornmast.gateway.snapshots import encode_summary
from hawthornmast.gateway.snapshots import MAX_CONFIGURATION_BYTES
from hawthornmast.gateway.snapshots import PULL_TIMEOUT_S
from hawthornmast.gateway.snapshots import StateSummary
from hawthornmast.gateway.sources import StateSynchronizer
from hawthornmast.gateway.tests.support import FakePlatform
from hawthornmast.gateway.tests.support import make_configuration
from hawthornmast.gateway.tests.support import make_gossip
from hawthornmast.gateway.tests.support import make_listed_upstream
from hawthornmast.membership.entries import UpstreamSnapshot
from hawthornmast.membership.listing import UpstreamListing

MIN_LINK_BYTES_PER_S = 5e6 / 8
DECOMPRESSION_BOMB = zlib.compress(bytes(MAX_CONFIGURATION_BYTES + 1))


class Reader:
    """A member's synchronizer with a fake platform."""

    def __init__(self, number: int = 1) -> None:
        self.platform = FakePlatform()
        self.listing = UpstreamListing(clock=trio.current_time)
        self.versions: list[int] = []
        self.announced = 0
        self.synchronizer = StateSynchronizer(
            self.platform,
            gossip=make_gossip(number),
            listing=self.listing,
            on_configuration=lambda c, origin: self.versions.append(c.version),
            on_listing=lambda origin: None,
            announce=self._announce,
            relay=lambda: None,
            random_source=random.Random(1),
        )

    def _announce(self) -> None:
        self.announced += 1


@pytest.fixture
async def reader(
    autojump_clock: trio.testing.MockClock, nursery: trio.Nursery
) -> Reader:
    """Return a running reader after its first read."""
    reader = Reader()
    nursery.start_soon(reader.synchronizer.run)
    await trio.sleep(0.3)
    return reader


class TestReading:
    """The first member in rank polls the platform and announces its state."""

    async def test_reads_both_and_announces(
        self, autojump_clock: trio.testing.MockClock, reader: Reader
    ) -> None:
        assert reader.versions == [1]
        assert set(reader.listing.entries) == {"u1"}
        assert reader.announced == 1

    async def test_change_is_in_force_within_1200_ms(
        self, autojump_clock: trio.testing.MockClock, reader: Reader
    ) -> None:
        reader.platform.configuration = make_configuration(4)
        reader.platform.snapshot = UpstreamSnapshot(
            revision=6, entries=(make_listed_upstream("u2"),)
        )
        await trio.sleep(1.2)
        assert reader.versions == [1, 4]
        assert set(reader.listing.entries) == {"u2"}

    async def test_rate_of_calls(
        self, autojump_clock: trio.testing.MockClock, reader: Reader
    ) -> None:
        before = len(reader.platform.calls)
        await trio.sleep(10.0)
        # The platform charges for each call: about 2 reads of the list and
        # one of the configuration per second.
        assert 25 <= len(reader.platform.calls) - before <= 36

    async def test_older_configuration_is_ignored(
        self, autojump_clock: trio.testing.MockClock, reader: Reader
    ) -> None:
        reader.platform.configuration = make_configuration(4)
        await trio.sleep(1.2)
        reader.platform.configuration = make_configuration(3)
        await trio.sleep(1.2)
        assert reader.synchronizer.version == 4

    async def test_platform_outage_keeps_state_and_is_logged_once(
        self,
        autojump_clock: trio.testing.MockClock,
        reader: Reader,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        caplog.set_level("INFO")
        reader.platform.down = True
        await trio.sleep(5.0)
        assert reader.synchronizer.version == 1
        reader.platform.down = False
        await trio.sleep(1.5)
        # Failed calls are logged once per outage, not once per call.
        assert caplog.text.count("platform-lost") == 1
        assert caplog.text.count("platform-regained") == 1

    async def test_list_is_announced_though_the_configuration_fails(
        self, autojump_clock: trio.testing.MockClock, reader: Reader
    ) -> None:
        reader.platform.without_configuration = True
        before = reader.announced
        await trio.sleep(3.0)
        assert reader.announced > before + 1

    async def test_slow_answer_does_not_hide_a_newer_list_of_a_peer(
        self, autojump_clock: trio.testing.MockClock, reader: Reader
    ) -> None:
        # The platform answers with what it had before the peer asked.
        reader.platform.delay_s = 1.0
        other = Reader(2)
        other.platform.snapshot = UpstreamSnapshot(
            revision=7, entries=(make_listed_upstream("u2"),)
        )
        await trio.sleep(0.9)
        assert await other.synchronizer._read_listing()
        asked_at = trio.current_time()
        pulled: list[str] = []

        async def fetch(peer: Instance, version: int) -> Ok[bytes]:
            pulled.append(peer.instance_id)
            return Ok(other.synchronizer.encode_state_snapshot(version))

        reader.synchronizer._fetch_snapshot = fetch
        await trio.sleep(0.6)
        assert reader.listing.confirmed_at < asked_at
        async with trio.open_nursery() as nursery:
            reader.synchronizer.receive(
                other.synchronizer.summarize(),
                make_gossip(2).instance,
                nursery,
            )
        assert pulled == ["member-2"]
        assert set(reader.listing.entries) == {"u2"}

    async def test_no_configuration_yet(
        self, autojump_clock: trio.testing.MockClock, nursery: trio.Nursery
    ) -> None:
        reader = Reader()
        reader.platform.configuration = None
        nursery.start_soon(reader.synchronizer.run)
        await trio.sleep(2.0)
        assert reader.synchronizer.uninitialized
        reader.platform.configuration = make_configuration(2)
        await trio.sleep(1.2)
        assert not reader.synchronizer.uninitialized


class TestStateSummary:
    """Members exchange summaries and snapshots of their state."""

    async def test_confirmation_by_a_peer_replaces_reads(
        self, autojump_clock: trio.testing.MockClock, reader: Reader
    ) -> None:
        before = len(reader.platform.calls)
        peer = make_gossip(2).instance
        async with trio.open_nursery() as nursery:
            for _ in range(40):
                summary = StateSummary(
                    version=1,
                    configuration_age_s=0.0,
                    revision=5,
                    digest=reader.listing.digest,
                    listing_age_s=0.0,
                )
                reader.synchronizer.receive(summary, peer, nursery)
                await trio.sleep(0.1)
        assert len(reader.platform.calls) - before <= 1

    async def test_late_summary_of_a_known_read_changes_no_age(
        self, autojump_clock: trio.testing.MockClock, reader: Reader
    ) -> None:
        # Guards against a datagram that waited in the socket of a stalled
        # member, and whose age is taken as that of now.
        other = Reader(2)
        peer = make_gossip(2).instance
        assert await other.synchronizer._read_listing()
        assert await other.synchronizer._read_configuration()
        reader.platform.down = True
        summary = other.synchronizer.summarize()
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                reader.synchronizer.receive(summary, peer, nursery)
                await trio.sleep(1.0)
        own = reader.synchronizer.summarize()
        assert own.configuration_age_s == pytest.approx(2.0)
        assert own.listing_age_s == pytest.approx(2.0)

    async def test_only_a_summary_that_changes_nothing_is_known(
        self, autojump_clock: trio.testing.MockClock, reader: Reader
    ) -> None:
        # Guards against a summary that is dropped although it names another
        # state, another read, or a larger age, which counts.
        synchronizer = reader.synchronizer
        values = msgpack.unpackb(
            msgpack.packb(encode_summary(synchronizer.summarize()))
        )
        assert synchronizer.is_known(values)
        for index, other in (
            (0, values[0] + 1),
            (1, values[1] + 1.0),
            (2, values[2] + 1),
            (3, b"other"),
            (4, values[4] + 1.0),
            (5, None),
            (6, [values[6][0], values[6][1] + 1]),
            (4, None),
        ):
            changed = [*values[:index], other, *values[index + 1 :]]
            assert not synchronizer.is_known(changed)
        assert not synchronizer.is_known(values[:5])
        assert not synchronizer.is_known(None)

    async def test_summary_of_an_earlier_version_confirms(
        self, autojump_clock: trio.testing.MockClock, reader: Reader
    ) -> None:
        reader.platform.down = True
        await trio.sleep(3.0)
        values = [1, 0.1, 5, reader.listing.digest, 0.2]
        async with trio.open_nursery() as nursery:
            reader.synchronizer.receive(
                decode_summary(values), make_gossip(2).instance, nursery
            )
        own = reader.synchronizer.summarize()
        assert own.configuration_age_s == pytest.approx(0.1)
        assert own.listing_age_s == pytest.approx(0.2)

    async def test_snapshot_for_an_earlier_version_names_no_read(
        self, autojump_clock: trio.testing.MockClock, reader: Reader
    ) -> None:
        encode = reader.synchronizer.encode_state_snapshot
        assert len(msgpack.unpackb(encode(1, with_reads=False))) == 3
        assert len(msgpack.unpackb(encode(1))) == 4

    async def test_snapshot_transfers_all_state(
        self, autojump_clock: trio.testing.MockClock, reader: Reader
    ) -> None:
        other = Reader(2)
        other.synchronizer._apply_state_snapshot(
            reader.synchronizer.encode_state_snapshot(0),
            make_gossip(2).instance,
            asked_at=trio.current_time(),
        )
        assert other.synchronizer.version == 1
        assert other.listing.entries == reader.listing.entries

    async def test_snapshot_leaves_out_a_known_version(
        self, autojump_clock: trio.testing.MockClock, reader: Reader
    ) -> None:
        whole = reader.synchronizer.encode_state_snapshot(0)
        assert len(reader.synchronizer.encode_state_snapshot(1)) < len(whole)

    async def test_large_configuration_fits_a_slow_link(
        self, autojump_clock: trio.testing.MockClock, reader: Reader
    ) -> None:
        # Uncompressed, 1,400 routes took 160 KB, and pulls timed out when a
        # small instance sent them to 15 members of its zone at once.
        names = random.Random(1)
        (route, _) = make_configuration().routes
        routes = tuple(
            attrs.evolve(
                route,
                name=f"r-{names.getrandbits(35):07x}",
                host=f"{names.getrandbits(20):05x}.example",
                prefix=f"/{names.getrandbits(24):06x}/",
            )
            for _ in range(1400)
        )
        large = attrs.evolve(make_configuration(2), routes=routes)
        reader.synchronizer.accept(large, "test")
        body = reader.synchronizer.encode_state_snapshot(0)
        assert 15 * len(body) <= MIN_LINK_BYTES_PER_S * PULL_TIMEOUT_S
        other = Reader(2)
        other.synchronizer._apply_state_snapshot(
            body, make_gossip(2).instance, asked_at=trio.current_time()
        )
        assert other.synchronizer.configuration == large

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"\xc1",
            b"\x93\xc0\xc0",
            b"\x93\x01\x02\x03",
            msgpack.packb([b"not compressed", None, 0.0]),
            msgpack.packb([zlib.compress(b"\x90")[:-2], None, 0.0]),
            msgpack.packb([DECOMPRESSION_BOMB, None, 0.0]),
        ],
        ids=["empty", "invalid", "short", "numbers", "plain", "cut", "bomb"],
    )
    async def test_malformed_snapshot_changes_nothing(
        self,
        autojump_clock: trio.testing.MockClock,
        reader: Reader,
        body: bytes,
    ) -> None:
        before = reader.listing.entries
        reader.synchronizer._apply_state_snapshot(
            body, make_gossip(2).instance, asked_at=trio.current_time()
        )
        assert reader.synchronizer.version == 1
        assert reader.listing.entries == before

    @pytest.mark.parametrize(
        "value",
        [
            None,
            [],
            [1, 2],
            ["x", 0, 0, b"", 0],
            [1, 0, 0, None, 0],
            [1, 0, 0, b"", 0, None],
            [1, 0, 0, b"", 0, None, [b"reader"]],
            [1, 0, 0, b"", 0, 7, None],
        ],
    )
    def test_decode_refuses_other_values(self, value: object) -> None:
        with pytest.raises((ValueError, TypeError)):
            decode_summary(value)
