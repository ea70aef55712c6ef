"""Everything that one daemon holds for one service that it serves."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import random
from typing import Any

import attrs
from result import Result
import trio

from hawthornmast.audit import Act
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
class Links:
    """What a runtime needs of the rest of the daemon.

    Parameters
    ----------
    instance
        This daemon.
    post
        Queues a message for another daemon; False when it can't be sent.
    reachable
        Tells whether another daemon can be reached.
    audit
        Trail of automatic acts.
    random
        Source of jitter and of choices between equals.
    """

    instance: Instance
    post: Callable[[str, Any], bool]
    reachable: Callable[[str], bool]
    audit: AuditTrail
    random: random.Random


class Runtime:
    """Limits, health and retry budgets of one service.

    Parameters
    ----------
    service
        The accepted service.
    links
        The rest of the daemon.
    """

    def __init__(self, service: Service, *, links: Links) -> None:
        self.service = service
        self._links = links
        self._upstreams: tuple[Upstream, ...] = ()
        self._group: tuple[str, ...] = ()
        self._left: set[str] = set()
        self._view = ""
        self._budgets: dict[str, RetryBudget] = {}
        self.monitor = HealthMonitor(
            service,
            self_id=links.instance.instance_id,
            clock=trio.current_time,
            post=links.post,
            reachable=links.reachable,
            audit=links.audit,
            on_change=self._kick,
        )
        self.pool = UpstreamPool(
            service,
            standing=self.monitor.standing,
            random=links.random,
            zone=links.instance.zone,
            drop_expired=self._check_term,
        )
        self.dispatcher = Dispatcher(
            service, self.pool, clock=trio.current_time, random=links.random
        )
        self.allocator = SlotAllocator(
            service,
            self_id=links.instance.instance_id,
            clock=trio.current_time,
            random=links.random,
            post=links.post,
            reachable=links.reachable,
            on_change=self._apply_slots,
            demand=lambda: list(self.dispatcher.count_demand().values()),
            in_use=self.pool.in_use,
        )
        self._set_budgets()

    @property
    def group(self) -> tuple[str, ...]:
        """Identifiers of the daemons that serve the service."""
        return self._group

    @property
    def view(self) -> str:
        """Name of the published lists that are in force."""
        return self._view

    @property
    def upstreams(self) -> tuple[Upstream, ...]:
        """The listed upstreams, with leaving ones marked."""
        return self._upstreams

    def find_upstream(self, upstream_id: str) -> Upstream | None:
        """Return a listed upstream."""
        for upstream in self._upstreams:
            if upstream.upstream_id == upstream_id:
                return upstream
        return None

    async def admit(
        self, entry: Entry, *, deadline: float, exclude: Collection[str]
    ) -> Result[Admission, Refusal]:
        """Wait for a slot until ``deadline`` on trio's clock."""
        return await self.dispatcher.admit(
            entry, deadline=deadline, exclude=exclude
        )

    def begin(self, upstream_id: str, entry_name: str) -> Attempt:
        """Note that a request is about to be sent to an upstream."""
        return self.monitor.begin(upstream_id, entry_name)

    def finish(self, attempt: object, evidence: Evidence) -> None:
        """Note what the request showed about the upstream."""
        assert isinstance(attempt, Attempt)
        self.monitor.finish(attempt, evidence)

    def allow_retry(self, entry: Entry) -> bool:
        """Take one retry from the entry's budget."""
        budget = self._budgets.get(entry.name)
        return budget is not None and budget.take()

    def count_attempt(self, entry: Entry) -> None:
        """Credit a completed first attempt to the entry's budget."""
        budget = self._budgets.get(entry.name)
        if budget is not None:
            budget.record_completion()

    def note_leaving(
        self, upstream_id: str, *, step: str = "read-response"
    ) -> None:
        """Stop using an upstream that announced that it leaves."""
        if not self.mark_leaving(upstream_id, peer="", step=step):
            return
        notice = messages.UpstreamLeaving(
            service=self.service.name, upstream_id=upstream_id
        )
        for member in self._group:
            if member != self._links.instance.instance_id:
                self._links.post(member, notice)

    def mark_leaving(self, upstream_id: str, *, peer: str, step: str) -> bool:
        """Mark an upstream as leaving; return whether that is new."""
        upstream = self.find_upstream(upstream_id)
        if upstream is None or upstream.state is State.LEAVING:
            return False
        self._left.add(upstream_id)
        self._links.audit.append(
            Act.UPSTREAM_LEAVING,
            service=self.service.name,
            owner=self.service.owner,
            revision=self.service.revision,
            evidence=f"upstream={upstream_id}",
            step=step,
            peer=peer or upstream_id,
        )
        self._set_upstreams(self._upstreams)
        return True

    def update_service(self, service: Service) -> None:
        """Apply a new revision of the service."""
        self.service = service
        self._set_budgets()
        self.dispatcher.update_service(service)

    def update_lists(
        self,
        upstreams: Iterable[Upstream],
        group: Iterable[str],
        *,
        view: str,
    ) -> None:
        """Apply the published upstreams and the owner group."""
        listed = tuple(upstreams)
        known = {upstream.upstream_id for upstream in self._upstreams}
        gone = known - {upstream.upstream_id for upstream in listed}
        # An upstream that comes back after it was unlisted is a new one.
        self._left -= gone
        self._group = tuple(group)
        self._view = view
        self._set_upstreams(listed)

    def tick(self) -> None:
        """Run what is due; called every 100 ms."""
        self.monitor.tick()
        self.allocator.tick()

    def close(self) -> None:
        """Refuse waiting requests; running ones finish."""
        self.dispatcher.close()

    def _set_upstreams(self, listed: tuple[Upstream, ...]) -> None:
        self._upstreams = tuple(
            attrs.evolve(upstream, state=State.LEAVING)
            if upstream.upstream_id in self._left
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

    def _set_budgets(self) -> None:
        self._budgets = {
            entry.name: self._keep_budget(entry)
            for entry in self.service.entries
        }

    def _keep_budget(self, entry: Entry) -> RetryBudget:
        known = self._budgets.get(entry.name)
        if known is not None and known.ratio == entry.retry_ratio:
            return known
        return RetryBudget(entry.retry_ratio)

    def _apply_slots(self, allowed: dict[str, int]) -> None:
        self.pool.set_allowed(allowed)
        self.dispatcher.redispatch()

    def _check_term(self) -> None:
        self.allocator.check_term()

    def _kick(self, upstream_id: str, standing: Standing) -> None:
        del upstream_id, standing
        self.dispatcher.redispatch()
