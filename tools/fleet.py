"""Runs a deployment's platform, upstreams and daemons on loopback."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
import json
import pathlib
import signal
from typing import Any

import attrs
from result import Err
from result import Ok
from result import Result
import trio

from hawthornmast.common import Instance
from hawthornmast.common import State
from hawthornmast.common import StepError
from hawthornmast.common import Upstream
from hawthornmast.http import fetch
from hawthornmast.http import Response
from tools.deployments import Deployment
from tools.processes import choose_ports
from tools.processes import HOST
from tools.processes import Process
from tools.processes import ProcessGroup
from tools.processes import ROOT

SECRET = "demonstration-secret-on-loopback"
START_TIMEOUT_S = 30.0
PLATFORM = "platform"
"""Name of the platform in the pairs passed to ``Fleet.set_cuts``."""

DAEMONS_KEY = "instances/daemons"


@attrs.define(kw_only=True, eq=False)
class Member:
    """A daemon with its process; ``process`` is None before its start.

    The platform port is that of a relay when the fleet uses relays.
    """

    instance: Instance
    admin_port: int
    platform_port: int
    settings: pathlib.Path
    process: Process | None = None


@attrs.define(kw_only=True, eq=False)
class Backend:
    """A back end: an upstream, its stand-in process and its control port."""

    service: str
    upstream: Upstream
    control_port: int
    process: Process


class Fleet:
    """One deployment; all processes run on this machine.

    Parameters
    ----------
    deployment
        Zones, services and sizes.
    group
        Group in which processes are started.
    folder
        Folder for settings files.
    daemons
        Number of daemons, spread over the zones.
    service_ms
        Service time of the upstreams in milliseconds.
    drain_grace_ms
        Minimum time in milliseconds for which a leaving daemon continues to
        serve.
    keyed_bytes
        Largest size of response bodies that are derived from the request
        key; 0 for short fixed bodies.
    use_relays
        Whether streams between daemons, and to the platform, pass through a
        relay that can cut them.
    command
        Module and arguments that start a daemon with a settings file.
    """

    def __init__(
        self,
        deployment: Deployment,
        *,
        group: ProcessGroup,
        folder: pathlib.Path,
        daemons: int = 6,
        service_ms: float = 5.0,
        drain_grace_ms: int = 5000,
        keyed_bytes: int = 0,
        use_relays: bool = False,
        command: tuple[str, ...] = ("hawthornmast.cli", "daemon"),
    ) -> None:
        self.deployment = deployment
        self.members: list[Member] = []
        self.backends: list[Backend] = []
        self._group = group
        self._folder = folder
        self._count = daemons
        self._service_ms = service_ms
        self._drain_grace_ms = drain_grace_ms
        self._keyed_bytes = keyed_bytes
        self._use_relays = use_relays
        self._relay_control_port = 0
        self._command = command
        self.platform_port = 0
        self._platform_control_port = 0

    async def start(self) -> None:
        """Start all processes and wait until each daemon serves."""
        # The platform has two ports and the relay process one control port; a
        # daemon has three, plus two relay ports, and an upstream two.
        ports = iter(
            choose_ports(
                3
                + (3 + 2 * self._use_relays) * self._count
                + 2 * sum(self.deployment.upstreams.values())
            )
        )
        self.platform_port, self._platform_control_port = (
            next(ports),
            next(ports),
        )
        name = self.deployment.name
        self._group.start(
            f"{name}-platform",
            "standins.platform",
            "--port",
            str(self.platform_port),
            "--control-port",
            str(self._platform_control_port),
        )
        for service, count in self.deployment.upstreams.items():
            for number in range(count):
                self._start_backend(service, number, next(ports), next(ports))
        for number in range(self._count):
            platform_port = self.platform_port
            if self._use_relays:
                platform_port = next(ports)
            self._add_member(
                number, next(ports), next(ports), next(ports), platform_port
            )
        if self._use_relays:
            await self._start_relays(next(ports), ports)
        await self.publish_all()
        for member in self.members:
            self.start_member(member)
        for backend in self.backends:
            await self._wait_for(backend.control_port, "/counts")
        for member in self.members:
            await self.wait_until_serving(member)

    def _start_backend(
        self, service: str, number: int, port: int, control_port: int
    ) -> None:
        zones = self.deployment.zones
        upstream = Upstream(
            upstream_id=f"{service}-{number}",
            zone=zones[number % len(zones)],
            host=HOST,
            port=port,
            slots=self.deployment.slots,
            connections=self.deployment.connections,
        )
        process = self._group.start(
            f"{self.deployment.name}-{upstream.upstream_id}",
            "standins.upstream",
            "--port",
            str(port),
            "--control-port",
            str(control_port),
            "--slots",
            str(upstream.slots),
            "--connections",
            str(upstream.connections),
            "--service-ms",
            str(self._service_ms),
            "--keyed-bytes",
            str(self._keyed_bytes),
            "--seed",
            str(number),
        )
        self.backends.append(
            Backend(
                service=service,
                upstream=upstream,
                control_port=control_port,
                process=process,
            )
        )

    def _add_member(
        self,
        number: int,
        port: int,
        peer_port: int,
        admin_port: int,
        platform_port: int,
    ) -> None:
        zones = self.deployment.zones
        instance = Instance(
            instance_id=f"{self.deployment.name}-entry-{number}",
            zone=zones[number % len(zones)],
            host=HOST,
            port=port,
            peer_port=peer_port,
        )
        settings = self._folder / f"{instance.instance_id}.toml"
        self.members.append(
            Member(
                instance=instance,
                admin_port=admin_port,
                platform_port=platform_port,
                settings=settings,
            )
        )
        settings.write_text(
            f"""\
