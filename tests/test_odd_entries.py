"""Tests of entries of other writers in the list of upstreams."""

import json
from typing import Any

import pytest
import trio

from hawthornmast.common import State
from tests.deployment import Deployment
from tests.test_platform_path import run_deployment

GOOD: dict[str, Any] = {
    "Service": "boxes",
    "Address": "127.0.0.1:9",
    "Zone": "zone-a",
    "Version": "v1",
    "Slots": 4,
    "State": "ready",
    "WarmupLeft": "0ms",
    "Sequence": 1,
    "born": 1_787_203_747_216,
}

DEEP = b"[" * 200_000 + b"]" * 200_000

ODD_VALUES = {
    "deep": DEEP,
    "deep-field": json.dumps({**GOOD, "Version": 0})
    .encode()
    .replace(b'"Version": 0', b'"Version": ' + DEEP),
    "not-json": b"\xff\xfe",
    "list": b"[1, 2]",
    "number": b"7",
    "null": b"null",
}

ODD_FIELDS: dict[str, dict[str, Any]] = {
    "slots-too-large": {"Slots": 10**40},
    "slots-infinite": {"Slots": float("inf")},
    "slots-true": {"Slots": True},
    "born-too-large": {"born": 10**40},
    "born-negative": {"born": -(10**30)},
    "born-infinite": {"born": float("-inf")},
    "port-too-large": {"Address": "127.0.0.1:65536"},
    "port-zero": {"Address": "127.0.0.1:0"},
    "port-of-other-digits": {"Address": "127.0.0.1:８０"},
    "port-superscript": {"Address": "127.0.0.1:8²"},
    "host-name": {"Address": "localhost:80"},
    "host-out-of-range": {"Address": "127.0.0.999:80"},
    "host-with-zero-byte": {"Address": "127.0.0.1\0:80"},
    "host-unspecified": {"Address": "0.0.0.0:80"},
    "address-list": {"Address": ["127.0.0.1", 80]},
    "zone-surrogate": {"Zone": "\ud800"},
    "zone-line-break": {"Zone": "zone-a\r\nx: y"},
    "zone-too-long": {"Zone": "z" * 100_000},
    "service-surrogate": {"Service": "\udfff"},
    "service-object": {"Service": {}},
    "state-list": {"State": ["ready"]},
}

ODD_KEYS = {
    "key-line-break": "servers/i-1\r\nHost: x",
    "key-zero-byte": "servers/\0",
    "key-surrogate": "servers/\ud800",
    "key-empty": "servers/",
    "key-other-letters": "servers/ñandú",
}


def put_odd_entry(deployment: Deployment, name: str) -> None:
    """Store one of the odd entries."""
    if name in ODD_VALUES:
        deployment.store.put_bytes("servers/odd", ODD_VALUES[name])
    elif name in ODD_KEYS:
        # An address where nothing listens, so that it is used at first.
        deployment.store.put(ODD_KEYS[name], GOOD)
    else:
        deployment.store.put("servers/odd", {**GOOD, **ODD_FIELDS[name]})


async def wait_until_leaving(deployment: Deployment, name: str) -> None:
    """Wait until all members know that an upstream leaves."""
    with trio.fail_after(4.0):
        while any(
            member.listing.entries[name].upstream.state is State.LIVE
            for member in deployment.members
        ):
            await trio.sleep(0.02)


class TestOddEntry:
    """An odd entry names no upstream; members go on and follow the others."""

    @pytest.mark.parametrize("name", [*ODD_VALUES, *ODD_FIELDS, *ODD_KEYS])
    async def test_members_go_on_and_follow_the_other_entries(
        self, name: str
    ) -> None:
        async with run_deployment(members=2, boxes=2) as deployment:
            put_odd_entry(deployment, name)
            deployment.list_backend("boxes-1", "boxes", State="draining")
            await wait_until_leaving(deployment, "boxes-1")
            for member in deployment.members:
                assert set(member.listing.entries) == set(deployment.backends)
            for number in range(6):
                response = await deployment.send(
                    "GET", "/read/1", member=number % 2
                )
                assert response.status == 200

    @pytest.mark.parametrize("name", ODD_KEYS)
    async def test_pages_go_on_after_an_odd_key(self, name: str) -> None:
        async with run_deployment(members=1, boxes=2) as deployment:
            deployment.store.page_size = 1
            put_odd_entry(deployment, name)
            deployment.list_backend("boxes-1", "boxes", State="draining")
            await wait_until_leaving(deployment, "boxes-1")
