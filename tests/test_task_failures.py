"""Tests that no unexpected error in a task ends a member's process."""

from collections.abc import Callable
from typing import Any

import pytest
import trio

from hawthornmast import http
from hawthornmast.gateway import GatewayMember
from hawthornmast.gateway.datagrams import MessageKind
from standins.deployment import PEER_PORT
from tests.test_platform_path import run_deployment


def fail(*args: Any, **kwargs: Any) -> Any:
    """Raise an error that no caller expects."""
    raise LookupError("unexpected")


TARGETS: dict[str, Callable[[GatewayMember], tuple[Any, str]]] = {
    "platform-read": lambda member: (
        member.synchronizer._source,
        "read_listing",
    ),
    "listing": lambda member: (member.synchronizer, "_on_listing"),
    "due-tasks": lambda member: (member.gossip, "rank"),
    "periodic": lambda member: (member.gossip, "due_heartbeats"),
    "datagram": lambda member: (member.gossip, "receive"),
    "evidence": lambda member: (member.evidence, "receive"),
    "snapshot": lambda member: (
        member.synchronizer,
        "encode_state_snapshot",
    ),
    "pull": lambda member: (member.synchronizer, "_apply_state_snapshot"),
    "pools": lambda member: (member.server._upstreams, "close_idle"),
    "clients": lambda member: (member.server, "_poll_clients_once"),
}


@pytest.mark.parametrize("task", TARGETS)
async def test_unexpected_error_ends_no_member(
    task: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with run_deployment(members=2) as deployment:
        member, other = deployment.members
        with monkeypatch.context() as patch:
            for item in deployment.members:
                patch.setattr(*TARGETS[task](item), fail)
            deployment.list_backend("boxes-1", "boxes", Slots=5)
            other.datagrams.send(
                [member.options.instance.host], MessageKind.EVIDENCE, []
            )
            await http.fetch(
                member.options.instance.host,
                PEER_PORT,
                "GET",
                "/v1/snapshot",
                timeout=1.0,
            )
            await trio.sleep(1.3)
        response = await deployment.send("GET", "/read/1")
        assert response.status == 200
