"""What forwarding asks of the daemon, and what it reports."""

from collections.abc import Collection
from typing import Protocol

import attrs
from result import Result

from hawthornmast.catalogue import Entry
from hawthornmast.catalogue import Service
from hawthornmast.common import Instance
from hawthornmast.common import Outcome
from hawthornmast.health import Evidence
from hawthornmast.limits import Admission
from hawthornmast.limits import Refusal


class ServiceRuntime(Protocol):
    """One service that this daemon owns."""

    @property
    def service(self) -> Service:
        """The service as accepted now."""

    async def admit(
        self, entry: Entry, *, deadline: float, exclude: Collection[str]
    ) -> Result[Admission, Refusal]:
        """Wait for a slot; cancellation leaves the queue."""

    def begin(self, upstream_id: str, entry_name: str) -> object:
        """Note that a request is about to be sent to an upstream."""

    def finish(self, attempt: object, evidence: Evidence) -> None:
        """Note what the request showed about the upstream."""

    def allow_retry(self, entry: Entry) -> bool:
        """Take one retry from the entry's budget, if it has one left."""

    def count_attempt(self, entry: Entry) -> None:
        """Count a completed first attempt, which fills the budget."""

    def note_leaving(self, upstream_id: str) -> None:
        """Note that an upstream announced that it leaves."""


class ServiceDirectory(Protocol):
    """The services of the fleet as this daemon sees them."""

    def is_known(self, service_name: str) -> bool:
        """Tell whether ``owners`` can answer for a service at once."""

    async def prepare(self, service_name: str) -> None:
        """Learn of a service that this daemon holds no document of."""

    def runtime(self, service_name: str) -> ServiceRuntime | None:
        """Return the runtime of a service that this daemon owns."""

    def owners(self, service_name: str) -> list[Instance] | None:
        """Return the owners of a service; None when there is none."""

    def ticketed_entries(self, service_name: str) -> list[str]:
        """Return the names of entries that need a ticket, where known."""


@attrs.frozen(kw_only=True)
class RequestReport:
    """One finished request, for logs, metrics and explanations.

    Parameters
    ----------
    upstreams
        Identifiers of the upstreams that were tried, in order.
    queue_s, total_s
        Seconds spent waiting for slots, and from arrival to the answer.
    """

    request_id: str
    service: str
    entry: str
    owner: str
    rank: str
    outcome: Outcome
    status: int
    reason: str
    upstreams: tuple[str, ...]
    queue_s: float
    total_s: float
    revision: int
    client: str
