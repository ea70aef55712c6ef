"""Tests of the decoders of durations, addresses and store values."""

import base64
import json
import math
from typing import Any

import pytest

from hawthornmast.common import Rank
from hawthornmast.common import State
from hawthornmast.common import Upstream
from hawthornmast.membership.entries import ListedUpstream
from hawthornmast.platform import values
from hawthornmast.routing import digest_key
from hawthornmast.routing import Target
from hawthornmast.routing import Team
from standins.deployment import make_configuration


class TestParseDuration:
    """A duration is a number with a unit."""

    @pytest.mark.parametrize(
        ("text", "seconds"),
        [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0), ("3s", 3.0)],
    )
    def test_allowed(self, text: str, seconds: float) -> None:
        assert values.parse_duration(text) == seconds

    @pytest.mark.parametrize("text", ["", "3", "3m", "-1s", "1 s", "1e3ms"])
    def test_error_contains_the_value(self, text: str) -> None:
        with pytest.raises(ValueError, match=f"duration is '{text}'"):
            values.parse_duration(text)


class TestParseAddress:
    """An address is an IP address and a port."""

    def test_allowed(self) -> None:
        assert values.parse_address("10.1.0.18:8381") == ("10.1.0.18", 8381)

    @pytest.mark.parametrize(
        "text", ["", "10.1.0.18", ":80", "10.1.0.18:", "a:0", "a:65536"]
    )
    def test_error_contains_the_value(self, text: str) -> None:
        with pytest.raises(ValueError, match="address is"):
            values.parse_address(text)


class TestDecodeConfiguration:
    """An invalid part rejects the whole configuration."""

    def test_routes(self) -> None:
        decoded = values.decode_configuration(make_configuration())
        read = decoded.find_route("boxes.example", "/read/1")
        charge = decoded.find_route("pay.example", "/charge/1")
        assert read is not None and charge is not None
        assert (read.idempotent, charge.idempotent) == (True, False)
        assert (read.rank, charge.rank) == (Rank.STANDARD, Rank.URGENT)
        assert (read.timeout_s, charge.target_latency_s) == (3.0, 0.8)
        assert read.targets == (Target("boxes"),)
        assert charge.targets == (Target("billing", 90), Target("boxes", 10))
        assert charge.max_attempts == 2

    def test_limits_and_services(self) -> None:
        decoded = values.decode_configuration(make_configuration())
        service = decoded.find_service("boxes")
        assert service is not None and service.connections == 390
        assert (decoded.version, decoded.limits.idle_s) == (7, 15.0)

    def test_unknown_route_type_is_non_idempotent(self) -> None:
        value = make_configuration()
        value["VirtualHosts"][0]["Paths"][0]["RouteType"] = "new_kind"
        decoded = values.decode_configuration(value)
        assert not decoded.routes[0].idempotent

    @pytest.mark.parametrize("priority", [-1, 0, 2, 9])
    def test_priority_is_clamped_to_the_ranks(self, priority: int) -> None:
        value = make_configuration()
        value["VirtualHosts"][0]["Paths"][0]["Priority"] = priority
        rank = values.decode_configuration(value).routes[0].rank
        assert rank == min(max(priority, 0), 2)

    @pytest.mark.parametrize(
        "key", ["Version", "Services", "Limits", "VirtualHosts"]
    )
    def test_missing_part_is_rejected(self, key: str) -> None:
        value = make_configuration()
        del value[key]
        with pytest.raises(KeyError, match=key):
            values.decode_configuration(value)


def make_team_configuration(**changes: Any) -> dict[str, Any]:
    """Return a configuration with one team."""
    team = {
        "Name": "sese880",
        "ApiKeys": ["gjy5rcpihhacruddedev", "3nax7u27gxprymh2rryt"],
        "Priority": 0,
        "RatePerS": 92,
        "Burst": 46,
    }
    return {**make_configuration(), "Tenants": [{**team, **changes}]}


