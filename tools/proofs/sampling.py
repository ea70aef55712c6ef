"""Samples daemons during a run: revisions, ejections, unexpected ends."""

import functools
from typing import Any

import attrs
from result import Err
import trio

from tools.fleet import Fleet
from tools.fleet import Member

WINDOW_S = 15.0
"""A daemon may act on a former list for this long (lag and confirmation)."""

Ejected = dict[str, set[str]]


@attrs.define(kw_only=True)
class _View:
    """What one daemon says about the upstreams of one service."""

    ejected: set[str]
    allowed: int


class Sampler:
    """Watches the daemons of a fleet through their administration API.

    Parameters
    ----------
    fleet
        The fleet to watch.
    interval_s
        Seconds between two samples.

    Attributes
    ----------
    samples, ejections
        Number of samples, and of samples with an ejected upstream.
    lower_starts
        Daemons that started with a lower revision than their former process
        had; this counts but is no violation (see ``docs/proofs.md``).
    """

    def __init__(self, fleet: Fleet, *, interval_s: float = 0.25) -> None:
        self._fleet = fleet
        self._interval_s = interval_s
        self._revisions: dict[tuple[str, str, str], int] = {}
        self._highest: dict[tuple[str, str], int] = {}
        self._allowed: dict[str, list[tuple[float, int]]] = {}
        self.floor: list[str] = []
        self.reverted: list[str] = []
        self.samples = 0
        self.ejections = 0
        self.largest_union = 0
        self.lower_starts = 0

    async def run(self) -> None:
        """Sample until cancelled."""
        async with trio.open_nursery() as nursery:
            for member in self._fleet.members:
                nursery.start_soon(self._watch_revisions, member)
            nursery.start_soon(self._watch_floor)

    async def _watch_revisions(self, member: Member) -> None:
        while True:
            await trio.sleep(self._interval_s)
            status = await self._fleet.ask_admin(member, "/v1/status")
            if not isinstance(status, Err):
                self.note_status(member, status.ok_value)

    def note_status(self, member: Member, status: dict[str, Any]) -> None:
        """Compare revisions with the former ones of the same process."""
        name, run = member.instance.instance_id, status["incarnation"]
        values = {
            item["name"]: item["revision"] for item in status["services"]
        }
        values["daemons"] = status["configuration"]["daemons_revision"]
        for key, revision in values.items():
            before = self._revisions.get((name, run, key), 0)
            if revision < before:
                self.reverted.append(
                    f"{key} on {name} went from {before} to {revision}"
                )
            self._revisions[name, run, key] = revision
            former = self._highest.get((name, key), 0)
            if not before and status["state"] == "serving":
                self.lower_starts += revision < former
            self._highest[name, key] = max(former, revision)

    async def _watch_floor(self) -> None:
        while True:
            await trio.sleep(self._interval_s)
            for service in self._fleet.deployment.upstreams:
                await self._check_floor(service)

    async def _check_floor(self, service: str) -> None:
        before = await self._read_views(service)
        if not any(view.ejected for view in before.values()):
            return
        # Upstreams that both reads of a daemon show were ejected there at
        # the moment between the two; an ejection lasts longer than a read.
        after = await self._read_views(service)
        self.samples += 1
        union: set[str] = set()
        now = trio.current_time()
        history = self._allowed.setdefault(service, [])
        for name in before.keys() & after.keys():
            first, second = before[name], after[name]
            both = first.ejected & second.ejected
            history.append((now, first.allowed))
            history.append((now, second.allowed))
            if len(both) > max(first.allowed, second.allowed):
                self.floor.append(
                    f"{name} ejects {sorted(both)} of {service}, "
                    f"allowed: {first.allowed}"
                )
            union |= both
        history[:] = [item for item in history if item[0] > now - WINDOW_S]
        self.ejections += bool(union)
        self.largest_union = max(self.largest_union, len(union))
        limit = max((allowed for _, allowed in history), default=0)
        if len(union) > limit:
            self.floor.append(
                f"{sorted(union)} of {service} are ejected by some daemon, "
                f"allowed: {limit}"
            )

    async def _read_views(self, service: str) -> dict[str, _View]:
        """Return the views of the daemons that serve a service."""
        views: dict[str, _View] = {}
        names = [
            backend.upstream.upstream_id
            for backend in self._fleet.backends
            if backend.service == service
        ]

        async def read(member: Member) -> None:
            view = _View(ejected=set(), allowed=0)
            for name in names:
                done = await self._fleet.ask_admin(
                    member, f"/v1/explain/upstreams/{service}/{name}"
                )
                if isinstance(done, Err):
                    return
                facts = done.ok_value.get("upstream")
                if facts is None:
                    continue
                view.allowed = max(
                    view.allowed, facts["listed"] - facts["floor_upstreams"]
                )
                live = facts["upstream"]["state"] == "live"
                if live and facts["standing"]["ejected"]:
                    view.ejected.add(name)
                views[member.instance.instance_id] = view

        async with trio.open_nursery() as nursery:
            for member in self._fleet.members:
                nursery.start_soon(functools.partial(read, member))
        return views
