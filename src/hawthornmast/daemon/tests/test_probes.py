"""Tests of the probes that detect leaving upstreams."""

import attrs
import pytest

from hawthornmast.catalogue import Service
from hawthornmast.common import Upstream
from hawthornmast.daemon import probes
from hawthornmast.http import Response
from standins.upstream import UpstreamStandIn


class _Runtime:
    def __init__(self, upstreams, *, group=("a", "b"), health_path="/health"):
        self.upstreams = upstreams
        self.group = group
        self.service = Service(name="s", owner="o", health_path=health_path)
        self.left = []

    def announce_leaving(self, upstream_id, *, step):
        self.left.append(upstream_id)


async def _start(nursery, count):
    standins, upstreams = [], []
    for number in range(count):
        standin = UpstreamStandIn(slots=1)
        await standin.start(nursery)
        standins.append(standin)
        upstreams.append(
            Upstream(
                upstream_id=f"u{number}",
                zone="z",
                host="127.0.0.1",
                port=standin.port,
                slots=1,
            )
        )
    return standins, upstreams


def _make_prober(runtime, name, *, reachable=("a", "b")):
    return probes.LeavingProber(
        services=[runtime],
        self_id=name,
        reachable=lambda instance_id: instance_id in reachable,
    )


class TestLeavingProber:
    async def test_detects_a_leaving_upstream_without_requests(self, nursery):
        # Guards against new requests to an upstream that announces only by
        # its health endpoint that it is leaving, and against an ejection
        # caused by a probe.
        standins, upstreams = await _start(nursery, 3)
        for standin, faults in (
            (standins[0], {"leaving": True}),
            (standins[1], {"health": 500}),
        ):
            standin.faults = attrs.evolve(standin.faults, **faults)
        runtime = _Runtime(upstreams)
        for name in runtime.group:
            await _make_prober(runtime, name).probe_all()
        assert runtime.left == ["u0"]
        nursery.cancel_scope.cancel()

    @pytest.mark.parametrize("status", ["000", "100", "600"])
    async def test_ignores_a_response_with_an_invalid_status(
        self, nursery, status
    ):
        # Guards against an upstream that gets no more requests because of a
        # response that is none.
        standins, upstreams = await _start(nursery, 1)
        standins[0].faults = attrs.evolve(
            standins[0].faults, leaving=True, status_text=status
        )
        runtime = _Runtime(upstreams)
        await _make_prober(runtime, "a", reachable=("a",)).probe_all()
        assert runtime.left == []
        nursery.cancel_scope.cancel()

    async def test_probes_the_upstreams_of_an_unreachable_owner(self, nursery):
        standins, upstreams = await _start(nursery, 6)
        for standin in standins:
            standin.faults = attrs.evolve(standin.faults, leaving=True)
        runtime = _Runtime(upstreams)
        await _make_prober(runtime, "a", reachable=("a",)).probe_all()
        assert sorted(runtime.left) == [u.upstream_id for u in upstreams]
        nursery.cancel_scope.cancel()

    async def test_each_upstream_is_probed_by_one_owner(self, nursery):
        # Guards against a number of probes that grows with the number of
        # owners.
        standins, upstreams = await _start(nursery, 6)
        runtime = _Runtime(upstreams)
        for name in runtime.group:
            await _make_prober(runtime, name).probe_all()
        assert [standin.accepted_connections for standin in standins] == [
            1
        ] * 6
        nursery.cancel_scope.cancel()


class TestAnnouncesLeave:
    @pytest.mark.parametrize(
        ("body", "headers", "leaves"),
        [
            (b"{}", (("Upstream-State", "leaving"),), True),
            (b'{"leaving": true}', (), True),
            (b'{"leaving": "no"}', (), False),
            (b"[1]", (), False),
            (b"\xff", (), False),
        ],
    )
    def test_parses_header_or_body(self, body, headers, leaves):
        response = Response(status=200, headers=headers, body=body)
        assert probes.announces_leave(response) is leaves