class TestDecodeTeams:
    """Guards against requests that are let in, or kept out, by mistake."""

    def test_team(self) -> None:
        decoded = values.decode_configuration(make_team_configuration())
        team = decoded.find_team(digest_key(b"3nax7u27gxprymh2rryt"))
        assert team is not None
        assert (team.name, team.rank) == ("sese880", Rank.URGENT)
        assert (team.rate_per_s, team.burst) == (92.0, 46.0)

    def test_optional_fields(self) -> None:
        value = make_team_configuration()
        value["Tenants"] = [{"Name": "sese880"}]
        (team,) = values.decode_configuration(value).teams or ()
        assert team == Team(name="sese880")

    @pytest.mark.parametrize("rate", [0, 0.0, None])
    def test_rate_of_zero_is_no_limit(self, rate: Any) -> None:
        value = make_team_configuration(RatePerS=rate)
        (team,) = values.decode_configuration(value).teams or ()
        assert team.rate_per_s is None

    def test_configuration_without_teams_needs_no_keys(self) -> None:
        assert values.decode_configuration(make_configuration()).teams is None

    def test_empty_list_of_teams_lets_nobody_in(self) -> None:
        value = {**make_configuration(), "Tenants": []}
        assert values.decode_configuration(value).teams == ()

    @pytest.mark.parametrize("public", [True, False, None, "false"])
    def test_only_true_makes_a_route_public(self, public: Any) -> None:
        value = make_configuration()
        value["VirtualHosts"][0]["Paths"][0]["Public"] = public
        route = values.decode_configuration(value).routes[0]
        assert route.public is (public is True)

    @pytest.mark.parametrize(
        "changes",
        [
            {"Name": "a\r\nb"},
            {"Name": " a"},
            {"Name": ""},
            {"Name": 7},
            {"ApiKeys": [7]},
            {"ApiKeys": "gjy5rcpihhacruddedev"},
            {"RatePerS": -1},
            {"RatePerS": math.inf},
            {"Burst": math.nan},
        ],
    )
    def test_invalid_values_are_rejected(
        self, changes: dict[str, Any]
    ) -> None:
        with pytest.raises((ValueError, TypeError, AttributeError)):
            values.decode_configuration(make_team_configuration(**changes))

    def test_key_of_two_teams_is_rejected_without_being_shown(self) -> None:
        value = make_team_configuration()
        value["Tenants"].append(
            {"Name": "other", "ApiKeys": ["gjy5rcpihhacruddedev"]}
        )
        with pytest.raises(ValueError, match="other") as caught:
            values.decode_configuration(value)
        assert "gjy5rcpihhacruddedev" not in str(caught.value)

    def test_download_is_idempotent(self) -> None:
        value = make_configuration()
        value["VirtualHosts"][0]["Paths"][0]["RouteType"] = "download"
        assert values.decode_configuration(value).routes[0].idempotent


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
    """Entries that describe no upstream are rejected."""

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
                    started_ms=1787203747216,
                ),
            )
        )

    def test_draining(self) -> None:
        item = make_item({**ENTRY, "State": "draining"})
        decoded = values.decode_upstream("u1", item)
        assert decoded.upstream.state is State.LEAVING

    def test_sequence_number_is_ignored(self) -> None:
        # Upstreams rewrite their entry with each heartbeat, which must not
        # count as a change of the list.
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
    def test_invalid_values_are_rejected(
        self, changes: dict[str, Any]
    ) -> None:
        with pytest.raises((ValueError, TypeError, AttributeError)):
            values.decode_upstream("u1", make_item({**ENTRY, **changes}))

    @pytest.mark.parametrize("key", ["Service", "State", "Slots", "Address"])
    def test_missing_fields_are_rejected(self, key: str) -> None:
        entry = {name: ENTRY[name] for name in ENTRY if name != key}
        with pytest.raises(KeyError, match=key):
            values.decode_upstream("u1", make_item(entry))

    @pytest.mark.parametrize("value", ["%%%", "bm90IGpzb24=", "//4=", ""])
    def test_undecodable_bytes_are_rejected(self, value: str) -> None:
        with pytest.raises((ValueError, TypeError)):
            values.decode_upstream("u1", {"Value": value})

    @pytest.mark.parametrize("value", [7, [], None, "text"])
    def test_non_object_values_are_rejected(self, value: Any) -> None:
        with pytest.raises((TypeError, KeyError)):
            values.decode_upstream("u1", make_item(value))
