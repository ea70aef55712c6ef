"""Samples the configuration revisions and ejections of daemons in a run."""

import functools
from typing import Any

import attrs
from result import Err
import trio

from tools.fleet import Fleet
from tools.fleet import Member

STALE_LIST_WINDOW_S = 15.0
"""A daemon may use an outdated list for this long, which covers the delay
of the platform's list and the confirmation of the owner group."""

Ejected = dict[str, set[str]]


@attrs.define(kw_only=True)
class _ServiceView:
    """Ejected and ejectable upstreams of one service on one daemon."""

    ejected: set[str]
    allowed: int


class Sampler:
    """Samples the daemons of a fleet through their administration API.

    Parameters
    ----------
    fleet
        The fleet to sample.
    interval_s
        Seconds between two samples.

    Attributes
    ----------
    samples, ejections
        Number of samples in which the first read showed an ejection, and of
        those in which an upstream remained ejected on some daemon.
    largest_union
        Largest number of upstreams of one service that were ejected on at
        least one daemon at the same time.
    lower_starts
        Number of daemons that started with a lower revision than their
        previous process had; counted, but not a violation: a daemon that
        is replaced while every peer that knows the newest revision is cut
        off can start with a lower one (see ``docs/proofs.md``).
    """

    def __init__(self, fleet: Fleet, *, interval_s: float = 0.25) -> None:
        self._fleet = fleet
        self._interval_s = interval_s
        self._revisions: dict[tuple[str, str, str], int] = {}
        self._highest_revisions: dict[tuple[str, str], int] = {}
        self._allowed_history: dict[str, list[tuple[float, int]]] = {}
        self.floor_violations: list[str] = []
        self.revision_regressions: list[str] = []
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
            status = await self._fleet.query_admin(member, "/v1/status")
            if not isinstance(status, Err):
                self.record_status(member, status.ok_value)

    def record_status(self, member: Member, status: dict[str, Any]) -> None:
        """Record revisions and report decreases within the same process."""
        name, incarnation = member.instance.instance_id, status["incarnation"]
        values = {
            item["name"]: item["revision"] for item in status["services"]
        }
        values["daemons"] = status["configuration"]["daemons_revision"]
        for key, revision in values.items():
            before = self._revisions.get((name, incarnation, key), 0)
            if revision < before:
                self.revision_regressions.append(
                    f"{key} on {name} decreased from {before} to {revision}"
                )
            self._revisions[name, incarnation, key] = revision
            highest = self._highest_revisions.get((name, key), 0)
            if not before and status["state"] == "serving":
                self.lower_starts += revision < highest
            self._highest_revisions[name, key] = max(highest, revision)

    async def _watch_floor(self) -> None:
        while True:
            await trio.sleep(self._interval_s)
            for service in self._fleet.deployment.upstreams:
                await self._check_floor(service)

    async def _check_floor(self, service: str) -> None:
        before = await self._read_views(service)
        if not any(view.ejected for view in before.values()):
            return
        # Upstreams that both reads of a daemon show as ejected remained
        # ejected between them, because an ejection lasts longer than a read.
        after = await self._read_views(service)
        self.samples += 1
        union: set[str] = set()
        now = trio.current_time()
        history = self._allowed_history.setdefault(service, [])
        for name in before.keys() & after.keys():
            first, second = before[name], after[name]
            ejected = first.ejected & second.ejected
            history.append((now, first.allowed))
            history.append((now, second.allowed))
            if len(ejected) > max(first.allowed, second.allowed):
                self.floor_violations.append(
                    f"{name} ejects {sorted(ejected)} of {service}, "
                    f"allowed: {first.allowed}"
                )
            union |= ejected
        history[:] = [
            item for item in history if item[0] > now - STALE_LIST_WINDOW_S
        ]
        self.ejections += bool(union)
        self.largest_union = max(self.largest_union, len(union))
        limit = max((allowed for _, allowed in history), default=0)
        if len(union) > limit:
            self.floor_violations.append(
                f"{sorted(union)} of {service} are ejected on some daemon, "
                f"allowed: {limit}"
            )

    async def _read_views(self, service: str) -> dict[str, _ServiceView]:
        """Return the views of the daemons that serve a service."""
        views: dict[str, _ServiceView] = {}
        names = [
            backend.upstream.upstream_id
            for backend in self._fleet.backends
            if backend.service == service
        ]

        async def read(member: Member) -> None:
            view = _ServiceView(ejected=set(), allowed=0)
            for name in names:
                result = await self._fleet.query_admin(
                    member, f"/v1/explain/upstreams/{service}/{name}"
                )
                if isinstance(result, Err):
                    return
                facts = result.ok_value.get("upstream")
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
