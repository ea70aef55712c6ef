"""Deployment on the users' platform that runs within one test."""

from collections.abc import Mapping
from typing import Any

import attrs
import trio

from hawthornmast import http
from hawthornmast.common import Instance
from hawthornmast.gateway import Bounds
from hawthornmast.gateway import GatewayMember
from hawthornmast.gateway import GatewayOptions
from hawthornmast.platform.headers import PlatformClientDialect
from hawthornmast.platform.headers import PlatformUpstreamDialect
from hawthornmast.platform.store import PlatformStore
from standins.deployment import allocate_loopback_prefix
from standins.deployment import BackendStandIn
from standins.deployment import FRONT_PORT
from standins.deployment import make_configuration
from standins.deployment import PEER_PORT
from standins.deployment import StoreStandIn

BOUNDS = Bounds(
    retry_ratio=0.2, retry_slack=62.0, address_ttl_s=0.2, grace_s=2.0
)


@attrs.define(kw_only=True, eq=False)
class Deployment:
    """A store stand-in, back ends and members in one event loop."""

    nursery: trio.Nursery
    bounds: Bounds = BOUNDS
    store: StoreStandIn = attrs.Factory(StoreStandIn)
    backends: dict[str, BackendStandIn] = attrs.Factory(dict)
    members: list[GatewayMember] = attrs.Factory(list)
    network: str = attrs.Factory(allocate_loopback_prefix)
    _attempts: int = 0

    async def start(
        self, *, members: int = 1, services: Mapping[str, int]
    ) -> None:
        """Start the store, the back ends of each service and the members."""
        await self.store.start(self.nursery)
        self.store.put("op/config", make_configuration())
        for service, count in services.items():
            for number in range(count):
                await self.add_backend(f"{service}-{number}", service)
        for number in range(members):
            await self.add_member(number)
        await self.wait_ready()

    async def add_backend(self, name: str, service: str) -> BackendStandIn:
        """Start a back end and add it to the list of upstreams."""
        backend = BackendStandIn(name)
        await backend.start(self.nursery)
        self.backends[name] = backend
        self.list_backend(name, service)
        return backend

    def list_backend(self, name: str, service: str, **changes: Any) -> None:
        """Write the list entry of a back end."""
        address = f"127.0.0.1:{self.backends[name].port}"
        self.store.put_upstream(name, service, address, **changes)

    async def add_member(self, number: int) -> GatewayMember:
        """Start a member without waiting until it is ready."""
        host = f"{self.network}.{number + 1}"
        member = GatewayMember(
            GatewayOptions(
                instance=Instance(
                    instance_id=f"member-{number}",
                    zone=f"zone-{'abc'[number % 3]}",
                    host=host,
                    port=FRONT_PORT,
                    peer_port=PEER_PORT,
                ),
                seeds=(f"{self.network}.1", f"{self.network}.2"),
                bounds=self.bounds,
            ),
            PlatformStore("127.0.0.1", self.store.port),
            client_dialect=PlatformClientDialect(),
            upstream_dialect=PlatformUpstreamDialect(),
        )
        await member.start(self.nursery)
        self.members.append(member)
        return member

    async def wait_ready(self) -> None:
        """Wait until all members are ready and know their peers.

        A member knows all members of its own zone, but only the first ones
        of other zones, so one per other zone is required.
        """
        zones = {item.options.instance.zone for item in self.members}

        def knows_all_members(member: GatewayMember) -> bool:
            zone = member.options.instance.zone
            known_members = member.gossip.live()
            return {item.zone for item in known_members} == zones and sum(
                item.zone == zone for item in known_members
            ) == sum(m.options.instance.zone == zone for m in self.members)

        with trio.fail_after(8):
            while not all(
                member.ready and knows_all_members(member)
                for member in self.members
            ):
                await trio.sleep(0.02)

    async def send(
        self,
        method: str,
        target: str,
        *,
        host: str = "boxes.example",
        member: int = 0,
        timeout_ms: int = 3000,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
    ) -> http.Response:
        """Send one attempt to a member; raise when there is no response."""
        self._attempts += 1
        result = await http.fetch(
            self.members[member].options.instance.host,
            FRONT_PORT,
            method,
            target,
            headers=(
                ("Host", host),
                ("Hawthornmast-Attempt-Id", f"attempt-{self._attempts}"),
                ("Hawthornmast-Request-Deadline", str(timeout_ms)),
                *headers,
            ),
            body=body,
            timeout=timeout_ms / 1000 + 1.0,
        )
        return result.unwrap()

    def count_runs(self, attempt: str | None = None) -> int:
        """Return how often back ends executed an attempt.

        The default is the last attempt sent.
        """
        key = attempt or f"attempt-{self._attempts}"
        return sum(
            item.count_executions(key) for item in self.backends.values()
        )
