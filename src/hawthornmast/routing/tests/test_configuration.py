"""Tests of the routing configuration."""

import attrs
import msgpack
import pytest

from hawthornmast.common import Rank
from hawthornmast.routing import Configuration
from hawthornmast.routing import decode_configuration
from hawthornmast.routing import digest_key
from hawthornmast.routing import encode_configuration
from hawthornmast.routing import RequestLimits
from hawthornmast.routing import Route
from hawthornmast.routing import ServiceOptions
from hawthornmast.routing import Target
from hawthornmast.routing import Team


def make_route(name: str, prefix: str, **changes: object) -> Route:
    """Return a route of ``boxes.example``."""
    route = Route(
        name=name,
        host="boxes.example",
        prefix=prefix,
        targets=(Target("boxes"),),
        idempotent=True,
        timeout_s=3.0,
        target_latency_s=1.5,
    )
    return attrs.evolve(route, **changes)


CONFIGURATION = Configuration(
    version=7,
    routes=(
        make_route("all", "/"),
        make_route("boxes", "/boxes/"),
        make_route("sizes", "/boxes/sizes/", rank=Rank.URGENT),
        make_route(
            "charge",
            "/charge/",
            host="pay.example",
            idempotent=False,
            targets=(Target("billing", 90.0), Target("boxes", 10.0)),
            max_attempts=2,
        ),
    ),
    services=(ServiceOptions(name="boxes", connections=390),),
    limits=RequestLimits(header_bytes=8192, idle_s=15.0),
)


class TestFindRoute:
    """Selects the longest matching prefix that ends with a slash."""

    @pytest.mark.parametrize(
        ("host", "target", "name"),
        [
            ("boxes.example", "/boxes/sizes/3", "sizes"),
            ("boxes.example", "/boxes/sizes/", "sizes"),
            ("boxes.example", "/boxes/sizes", "boxes"),
            ("boxes.example", "/boxes/sizes/3?a=/x/", "sizes"),
            ("boxes.example", "/boxes/sizesx/3", "boxes"),
            ("boxes.example", "/other", "all"),
            ("pay.example", "/charge/1", "charge"),
            ("pay.example", "/charge", None),
            ("pay.example", "/", None),
            ("unknown.example", "/boxes/1", None),
            ("boxes.example", "*", None),
        ],
    )
    def test_longest_prefix(
        self, host: str, target: str, name: str | None
    ) -> None:
        found = CONFIGURATION.find_route(host, target)
        assert (found.name if found else None) == name


class TestEncoding:
    """Encoding a configuration for other daemons."""

    def test_round_trip(self) -> None:
        encoded = encode_configuration(CONFIGURATION)
        assert decode_configuration(encoded) == CONFIGURATION

    @pytest.mark.parametrize(
        "value", [None, [], [1, [], []], ["x", [], [], [1, 1, 1, 1]], 7]
    )
    def test_malformed_value_is_rejected(self, value: object) -> None:
        with pytest.raises((ValueError, TypeError, IndexError)):
            decode_configuration(value)


class TestTeams:
    """Finds teams by key digests, also in the configuration of a peer."""

    CONFIGURATION = attrs.evolve(
        CONFIGURATION,
        routes=(make_route("open", "/open/", public=True),),
        teams=(
            Team(
                name="packers",
                key_digests=(digest_key(b"k1"), digest_key(b"k2")),
                rank=Rank.URGENT,
                rate_per_s=92.0,
                burst=46.0,
            ),
            Team(name="couriers", key_digests=(digest_key(b"k3"),)),
        ),
    )

    @pytest.mark.parametrize(
        ("key", "name"),
        [(b"k1", "packers"), (b"k2", "packers"), (b"k3", "couriers")],
    )
    def test_are_found_by_any_of_their_keys(self, key, name):
        # Guards against keys that are lost when a team has several.
        found = self.CONFIGURATION.find_team(digest_key(key))
        assert found is not None and found.name == name

    def test_are_not_found_by_unknown_keys(self):
        assert self.CONFIGURATION.find_team(digest_key(b"k4")) is None

    def test_survive_the_encoding_for_peers(self):
        # Guards against members that learn routes but not who may use them.
        encoded = encode_configuration(self.CONFIGURATION)
        assert decode_configuration(encoded) == self.CONFIGURATION

    def test_no_key_is_encoded(self):
        # Guards against keys in messages between members.
        packed = msgpack.packb(encode_configuration(self.CONFIGURATION))
        assert b"k1" not in packed

    def test_earlier_versions_decode_a_configuration_without_teams(self):
        # Guards against a fleet that splits while it is upgraded.
        assert len(encode_configuration(CONFIGURATION)) == 4

    def test_no_teams_differ_from_an_empty_list_of_teams(self):
        # Guards against open access once the last team is removed.
        closed = attrs.evolve(CONFIGURATION, teams=())
        assert decode_configuration(encode_configuration(closed)).teams == ()
        opened = decode_configuration(encode_configuration(CONFIGURATION))
        assert opened.teams is None
