"""Interfaces between forwarding and the daemon."""

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
    """Runtime state of one service that this daemon owns."""

    @property
    def service(self) -> Service:
        """The last configuration of the service that passed validation."""

    async def admit(
        self, entry: Entry, *, deadline: float, exclude: Collection[str]
    ) -> Result[Admission, Refusal]:
        """Wait for a slot; cancelling the call removes it from the queue."""

    def begin(self, upstream_id: str, entry_name: str) -> object:
        """Start an attempt, before its request is sent to an upstream."""

    def finish(self, attempt: object, evidence: Evidence) -> None:
        """End an attempt and record its evidence about the upstream."""

    def allow_retry(self, entry: Entry) -> bool:
        """Take one retry from the entry's budget, if available."""

    def record_first_attempt(self, entry: Entry) -> None:
        """Count a completed first attempt, which adds to the budget."""

    def announce_leaving(self, upstream_id: str) -> None:
        """Record that an upstream announced that it is leaving."""


class ServiceDirectory(Protocol):
    """The services of the fleet as known to this daemon."""

    def is_known(self, service_name: str) -> bool:
        """Return whether the owners of a service are known already."""

    async def fetch_if_unknown(self, service_name: str) -> None:
        """Fetch the configuration document of a service if it is missing."""

    def runtime(self, service_name: str) -> ServiceRuntime | None:
        """Return the runtime of a service that this daemon owns."""

    def owners(self, service_name: str) -> list[Instance] | None:
        """Return the owners of a service, or None if it doesn't exist."""

    def ticketed_entries(self, service_name: str) -> list[str]:
        """Return the names of the known entries that require a ticket."""


@attrs.frozen(kw_only=True)
class RequestReport:
    """A completed request.

    It is logged, counted in the metrics, and shown by the administration API
    under ``/v1/explain/requests/``.

    Parameters
    ----------
    upstreams
        Identifiers of the upstreams that were tried, in order.
    queue_s, total_s
        Seconds spent waiting for slots, and from receipt to the response.
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