[instance]
id = "{instance.instance_id}"
zone = "{instance.zone}"
host = "{HOST}"
port = {port}
peer_port = {peer_port}
admin_port = {admin_port}

[platform]
host = "{HOST}"
port = {platform_port}

[peers]
secrets = ["{SECRET}"]

[limits]
drain_grace_ms = {self._drain_grace_ms}
""",
            encoding="utf-8",
        )

    async def _start_relays(
        self, control_port: int, ports: Iterator[int]
    ) -> None:
        """Publish relay ports as the daemons' peer ports."""
        relays = []
        for member in self.members:
            instance = member.instance
            port = next(ports)
            relays.append(
                f"{instance.instance_id}={port}={instance.peer_port}"
            )
            relays.append(
                f"{instance.instance_id}:{PLATFORM}="
                f"{member.platform_port}={self.platform_port}"
            )
            member.instance = attrs.evolve(instance, peer_port=port)
        self._relay_control_port = control_port
        self._group.start(
            f"{self.deployment.name}-link",
            "standins.link",
            "--control-port",
            str(control_port),
            *relays,
        )
        await self._wait_for(control_port, "/cuts")

    async def set_cuts(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Block exactly these directions, between daemons or PLATFORM.

        Cuts that are not among the pairs are healed.
        """
        body = json.dumps(sorted(pairs)).encode()
        result = await fetch(
            HOST, self._relay_control_port, "POST", "/cuts", body=body
        )
        assert result.unwrap().status == 200, result.unwrap().body

    def start_member(self, member: Member) -> None:
        """Start or restart the process of a daemon."""
        member.process = self._group.start(
            member.instance.instance_id,
            *self._command,
            str(member.settings),
        )

    async def wait_until_serving(self, member: Member) -> None:
        """Wait until a daemon serves; TooSlowError after a timeout."""
        with trio.fail_after(START_TIMEOUT_S):
            while True:
                result = await self.query_admin(member, "/v1/status")
                serving = (
                    result.is_ok() and result.unwrap()["state"] == "serving"
                )
                if serving and await self._resolves_addresses(member.instance):
                    return
                await trio.sleep(0.05)

    async def _resolves_addresses(self, instance: Instance) -> bool:
        """Return whether a daemon responds to an address lookup."""
        result = await fetch(
            instance.host,
            instance.port,
            "GET",
            "/.well-known/hawthornmast/addresses?service="
            + next(iter(self.deployment.upstreams)),
        )
        return result.is_ok() and result.unwrap().status == 200

    async def publish_all(self) -> None:
        """Publish the catalogue and all instance lists."""
        await self._wait_for(self._platform_control_port, "/control/calls")
        for service in self.deployment.upstreams:
            await self.publish_document(service)
            await self.publish_upstreams(service)
        await self.publish_daemons()

    def read_document(self, service: str) -> str:
        """Return the catalogue document of a service."""
        folder = ROOT / "examples" / self.deployment.name
        return (folder / f"{service}.toml").read_text(encoding="utf-8")

    async def publish_document(self, service: str, suffix: str = "") -> int:
        """Publish a service's document with a suffix appended."""
        text = self.read_document(service) + suffix
        return await self.publish(f"catalogue/services/{service}", text)

    async def publish_upstreams(
        self,
        service: str,
        *,
        leaving: Collection[str] = (),
        gone: Collection[str] = (),
    ) -> None:
        """Publish a service's upstreams, except those in ``gone``."""
        listed = [
            attrs.evolve(backend.upstream, state=State.LEAVING)
            if backend.upstream.upstream_id in leaving
            else backend.upstream
            for backend in self.backends
            if backend.service == service
            and backend.upstream.upstream_id not in gone
        ]
        await self.publish(
            f"instances/upstreams/{service}",
            json.dumps([attrs.asdict(item) for item in listed]),
        )

    async def publish_daemons(self, *, gone: Collection[str] = ()) -> None:
        """Publish the list of daemons, except those in ``gone``."""
        listed = [
            attrs.asdict(member.instance)
            for member in self.members
            if member.instance.instance_id not in gone
        ]
        await self.publish(DAEMONS_KEY, json.dumps(listed))

    async def publish(self, key: str, text: str) -> int:
        """Publish a value and return its revision."""
        response = await self.control_platform(f"put?key={key}", text.encode())
        return int(response.json()["revision"])

    async def control_platform(
        self, command: str, body: bytes = b""
    ) -> Response:
        """Run a control command of the platform stand-in."""
        result = await fetch(
            HOST,
            self._platform_control_port,
            "POST",
            f"/control/{command}",
            body=body,
        )
        return result.unwrap()

    async def set_faults(self, backend: Backend, **faults: Any) -> None:
        """Set faults of an upstream."""
        result = await fetch(
            HOST,
            backend.control_port,
            "POST",
            "/faults",
            body=json.dumps(faults).encode(),
        )
        assert result.unwrap().status == 200, result.unwrap().body

    async def read_executions(self) -> list[dict[str, Any]]:
        """Return every execution that the upstreams logged."""
        executions: list[dict[str, Any]] = []
        for backend in self.backends:
            result = await fetch(
                HOST, backend.control_port, "GET", "/log", timeout=20
            )
            for execution in result.unwrap().json():
                executions.append(
                    {**execution, "upstream": backend.upstream.upstream_id}
                )
        return executions

    async def query_admin(
        self, member: Member, path: str
    ) -> Result[Any, StepError]:
        """Return the JSON response of a daemon's administration API."""
        result = await fetch(HOST, member.admin_port, "GET", path)
        if result.is_err():
            return Err(result.unwrap_err())
        return Ok(result.unwrap().json())

    def kill(self, member: Member) -> None:
        """Kill a daemon with SIGKILL."""
        assert member.process is not None
        member.process.kill()

    def pause(self, member: Member) -> None:
        """Suspend a daemon's process with SIGSTOP."""
        assert member.process is not None
        member.process.signal(signal.SIGSTOP)

    def resume(self, member: Member) -> None:
        """Resume a suspended process with SIGCONT."""
        assert member.process is not None
        member.process.signal(signal.SIGCONT)

    async def stop(self) -> list[Process]:
        """Stop all daemons gracefully; return those that timed out."""
        processes = [m.process for m in self.members if m.process is not None]
        return await self._group.stop(processes)

    async def _wait_for(self, port: int, path: str) -> None:
        with trio.fail_after(START_TIMEOUT_S):
            while (await fetch(HOST, port, "GET", path)).is_err():
                await trio.sleep(0.05)
