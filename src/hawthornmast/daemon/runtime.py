"""State of one service that this daemon owns."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import random
from typing import Any

import attrs
from result import Result
import trio

from hawthornmast.audit import Action
from hawthornmast.audit import AuditTrail
from hawthornmast.catalogue import Entry
from hawthornmast.catalogue import Service
from hawthornmast.common import Instance
from hawthornmast.common import State
from hawthornmast.common import Upstream
from hawthornmast.daemon import messages
from hawthornmast.health import Attempt
from hawthornmast.health import Evidence
from hawthornmast.health import HealthMonitor
from hawthornmast.health import Standing
from hawthornmast.limits import Admission
from hawthornmast.limits import Dispatcher
from hawthornmast.limits import Refusal
from hawthornmast.limits import RetryBudget
from hawthornmast.limits import SlotAllocator
from hawthornmast.limits import UpstreamPool


@attrs.frozen(kw_only=True)
class RuntimeContext:
    """State and callbacks of the daemon that a runtime uses.

    Parameters
    ----------
    instance
        This daemon.
    post
        Queues a message for another daemon; returns False if it can't be
        sent.
    reachable
        Returns whether another daemon is reachable.
    audit
        Audit trail of automatic actions.
    random
        Random source for jitter and for breaking ties.
    """

    instance: Instance
    post: Callable[[str, Any], bool]
    reachable: Callable[[str], bool]
    audit: AuditTrail
    random: random.Random


class Runtime:
    """Limits, health and retry budgets of one service that this daemon owns.

    Parameters
    ----------
    service
        The accepted catalogue document.
    context
        State and callbacks of the daemon.
    """

    def __init__(self, service: Service, *, context: RuntimeContext) -> None:
        self.service = service
        self._context = context
        self._upstreams: tuple[Upstream, ...] = ()
        self._group: tuple[str, ...] = ()
        self._announced_leaving: set[str] = set()
        self._view = ""
        self._retry_budgets: dict[str, RetryBudget] = {}
        self.monitor = HealthMonitor(
            service,
            self_id=context.instance.instance_id,
            clock=trio.current_time,
            post=context.post,
            reachable=context.reachable,
            audit=context.audit,
            on_change=self._handle_health_change,
        )
        self.pool = UpstreamPool(
            service,
            standing=self.monitor.standing,
            random=context.random,
            zone=context.instance.zone,
            drop_expired=self._drop_expired_slots,
        )
        self.dispatcher = Dispatcher(
            service, self.pool, clock=trio.current_time, random=context.random
        )
        self.allocator = SlotAllocator(
            service,
            self_id=context.instance.instance_id,
            clock=trio.current_time,
            random=context.random,
            post=context.post,
            reachable=context.reachable,
            on_change=self._apply_slots,
            demand=lambda: list(self.dispatcher.count_demand().values()),
            in_use=self.pool.in_use,
        )
        self._update_retry_budgets()

    @property
    def group(self) -> tuple[str, ...]:
        """Identifiers of the owner group: the daemons that own the service."""
        return self._group

    @property
    def view(self) -> str:
        """Identifier of the owner group's view, which owners confirm.

        It is the revision of the list of daemons, from which the owner group
        is computed.
        """
        return self._view

    @property
    def upstreams(self) -> tuple[Upstream, ...]:
        """Listed upstreams; an announced leave is reflected in the state."""
        return self._upstreams

    def find_upstream(self, upstream_id: str) -> Upstream | None:
        """Return a listed upstream, or None."""
        for upstream in self._upstreams:
            if upstream.upstream_id == upstream_id:
                return upstream
        return None

    async def admit(
        self, entry: Entry, *, deadline: float, exclude: Collection[str]
    ) -> Result[Admission, Refusal]:
        """Wait for a slot until ``deadline`` (trio clock)."""
        return await self.dispatcher.admit(
            entry, deadline=deadline, exclude=exclude
        )

    def begin(self, upstream_id: str, entry_name: str) -> Attempt:
        """Record the start of an attempt on an upstream."""
        return self.monitor.begin(upstream_id, entry_name)

    def finish(self, attempt: object, evidence: Evidence) -> None:
        """Record the result of an attempt as evidence on its upstream."""
        assert isinstance(attempt, Attempt)
        self.monitor.finish(attempt, evidence)

    def allow_retry(self, entry: Entry) -> bool:
        """Consume a retry from the entry's budget if it has one left."""
        budget = self._retry_budgets.get(entry.name)
        return budget is not None and budget.take()

    def record_first_attempt(self, entry: Entry) -> None:
        """Credit a completed first attempt to the entry's retry budget."""
        budget = self._retry_budgets.get(entry.name)
        if budget is not None:
            budget.record_completion()

    def announce_leaving(
        self, upstream_id: str, *, step: str = "read-response"
    ) -> None:
        """Stop using a leaving upstream and notify the other owners."""
        if not self.mark_leaving(upstream_id, peer="", step=step):
            return
        notice = messages.UpstreamLeaving(
            service=self.service.name, upstream_id=upstream_id
        )
        for owner_id in self._group:
            if owner_id != self._context.instance.instance_id:
                self._context.post(owner_id, notice)

    def mark_leaving(self, upstream_id: str, *, peer: str, step: str) -> bool:
        """Mark an upstream as leaving on this daemon only.

        Returns whether it wasn't marked before.
        """
        upstream = self.find_upstream(upstream_id)
        if upstream is None or upstream.state is State.LEAVING:
            return False
        self._announced_leaving.add(upstream_id)
        self._context.audit.append(
            Action.UPSTREAM_LEAVING,
            service=self.service.name,
            # The team that owns the service, not a daemon of the owner group.
            owner=self.service.owner,
            revision=self.service.revision,
            evidence=f"upstream={upstream_id}",
            step=step,
            peer=peer or upstream_id,
        )
        self._set_upstreams(self._upstreams)
        return True

    def update_service(self, service: Service) -> None:
        """Apply a new revision of the catalogue document."""
        self.service = service
        self._update_retry_budgets()
        self.dispatcher.update_service(service)

    def update_lists(
        self,
        upstreams: Iterable[Upstream],
        group: Iterable[str],
        *,
        view: str,
    ) -> None:
        """Apply the published list of upstreams and the owner group."""
        listed = tuple(upstreams)
        previous = {upstream.upstream_id for upstream in self._upstreams}
        unlisted = previous - {upstream.upstream_id for upstream in listed}
        # An upstream that is listed again after it was removed is a new one
        # and no longer leaving.
        self._announced_leaving -= unlisted
        self._group = tuple(group)
        self._view = view
        self._set_upstreams(listed)

    def tick(self) -> None:
        """Run periodic work of health and limits; called every 100 ms."""
        self.monitor.tick()
        self.allocator.tick()

    def close(self) -> None:
        """Refuse queued requests; requests in flight are completed."""
        self.dispatcher.close()

    def _set_upstreams(self, listed: tuple[Upstream, ...]) -> None:
        self._upstreams = tuple(
            attrs.evolve(upstream, state=State.LEAVING)
            if upstream.upstream_id in self._announced_leaving
            else upstream
            for upstream in listed
        )
        self.monitor.update(
            self._upstreams,
            self._group,
            view=self._view,
            service=self.service,
        )
        self.pool.update(self._upstreams)
        self.allocator.update(self._upstreams, self._group)
        self.dispatcher.redispatch()

    def _update_retry_budgets(self) -> None:
        self._retry_budgets = {
            entry.name: self._get_retry_budget(entry)
            for entry in self.service.entries
        }

    def _get_retry_budget(self, entry: Entry) -> RetryBudget:
        previous = self._retry_budgets.get(entry.name)
        if previous is not None and previous.ratio == entry.retry_ratio:
            return previous
        return RetryBudget(entry.retry_ratio)

    def _apply_slots(self, allowed: dict[str, int]) -> None:
        self.pool.set_allowed(allowed)
        self.dispatcher.redispatch()

    def _drop_expired_slots(self) -> None:
        self.allocator.check_term()

    def _handle_health_change(
        self, upstream_id: str, standing: Standing
    ) -> None:
        del upstream_id, standing
        self.dispatcher.redispatch()
