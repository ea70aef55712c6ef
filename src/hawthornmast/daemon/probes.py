"""Probes of health endpoints that detect leaving upstreams.

A probe never causes an ejection, since health endpoints are delayed and can be
wrong. It only detects an upstream that announces that it is leaving while it
receives no requests.
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

PROBE_INTERVAL_S = 1.0
"""Half of the time within which new requests to a leaving upstream must stop.
"""

PROBE_TIMEOUT_S = 0.8
MAX_CONCURRENT_PROBES = 8


class LeavingProber:
    """Probes the upstreams of the served services for the state leaving.

    Each upstream is probed by one owner, selected by rendezvous hashing among
    the reachable ones, so that the number of probes doesn't grow with the
    number of owners. That owner notifies the others of a leaving upstream.

    Parameters
    ----------
    services
        Runtimes of the services that this daemon serves.
    self_id
        Identifier of this daemon.
    reachable
        Returns whether another daemon is reachable.
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
        self._limiter = trio.Semaphore(MAX_CONCURRENT_PROBES)
        self._scope = trio.CancelScope()

    async def run(self) -> None:
        """Probe periodically until ``close`` is called."""
        with self._scope:
            while True:
                started_at = trio.current_time()
                await self.probe_all()
                elapsed = trio.current_time() - started_at
                await trio.sleep(max(0.0, PROBE_INTERVAL_S - elapsed))

    def close(self) -> None:
        """Stop probing."""
        self._scope.cancel()

    async def probe_all(self) -> None:
        """Probe each upstream that is assigned to this daemon once."""
        async with trio.open_nursery() as nursery:
            for runtime in self._services:
                if runtime.service.health_path is None:
                    continue
                for upstream in runtime.upstreams:
                    if upstream.state is State.LIVE and self._is_assigned(
                        runtime, upstream
                    ):
                        nursery.start_soon(self._probe, runtime, upstream)

    def _is_assigned(self, runtime: Runtime, upstream: Upstream) -> bool:
        candidates = [
            name
            for name in runtime.group
            if name == self._self_id or self._reachable(name)
        ]
        return self._self_id == max(
            candidates,
            key=lambda name: _score(upstream.upstream_id, name),
            default="",
        )

    async def _probe(self, runtime: Runtime, upstream: Upstream) -> None:
        path = runtime.service.health_path
        if path is None:
            return
        async with self._limiter:
            response = await fetch(
                upstream.host,
                upstream.port,
                "GET",
                path,
                timeout=PROBE_TIMEOUT_S,
            )
        if response.is_ok() and announces_leave(response.unwrap()):
            runtime.announce_leaving(upstream.upstream_id, step="probe")


def announces_leave(response: Response) -> bool:
    """Return whether a health response announces that the upstream leaves.

    This is the header ``Upstream-State: leaving`` or a JSON object whose field
    ``leaving`` is true.
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
