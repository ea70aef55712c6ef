"""Test fixtures: one server with one service and stand-in upstreams."""

import contextlib

import attrs
from result import Err
from result import Ok
import trio

from hawthornmast import forwarding
from hawthornmast import http
from hawthornmast.catalogue import Entry
from hawthornmast.catalogue import Service
from hawthornmast.common import Instance
from hawthornmast.common import Upstream
from hawthornmast.forwarding.evidence import SINGLETON_HEADERS
from hawthornmast.limits import Admission
from hawthornmast.limits import Reason
from hawthornmast.limits import Refusal
from standins.upstream import UpstreamStandIn

SERVICE = Service(
    name="billing",
    owner="billing-team",
    not_run_header=("Upstream-Not-Run", "1"),
    revision=7,
    entries=(
        Entry(
            name="charge",
            owner="renewals",
            methods=("POST",),
            path="/renewals",
            idempotent=False,
            deadline_ms=2000,
        ),
        Entry(name="read", owner="web", path="/read", deadline_ms=2000),
    ),
)


class FakeRuntime:
    """Admits each request to the first upstream that isn't excluded."""

    service = SERVICE

    def __init__(self, upstreams):
        self.upstreams = upstreams
        self.evidence = []
        self.leaving = []
        self.slots_in_use = 0
        self.retries = 10
        self.refusal = None
        self.admission_gate = None

    async def admit(self, entry, *, deadline, exclude):
        if self.admission_gate is not None:
            await self.admission_gate.wait()
        if self.refusal is not None:
            return Err(self.refusal)
        for upstream in self.upstreams:
            if upstream.upstream_id not in exclude:
                self.slots_in_use += 1
                return Ok(
                    Admission(
                        upstream=upstream, waited=0.0, release=self._release
                    )
                )
        return Err(Refusal(reason=Reason.NO_UPSTREAM, retry_after=2.0))

    def _release(self):
        self.slots_in_use -= 1

    def begin(self, upstream_id, entry_name):
        return upstream_id

    def finish(self, attempt, evidence):
        self.evidence.append((attempt, evidence.value))

    def allow_retry(self, entry):
        self.retries -= 1
        return self.retries >= 0

    def record_first_attempt(self, entry):
        pass

    def announce_leaving(self, upstream_id):
        self.leaving.append(upstream_id)


@attrs.define
class FakeDirectory:
    """Directory of one owned service and of services of other daemons."""

    owned_runtime: FakeRuntime
    other_owners: dict = attrs.Factory(dict)
    service_lost: bool = False

    def is_known(self, service_name):
        return self.owners(service_name) is not None

    async def fetch_if_unknown(self, service_name):
        pass

    def runtime(self, service_name):
        if self.service_lost or service_name != "billing":
            return None
        return self.owned_runtime

    def owners(self, service_name):
        if service_name == "billing" and not self.service_lost:
            return [make_instance("d1", 1)]
        return self.other_owners.get(service_name)

    def ticketed_entries(self, service_name):
        return ["charge"]


def make_instance(instance_id, port):
    return Instance(
        instance_id=instance_id,
        zone="z1",
        host="127.0.0.1",
        port=port,
        peer_port=1,
    )


class ServerHarness:
    """A server and its stand-in upstreams."""

    def __init__(self, count=2, **options):
        self.standins = [UpstreamStandIn(slots=8) for _ in range(count)]
        self.reports = []
        self.bad_inputs = []
        self.options = options

    async def start(self, nursery):
        upstreams = []
        for index, standin in enumerate(self.standins):
            await standin.start(nursery)
            upstreams.append(
                Upstream(
                    upstream_id=f"u{index}",
                    zone="z1",
                    host="127.0.0.1",
                    port=standin.port,
                    slots=8,
                )
            )
        self.runtime = FakeRuntime(upstreams)
        self.directory = FakeDirectory(self.runtime)
        self.tickets = forwarding.TicketStore("d1", 0x1234, lifetime_s=30)
        self.upstreams = forwarding.UpstreamClient(
            singleton_headers=SINGLETON_HEADERS
        )
        self.server = forwarding.ClientServer(
            self.directory,
            self.tickets,
            self.upstreams,
            on_finished=self.reports.append,
            on_bad_input=self.bad_inputs.append,
            **self.options,
        )
        await self.server.start(nursery)
        self.port = self.server.port

    def runs(self, key=None):
        return sum(
            len(one.executions) if key is None else one.count_executions(key)
            for one in self.standins
        )

    def set_faults(self, *indexes, **values):
        for index in indexes or range(len(self.standins)):
            faults = self.standins[index].faults
            self.standins[index].faults = attrs.evolve(faults, **values)

    async def call(self, method="GET", path="/read", *, headers=(), body=b""):
        """Send one request on a new connection."""
        pairs = (("Host", "billing"), ("X-Request-Key", "k"), *headers)
        result = await http.fetch(
            "127.0.0.1", self.port, method, path, headers=pairs, body=body
        )
        return result.unwrap()

    async def charge(self, ticket=None, *, key="c", headers=(), body=b"b"):
        if ticket is None:
            ticket = self.tickets.issue("billing")[0]
        pairs = (("Hawthornmast-Ticket", ticket), ("X-Request-Key", key))
        pairs = (("Host", "billing"), *pairs, *headers)
        result = await http.fetch(
            "127.0.0.1",
            self.port,
            "POST",
            "/renewals/1",
            headers=pairs,
            body=body,
        )
        return result.unwrap()

    async def send_raw(self, data, *, timeout=5.0):
        """Send raw bytes and return all data received until the end."""
        received = b""
        stream = await trio.open_tcp_stream("127.0.0.1", self.port)
        async with stream:
            with trio.fail_after(timeout):
                with contextlib.suppress(trio.BrokenResourceError):
                    await stream.send_all(data)
                with contextlib.suppress(trio.BrokenResourceError):
                    while part := await stream.receive_some(65536):
                        received += part
        return received


@contextlib.asynccontextmanager
async def run_harness(count=2, **options):
    """Run a server and check that it releases all resources at the end."""
    harness = ServerHarness(count, **options)
    async with trio.open_nursery() as nursery:
        await harness.start(nursery)
        yield harness
        with trio.fail_after(5):
            while harness.runtime.slots_in_use or harness.server.connections:
                await trio.sleep(0.01)
        assert harness.server.buffered_body_bytes == 0
        assert harness.server.response_memory.held_bytes == 0
        await harness.server.close()
        assert harness.upstreams.open_connections() == 0
        nursery.cancel_scope.cancel()


def summarize(response):
    """Return status, outcome and reason of a response."""
    return (
        response.status,
        response.header("Hawthornmast-Outcome"),
        response.header("Hawthornmast-Reason"),
    )
