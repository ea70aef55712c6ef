"""Probes of health endpoints for upstreams that leave.

A probe never ejects an upstream: health endpoints lag and mislead. It only
finds an upstream that announces its leave while it gets no work.
"""

from collections.abc import Callable
import hashlib

import trio

from hawthornmast.common import State
from hawthornmast.common import Upstream
from hawthornmast.daemon.runtime import Runtime
from hawthornmast.daemon.services import Services
from hawthornmast.http import fetch
from hawthornmast.http import Response

PERIOD_S = 1.0
"""Half of the time within which a leaving upstream gets no new work."""

TIMEOUT_S = 0.8
AT_ONCE = 8


class LeavingProber:
    """Asks the upstreams of the own services whether they leave.

    Each upstream is asked by one owner, the first that is reachable in the
    order of a hash, so that the probes of an upstream don't grow with the
    owners. The owner that learns of a leave tells the others.

    Parameters
    ----------
    services
        Services that this daemon serves.
    self_id
        Identifier of this daemon.
    reachable
        Tells whether another daemon can be reached.
    """

    def __init__(
        self,
        *,
        services: Services,
        self_id: str,
        reachable: Callable[[str], bool],
    ) -> None:
        self._services = services
        self._self_id = self_id
        self._reachable = reachable
        self._limiter = trio.Semaphore(AT_ONCE)
        self._scope = trio.CancelScope()

    async def run(self) -> None:
        """Probe until ``close``."""
        with self._scope:
            while True:
                started = trio.current_time()
                await self.probe_all()
                spent = trio.current_time() - started
                await trio.sleep(max(0.0, PERIOD_S - spent))

    def close(self) -> None:
        """Stop probing."""
        self._scope.cancel()

    async def probe_all(self) -> None:
        """Probe each upstream that is this daemon's to probe once."""
        async with trio.open_nursery() as nursery:
            for runtime in self._services:
                if runtime.service.health_path is None:
                    continue
                for upstream in runtime.upstreams:
                    if upstream.state is State.LIVE and self._is_own(
                        runtime, upstream
                    ):
                        nursery.start_soon(self._probe, runtime, upstream)

    def _is_own(self, runtime: Runtime, upstream: Upstream) -> bool:
        members = [
            name
            for name in runtime.group
            if name == self._self_id or self._reachable(name)
        ]
        return self._self_id == max(
            members,
            key=lambda name: _score(upstream.upstream_id, name),
            default="",
        )

    async def _probe(self, runtime: Runtime, upstream: Upstream) -> None:
        path = runtime.service.health_path
        if path is None:
            return
        async with self._limiter:
            done = await fetch(
                upstream.host, upstream.port, "GET", path, timeout=TIMEOUT_S
            )
        if done.is_ok() and announces_leave(done.unwrap()):
            runtime.note_leaving(upstream.upstream_id, step="probe")


def announces_leave(response: Response) -> bool:
    """Return whether a health response says that the upstream leaves.

    It says so by the header ``Upstream-State: leaving`` or by a JSON object
    whose ``leaving`` is true.
    """
    if response.header("Upstream-State") == State.LEAVING.value:
        return True
    try:
        value = response.json()
    except ValueError:
        return False
    return isinstance(value, dict) and value.get("leaving") is True


def _score(upstream_id: str, instance_id: str) -> bytes:
    text = f"{upstream_id}\0{instance_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
