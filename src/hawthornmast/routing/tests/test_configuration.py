"""Tests of the routing configuration."""

import attrs
import pytest

from hawthornmast.common import Rank
from hawthornmast.routing import Configuration
from hawthornmast.routing import decode_configuration
from hawthornmast.routing import encode_configuration
from hawthornmast.routing import RequestLimits
from hawthornmast.routing import Route
from hawthornmast.routing import ServiceOptions
from hawthornmast.routing import Target


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
