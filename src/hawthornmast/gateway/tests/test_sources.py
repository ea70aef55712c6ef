"""Reading of the platform, on trio's test clock."""

import random
import zlib

import attrs
import msgpack
import pytest
import trio

from hawthornmast.gateway.sources import decode_news
from hawthornmast.gateway.sources import MAX_CONFIGURATION_BYTES
from hawthornmast.gateway.sources import News
from hawthornmast.gateway.sources import PULL_TIMEOUT_S
from hawthornmast.gateway.sources import Sources
from hawthornmast.gateway.tests.support import FakeSource
from hawthornmast.gateway.tests.support import make_configuration
from hawthornmast.gateway.tests.support import make_entry
from hawthornmast.gateway.tests.support import make_gossip
from hawthornmast.membership.listing import UpstreamListing
from hawthornmast.membership.listing import UpstreamSnapshot

SMALLEST_LINK_BYTES_S = 5e6 / 8
BOMB = zlib.compress(bytes(MAX_CONFIGURATION_BYTES + 1))


class Reader:
    """A member that reads a platform set by the test."""

    def __init__(self) -> None:
        self.source = FakeSource()
        self.listing = UpstreamListing(clock=trio.current_time)
        self.versions: list[int] = []
        self.announced = 0
        self.sources = Sources(
            self.source,
            gossip=make_gossip(),
            listing=self.listing,
            on_configuration=lambda c, origin: self.versions.append(c.version),
            on_listing=lambda origin: None,
            announce=self._announce,
            random_source=random.Random(1),
        )

    def _announce(self) -> None:
        self.announced += 1


@pytest.fixture
async def reader(
    autojump_clock: trio.testing.MockClock, nursery: trio.Nursery
) -> Reader:
    """Return a running reader that has read once."""
    reader = Reader()
    nursery.start_soon(reader.sources.run)
    await trio.sleep(0.3)
    return reader


class TestReading:
    """The first in rank reads at a steady rate and tells the others."""

    async def test_reads_both_and_announces(self, reader: Reader) -> None:
        assert reader.versions == [1]
        assert set(reader.listing.entries) == {"u1"}
        assert reader.announced == 1

    async def test_change_is_in_force_within_the_bound(
        self, reader: Reader
    ) -> None:
        reader.source.configuration = make_configuration(4)
        reader.source.reading = UpstreamSnapshot(
            revision=6, entries=(make_entry("u2"),)
        )
        await trio.sleep(1.2)
        assert reader.versions == [1, 4]
        assert set(reader.listing.entries) == {"u2"}

    async def test_rate_of_calls(self, reader: Reader) -> None:
        before = len(reader.source.calls)
        await trio.sleep(10.0)
        # Each call is priced: about 2 readings of the list a second and one
        # of the configuration.
        assert 25 <= len(reader.source.calls) - before <= 36

    async def test_older_configuration_is_ignored(
        self, reader: Reader
    ) -> None:
        reader.source.configuration = make_configuration(4)
        await trio.sleep(1.2)
        reader.source.configuration = make_configuration(3)
        await trio.sleep(1.2)
        assert reader.sources.version == 4

    async def test_goes_on_when_the_platform_is_down(
        self, reader: Reader, caplog: pytest.LogCaptureFixture
    ) -> None:
        caplog.set_level("INFO")
        reader.source.down = True
        await trio.sleep(5.0)
        assert reader.sources.version == 1
        reader.source.down = False
        await trio.sleep(1.5)
        # One line each, however many calls failed.
        assert caplog.text.count("platform-lost") == 1
        assert caplog.text.count("platform-regained") == 1

    async def test_no_configuration_yet(
        self, autojump_clock: trio.testing.MockClock, nursery: trio.Nursery
    ) -> None:
        reader = Reader()
        reader.source.configuration = None
        nursery.start_soon(reader.sources.run)
        await trio.sleep(2.0)
        assert reader.sources.new
        reader.source.configuration = make_configuration(2)
        await trio.sleep(1.2)
        assert not reader.sources.new


class TestNews:
    """A member that hears what it has already does not read itself."""

    async def test_confirmed_by_another_member(self, reader: Reader) -> None:
        before = len(reader.source.calls)
        peer = make_gossip(2).instance
        async with trio.open_nursery() as nursery:
            for _ in range(40):
                news = News(
                    version=1,
                    version_age_s=0.0,
                    revision=5,
                    digest=reader.listing.digest,
                    age_s=0.0,
                )
                reader.sources.receive(news, peer, nursery)
                await trio.sleep(0.1)
        assert len(reader.source.calls) - before <= 1

    async def test_snapshot_passes_all(self, reader: Reader) -> None:
        other = Reader()
        other.sources._adopt(
            reader.sources.encode_snapshot(0), make_gossip(2).instance
        )
        assert other.sources.version == 1
        assert other.listing.entries == reader.listing.entries

    async def test_snapshot_leaves_out_a_known_version(
        self, reader: Reader
    ) -> None:
        whole = reader.sources.encode_snapshot(0)
        assert len(reader.sources.encode_snapshot(1)) < len(whole)

    async def test_large_configuration_passes_a_small_link(
        self, reader: Reader
    ) -> None:
        # 1,400 routes took 160 KB, and a small machine that handed them to
        # 15 members of its zone at once exceeded the time of a pull.
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
        reader.sources.accept(large, "test")
        body = reader.sources.encode_snapshot(0)
        assert 15 * len(body) <= SMALLEST_LINK_BYTES_S * PULL_TIMEOUT_S
        other = Reader()
        other.sources._adopt(body, make_gossip(2).instance)
        assert other.sources.configuration == large

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"\xc1",
            b"\x93\xc0\xc0",
            b"\x93\x01\x02\x03",
            msgpack.packb([b"not compressed", None, 0.0]),
            msgpack.packb([zlib.compress(b"\x90")[:-2], None, 0.0]),
            msgpack.packb([BOMB, None, 0.0]),
        ],
        ids=["empty", "invalid", "short", "numbers", "plain", "cut", "bomb"],
    )
    async def test_malformed_snapshot_changes_nothing(
        self, reader: Reader, body: bytes
    ) -> None:
        before = reader.listing.entries
        reader.sources._adopt(body, make_gossip(2).instance)
        assert reader.sources.version == 1
        assert reader.listing.entries == before

    @pytest.mark.parametrize(
        "value", [None, [], [1, 2], ["x", 0, 0, b"", 0], [1, 0, 0, None, 0]]
    )
    def test_decode_refuses_other_values(self, value: object) -> None:
        with pytest.raises((ValueError, TypeError)):
            decode_news(value)
