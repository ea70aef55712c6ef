"""Decoding of the store's values."""

import base64
import json
from typing import Any

import pytest

from hawthornmast.common import Rank
from hawthornmast.common import State
from hawthornmast.common import Upstream
from hawthornmast.membership.listing import ListedUpstream
from hawthornmast.platform import values
from hawthornmast.routing import Target
from standins.deployment import make_configuration


class TestParseDuration:
    """Times are a number with its unit."""

    @pytest.mark.parametrize(
        ("text", "seconds"),
        [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0), ("3s", 3.0)],
    )
    def test_allowed(self, text: str, seconds: float) -> None:
        assert values.parse_duration(text) == seconds

    @pytest.mark.parametrize("text", ["", "3", "3m", "-1s", "1 s", "1e3ms"])
    def test_names_the_value(self, text: str) -> None:
        with pytest.raises(ValueError, match=f"duration is '{text}'"):
            values.parse_duration(text)


class TestParseAddress:
    """Addresses are an IP address and a port."""

    def test_allowed(self) -> None:
        assert values.parse_address("10.1.0.18:8381") == ("10.1.0.18", 8381)

    @pytest.mark.parametrize(
        "text", ["", "10.1.0.18", ":80", "10.1.0.18:", "a:0", "a:65536"]
    )
    def test_names_the_value(self, text: str) -> None:
        with pytest.raises(ValueError, match="address is"):
            values.parse_address(text)


class TestDecodeConfiguration:
    """A configuration is accepted whole or not at all."""

    def test_routes(self) -> None:
        found = values.decode_configuration(make_configuration())
        read = found.find_route("boxes.example", "/read/1")
        charge = found.find_route("pay.example", "/charge/1")
        assert read is not None and charge is not None
        assert (read.idempotent, charge.idempotent) == (True, False)
        assert (read.rank, charge.rank) == (Rank.STANDARD, Rank.URGENT)
        assert (read.timeout_s, charge.target_latency_s) == (3.0, 0.8)
        assert read.targets == (Target("boxes"),)
        assert charge.targets == (Target("billing", 90), Target("boxes", 10))
        assert charge.max_attempts == 2

    def test_limits_and_services(self) -> None:
        found = values.decode_configuration(make_configuration())
        service = found.find_service("boxes")
        assert service is not None and service.connections == 390
        assert (found.version, found.limits.idle_s) == (7, 15.0)

    def test_unknown_kind_is_not_repeated(self) -> None:
        value = make_configuration()
        value["VirtualHosts"][0]["Paths"][0]["RouteType"] = "new_kind"
        found = values.decode_configuration(value)
        assert not found.routes[0].idempotent

    @pytest.mark.parametrize("priority", [-1, 0, 2, 9])
    def test_priorities_beyond_the_ranks(self, priority: int) -> None:
        value = make_configuration()
        value["VirtualHosts"][0]["Paths"][0]["Priority"] = priority
        rank = values.decode_configuration(value).routes[0].rank
        assert rank == min(max(priority, 0), 2)

    @pytest.mark.parametrize(
        "key", ["Version", "Services", "Limits", "VirtualHosts"]
    )
    def test_missing_part_is_refused(self, key: str) -> None:
        value = make_configuration()
        del value[key]
        with pytest.raises(KeyError, match=key):
            values.decode_configuration(value)


ENTRY = {
    "Service": "boxes",
    "Address": "10.128.0.9:8080",
    "Zone": "zone-a",
    "Version": "v1",
    "Slots": 4,
    "State": "ready",
    "WarmupLeft": "0ms",
    "Sequence": 4,
    "born": 1787203747216,
}


def make_item(value: Any) -> dict[str, Any]:
    """Return an item of the store with a JSON value."""
    text = json.dumps(value).encode()
    return {"Key": "servers/u1", "Value": base64.b64encode(text).decode()}


class TestDecodeUpstream:
    """Entries of other writers name no upstream."""

    def test_entry(self) -> None:
        assert values.decode_upstream("u1", make_item(ENTRY)) == (
            ListedUpstream(
                service="boxes",
                upstream=Upstream(
                    upstream_id="u1",
                    zone="zone-a",
                    host="10.128.0.9",
                    port=8080,
                    slots=4,
                ),
                started_ms=1787203747216,
            )
        )

    def test_draining(self) -> None:
        item = make_item({**ENTRY, "State": "draining"})
        found = values.decode_upstream("u1", item)
        assert found.upstream.state is State.LEAVING

    def test_the_beat_number_does_not_matter(self) -> None:
        # Each beat rewrites the entry; the list must not change with it.
        first, second = (
            values.decode_upstream("u1", make_item({**ENTRY, "Sequence": n}))
            for n in (4, 5)
        )
        assert first == second

    @pytest.mark.parametrize(
        "changes",
        [
            {"Service": 7},
            {"State": "sleeping"},
            {"State": None},
            {"State": ["ready"]},
            {"Slots": 0},
            {"Slots": "4"},
            {"Slots": True},
            {"Zone": None},
            {"Address": "nowhere"},
            {"Address": 7},
            {"born": "yesterday"},
        ],
    )
    def test_other_types_are_refused(self, changes: dict[str, Any]) -> None:
        with pytest.raises((ValueError, TypeError, AttributeError)):
            values.decode_upstream("u1", make_item({**ENTRY, **changes}))

    @pytest.mark.parametrize("key", ["Service", "State", "Slots", "Address"])
    def test_missing_fields_are_refused(self, key: str) -> None:
        entry = {name: ENTRY[name] for name in ENTRY if name != key}
        with pytest.raises(KeyError, match=key):
            values.decode_upstream("u1", make_item(entry))

    @pytest.mark.parametrize("value", ["%%%", "bm90IGpzb24=", "//4=", ""])
    def test_unreadable_bytes_are_refused(self, value: str) -> None:
        with pytest.raises((ValueError, TypeError)):
            values.decode_upstream("u1", {"Value": value})

    @pytest.mark.parametrize("value", [7, [], None, "text"])
    def test_values_that_are_no_object_are_refused(self, value: Any) -> None:
        with pytest.raises((TypeError, KeyError)):
            values.decode_upstream("u1", make_item(value))
