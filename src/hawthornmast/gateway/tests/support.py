"""Helpers shared by the tests of the gateway."""

import random
from typing import Any

import attrs
from result import Err
from result import Ok
from result import Result
import trio

from hawthornmast.common import EraRevision
from hawthornmast.common import Instance
from hawthornmast.common import StepError
from hawthornmast.common import Upstream
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.gateway.options import Bounds
from hawthornmast.gateway.services import ServiceRegistry
from hawthornmast.gateway.services import ServiceState
from hawthornmast.membership.entries import ListedUpstream
from hawthornmast.membership.entries import UpstreamSnapshot
from hawthornmast.membership.gossip import Gossip
from hawthornmast.routing import Configuration
from hawthornmast.routing import PublishedConfiguration
from hawthornmast.routing import Route
from hawthornmast.routing import ServiceOptions
from hawthornmast.routing import Target


def make_configuration(version: int = 1, **changes: Any) -> Configuration:
    """Return a configuration with the services ``boxes`` and ``billing``.

    ``changes`` override its fields.
    """
    routes = tuple(
        Route(
            name=f"{service}-route",
            host=f"{service}.example",
            prefix="/",
            targets=(Target(service),),
            idempotent=service == "boxes",
            timeout_s=2.0,
            target_latency_s=1.0,
            max_attempts=2,
        )
        for service in ("boxes", "billing")
    )
    configuration = Configuration(
        version=version,
        routes=routes,
        services=(ServiceOptions(name="boxes", connections=77),),
    )
    return attrs.evolve(configuration, **changes)


def make_listed_upstream(
    name: str, service: str = "boxes", *, started_ms: int = 0
) -> ListedUpstream:
    """Return a listed upstream."""
    return ListedUpstream(
        service=service,
        upstream=Upstream(
            upstream_id=name,
            zone="a",
            host="127.0.0.1",
            port=1,
            slots=2,
            started_ms=started_ms,
        ),
    )


def make_request(
    *, received_at: float = 0.0, timeout_s: float | None = 2.0
) -> ClientRequest:
    """Return a request for the first route."""
    return ClientRequest(
        request_id="1",
        method="GET",
        target="/",
        service="boxes.example",
        headers=[],
        received_at=received_at,
        timeout_s=timeout_s,
    )


def make_services(*entries: ListedUpstream) -> ServiceRegistry:
    """Return services with the test configuration and upstreams."""
    services = ServiceRegistry(
        lambda name, statements: ServiceState(
            name,
            bounds=Bounds(retry_ratio=0.2, retry_slack=16.0),
            zone="a",
            random_source=random.Random(1),
            statements=statements,
        )
    )
    services.apply_configuration(make_configuration())
    services.apply_listing({e.upstream.upstream_id: e for e in entries})
    return services


def make_gossip(number: int = 1) -> Gossip:
    """Return the membership of a member without peers."""
    return Gossip(
        instance=Instance(
            instance_id=f"member-{number}",
            zone="a",
            host=f"127.0.0.{number}",
            port=1,
            peer_port=2,
        ),
        incarnation=number,
        seeds=(),
        clock=trio.current_time,
        random_source=random.Random(1),
    )


class FakePlatform:
    """A platform whose responses are set by the test."""

    def __init__(self) -> None:
        self.configuration: Configuration | None = make_configuration()
        self.snapshot = UpstreamSnapshot(
            revision=5, entries=(make_listed_upstream("u1"),)
        )
        # Era of all that it returns.
        self.era = 0
        self.down = False
        self.without_configuration = False
        self.delay_s = 0.0
        self.calls: list[str] = []

    async def read_listing(
        self, *, timeout_s: float
    ) -> Result[UpstreamSnapshot, StepError]:
        """Return the list of upstreams."""
        del timeout_s
        self.calls.append("listing")
        answer = self._answer(attrs.evolve(self.snapshot, era=self.era))
        await trio.sleep(self.delay_s)
        return answer

    async def read_configuration(
        self, *, timeout_s: float
    ) -> Result[PublishedConfiguration | None, StepError]:
        """Return the configuration."""
        del timeout_s
        self.calls.append("configuration")
        if self.without_configuration:
            return Err(StepError(step="read", detail="no answer"))
        if self.configuration is None:
            return self._answer(None)
        position = EraRevision(self.era, self.snapshot.revision)
        return self._answer(
            PublishedConfiguration(
                configuration=self.configuration, position=position
            )
        )

    def _answer(self, value):
        if self.down:
            return Err(StepError(step="read", detail="down"))
        return Ok(value)
