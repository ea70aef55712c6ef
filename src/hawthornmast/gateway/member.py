"""Assembly of one member of the fleet."""

import itertools
import logging
import math
import random
import socket
import time
from typing import Any
from typing import TYPE_CHECKING

import attrs
import trio

from hawthornmast import http
from hawthornmast.audit import log_event
from hawthornmast.audit import log_failures
from hawthornmast.common import Instance
from hawthornmast.common import State
from hawthornmast.common.ticks import sleep_until_tick
from hawthornmast.forwarding import ClientLimits
from hawthornmast.forwarding import Dialect
from hawthornmast.forwarding import UpstreamClient
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.forwarding.messages import Trace
from hawthornmast.gateway.allowances import ALLOWANCE_KINDS
from hawthornmast.gateway.allowances import AllowanceExchange
from hawthornmast.gateway.allowances import read_boot_time
from hawthornmast.gateway.calls import PlatformSource
from hawthornmast.gateway.credit import TeamCredit
from hawthornmast.gateway.datagrams import DatagramTransport
from hawthornmast.gateway.datagrams import MessageKind
from hawthornmast.gateway.evidence import EvidenceExchange
from hawthornmast.gateway.forwarder import RouteForwarder
from hawthornmast.gateway.gauges import register_gauges
from hawthornmast.gateway.metrics import GatewayMetrics
from hawthornmast.gateway.options import GatewayOptions
from hawthornmast.gateway.server import GatewayServer
from hawthornmast.gateway.services import ServiceRegistry
from hawthornmast.gateway.services import ServiceState
from hawthornmast.gateway.shares import compute_rate_share
from hawthornmast.gateway.shares import compute_retry_slack
from hawthornmast.gateway.shares import FleetPosition
from hawthornmast.gateway.snapshots import decode_summary
from hawthornmast.gateway.snapshots import encode_summary
from hawthornmast.gateway.snapshots import SNAPSHOT_PATH
from hawthornmast.gateway.sources import StateSynchronizer
from hawthornmast.gateway.statements import encode_statements
from hawthornmast.gateway.statements import StatementExchange
from hawthornmast.gateway.statements import STATEMENTS_PATH
from hawthornmast.gateway.stopping import StopSchedule
from hawthornmast.gateway.upstreams import UpstreamDialect
from hawthornmast.limits import StatementRegistry
from hawthornmast.membership.gossip import Gossip
from hawthornmast.membership.heartbeats import HeartbeatDatagram
from hawthornmast.membership.listing import UpstreamListing
from hawthornmast.membership.placement import group_by_zone
from hawthornmast.membership.placement import zone_rank_key
from hawthornmast.routing import Configuration
from hawthornmast.routing import Team

if TYPE_CHECKING:
    from hawthornmast.gateway.team_metrics import TeamCollector

_LOG = logging.getLogger("hawthornmast.gateway")

BUSY_TICK_INTERVAL_S = 0.05
"""Interval of the periodic tasks (heartbeats, reports and queues) while
requests are running; ``IDLE_TICK_INTERVAL_S`` otherwise."""

IDLE_TICK_INTERVAL_S = 0.1

IDLE_AFTER_S = 1.0
"""Time after its last request from which a member counts as idle."""

CONNECT_TIMEOUT_S = 0.3
"""Timeout for connecting to an upstream. The kernel retransmits a lost SYN
only after 1 s, whereas a new attempt sends one immediately."""

MAX_BODY_BYTES = 16_777_216
"""Maximum size of a request body, even if the configuration allows more. A
member must be able to hold several in memory."""

ADVERTISED_PER_ZONE = 1
"""Number of members in each zone whose addresses clients are given. With fewer
members, each observes more requests to an upstream and ranks more of them."""


class GatewayMember:
    """A member of the fleet on a read-only platform.

    Parameters
    ----------
    options
        Addresses and limits of this member.
    source
        Read access to the platform.
    client_dialect, upstream_dialect
        Headers exchanged with clients and with upstreams.
    """

    def __init__(
        self,
        options: GatewayOptions,
        source: PlatformSource,
        *,
        client_dialect: Dialect,
        upstream_dialect: UpstreamDialect,
    ) -> None:
        self.options = options
        self.closing = False
        self.incarnation = time.time_ns()
        self._random = random.Random(self.incarnation)
        self.metrics = GatewayMetrics()
        instance = options.instance
        self.listing = UpstreamListing(clock=trio.current_time)
        self.gossip = Gossip(
            instance=instance,
            incarnation=self.incarnation,
            seeds=options.seeds,
            clock=trio.current_time,
            random_source=self._random,
        )
        self.synchronizer = StateSynchronizer(
            source,
            gossip=self.gossip,
            listing=self.listing,
            on_configuration=self._apply_configuration,
            on_listing=self._apply_listing,
            announce=self._announce,
            relay=self._relay,
            random_source=self._random,
        )
        self.services = ServiceRegistry(self._make_service)
        self.datagrams = DatagramTransport(
            instance.host,
            instance.peer_port,
            handle=self._handle_datagram,
            is_idle=lambda: self.idle,
        )
        self.evidence = EvidenceExchange(
            self.services, send=self._send_evidence
        )
        self.statements = StatementExchange(
            self.services, gossip=self.gossip, send=self._send_leaving_notice
        )
        self.allowances = AllowanceExchange(
            self.gossip,
            zones=options.zones,
            send=self.datagrams.send,
            clock=read_boot_time,
        )
        self.credit = TeamCredit(self.allowances, random_source=self._random)
        upstream_client = UpstreamClient(
            connect_s=CONNECT_TIMEOUT_S,
            allow_close_delimited=True,
            singleton_headers=upstream_dialect.singleton_headers,
        )
        self.forwarder = RouteForwarder(
            self,
            self.services,
            upstream_client,
            dialect=upstream_dialect,
            evidence=self.evidence,
            credit=self.credit,
        )
        self.server = GatewayServer(
            self.forwarder,
            client_dialect,
            upstream_client,
            host=instance.host,
            port=instance.port,
            limits=ClientLimits(connections=options.connections),
            on_finished=self._record_request,
            on_bad_input=self._record_bad_input,
        )
        register_gauges(
            self.metrics,
            synchronizer=self.synchronizer,
            datagrams=self.datagrams,
            gossip=self.gossip,
            services=self.services,
            response_memory=upstream_client.memory,
        )
        self.metrics.make_collectors.append(self._make_team_collector)
        self._nursery: trio.Nursery | None = None
        # Live and advertised members, updated when the membership changes.
        # They are those of this state: the number of changes so far and
        # whether this member is ready. Initially, it differs from any state.
        self._membership_state = (-1, False)
        self._live_ids: set[str] = set()
        self._advertised: list[Instance] = []
        self._live_upstreams: set[str] = set()
        self._started_at = trio.current_time()
        # Time at which a request last ended.
        self._last_request_at = -math.inf

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force."""
        return self.synchronizer.configuration

    @property
    def ready(self) -> bool:
        """Whether clients should connect to this member.

        It is ready from its initialization, when it knows the configuration
        and the list of upstreams, until it drains.
        """
        return (
            not self.closing
            and self.synchronizer.configuration is not None
            and self.listing.is_loaded
        )

    @property
    def idle(self) -> bool:
        """Whether messages of other members may wait for a moment.

        This is so if no client has sent a request for some time.
        """
        return (
            self.server.initialized.is_set()
            and not self.server.busy
            and trio.current_time() - self._last_request_at >= IDLE_AFTER_S
        )

    def advertised_members(self, zone: str) -> list[Instance]:
        """Return the members whose addresses are given to clients of a zone.

        Parameters
        ----------
        zone
            The clients' zone. Its members come first, the others follow by
            identifier.
        """
        selected: list[Instance] = []
        for items in group_by_zone(self.gossip.live()).values():
            selected += sorted(items, key=zone_rank_key)[:ADVERTISED_PER_ZONE]
        selected.sort(key=lambda item: (item.zone != zone, item.instance_id))
        return selected

    async def start(
        self,
        nursery: trio.Nursery,
        *,
        listener: socket.socket | None = None,
    ) -> None:
        """Open all ports and serve in the nursery.

        Parameters
        ----------
        listener
            Listening socket for clients, opened by the caller. By default a
            new one is opened.
        """
        self._nursery = nursery
        instance = self.options.instance
        await self.datagrams.start(nursery)
        await http.open_server(
            nursery,
            self._answer_peer,
            host=instance.host,
            port=instance.peer_port,
        )
        self.forwarder.hedges.start(nursery)
        await self.server.start(nursery, listener=listener)
        nursery.start_soon(self.synchronizer.run)
        nursery.start_soon(self._run_periodic_tasks)
        nursery.start_soon(self._learn_statements)
        log_event(
            _LOG,
            "started",
            instance=instance.instance_id,
            zone=instance.zone,
            incarnation=self.incarnation,
            seeds=len(self.options.seeds),
        )

    async def drain(self) -> None:
        """Leave the fleet and finish running requests in the grace period.

        What doesn't end before it is rejected or answered with a timeout.
        """
        bounds = self.options.bounds
        log_event(_LOG, "draining", grace_s=bounds.grace_s)
        stop = StopSchedule(
            started_at=trio.current_time(),
            grace_s=bounds.grace_s,
            address_ttl_s=bounds.address_ttl_s,
        )
        self.closing = True
        self.forwarder.stop = stop
        self.gossip.ready = False
        self._send_heartbeats(self.gossip.leave())
        with trio.move_on_at(stop.exit_at) as scope:
            await self.server.finish(stop.accept_s, end_at=stop.end_at)
        log_event(_LOG, "stopped", in_time=not scope.cancelled_caught)

    def reload(self, options: GatewayOptions) -> None:
        """Apply the seeds of new options; other changes need a restart."""
        self.gossip.seeds = options.seeds
        log_event(_LOG, "reloaded", seeds=len(options.seeds))

    async def _answer_peer(self, request: http.Request) -> http.Response:
        if request.path == STATEMENTS_PATH:
            return http.Response(
                status=200,
                headers=(("Content-Type", "application/msgpack"),),
                body=encode_statements(self.services),
            )
        if request.path != SNAPSHOT_PATH:
            return http.json_response({"error": "not found"}, status=404)
        version = request.query.get("version", "0")
        if not version.isdigit():
            return http.json_response(
                {"error": f"version is {version!r}, allowed: digits"},
                status=400,
            )
        return http.Response(
            status=200,
            headers=(("Content-Type", "application/msgpack"),),
            body=self.synchronizer.encode_state_snapshot(
                int(version), with_reads="reads" in request.query
            ),
        )

    async def _run_periodic_tasks(self) -> None:
        while True:
            await sleep_until_tick(
                BUSY_TICK_INTERVAL_S
                if self.server.busy
                else IDLE_TICK_INTERVAL_S
            )
            with log_failures("periodic"):
                self._run_periodic_step()

    def _run_periodic_step(self) -> None:
        self.gossip.ready = self.ready
        self._update_members()
        self._send_heartbeats(self.gossip.due_heartbeats())
        self.evidence.tick()
        self.forwarder.hedges.monitor.tick()
        self.allowances.tick()
        position = self._find_position()
        slack = compute_retry_slack(
            self.options.bounds,
            position,
            uptime_s=trio.current_time() - self._started_at,
        )
        rate_share = compute_rate_share(position)
        for state in self.services:
            state.tick(
                slack=slack,
                rate_share=rate_share,
                is_advertised=position.is_advertised,
            )

    def _find_position(self) -> FleetPosition:
        own_id = self.options.instance.instance_id
        return FleetPosition(
            advertised_count=len(self._advertised),
            is_advertised=any(
                item.instance_id == own_id for item in self._advertised
            ),
            zones=len({item.zone for item in self._advertised}),
            live_in_zone=len(self.gossip.zone_peers()) + 1,
        )

    def _update_members(self) -> None:
        membership_state = self.gossip.count_changes(), self.gossip.ready
        if membership_state == self._membership_state:
            return
        self._membership_state = membership_state
        self._advertised = self.advertised_members(self.options.instance.zone)
        live_ids = {item.instance_id for item in self.gossip.live()}
        if live_ids == self._live_ids:
            return
        log_event(
            _LOG,
            "members-changed",
            live=len(live_ids),
            found=",".join(sorted(live_ids - self._live_ids)) or "-",
            lost=",".join(sorted(self._live_ids - live_ids)) or "-",
            told=",".join(item.instance_id for item in self._advertised)
            or "-",
        )
        self._live_ids = live_ids

    def _send_heartbeats(self, beats: list[HeartbeatDatagram]) -> None:
        if not beats:
            return
        summary = self._encode_summary()
        # A heartbeat consists of rows, each with the state of one member.
        # Gossip puts the same list object into consecutive heartbeats. These
        # are encoded once, and each recipient is sent the same datagram.
        for _, group in itertools.groupby(beats, lambda beat: id(beat.rows)):
            same_rows = list(group)
            self.datagrams.send(
                [beat.host for beat in same_rows],
                MessageKind.HEARTBEAT,
                [same_rows[0].rows, summary],
            )

    def _announce(self) -> None:
        """Send the state summary to the zone and to other representatives."""
        self._send_summary(
            self.gossip.zone_peers() + self.gossip.representatives()
        )

    def _relay(self) -> None:
        """Send the state summary to the zone if this is its representative."""
        if self.gossip.is_representative():
            self._send_summary(self.gossip.zone_peers())

    def _send_summary(self, recipients: list[Instance]) -> None:
        self.datagrams.send(
            [item.host for item in recipients],
            MessageKind.HEARTBEAT,
            [[], self._encode_summary()],
        )

    def _encode_summary(self) -> list[Any]:
        return encode_summary(self.synchronizer.summarize())

    def _handle_datagram(
        self,
        kind: MessageKind,
        payload: Any,
        sender: str,
        waited_s: float = 0.0,
    ) -> None:
        assert self._nursery is not None
        if kind is MessageKind.EVIDENCE:
            self.evidence.receive(payload, sender)
            return
        if kind in ALLOWANCE_KINDS:
            self.allowances.receive(kind, payload, sender)
            return
        if kind is MessageKind.LEAVING_UPSTREAM:
            self.statements.receive(payload, sender)
            return
        rows, summary = payload
        if rows:
            self._send_heartbeats(self.gossip.receive(rows, sender, waited_s))
        peer = self.gossip.find(sender)
        if peer is not None and not self.synchronizer.is_known(summary):
            self.synchronizer.receive(
                decode_summary(summary), peer, self._nursery
            )

    async def _learn_statements(self) -> None:
        await self.server.initialized.wait()
        with log_failures("learn-statements"):
            await self.statements.learn()

    def _send_leaving_notice(
        self, hosts: list[str], notice: list[Any]
    ) -> None:
        self.datagrams.send(hosts, MessageKind.LEAVING_UPSTREAM, notice)

    def _send_evidence(self, report: list[Any]) -> None:
        own_id = self.options.instance.instance_id
        hosts = [i.host for i in self._advertised if i.instance_id != own_id]
        self.datagrams.send(hosts, MessageKind.EVIDENCE, report)

    def _make_service(
        self, name: str, statements: StatementRegistry
    ) -> ServiceState:
        return ServiceState(
            name,
            bounds=self.options.bounds,
            zone=self.options.instance.zone,
            random_source=self._random,
            statements=statements,
            on_leaving=self.statements.announce,
        )

    def _apply_configuration(
        self, configuration: Configuration, origin: str
    ) -> None:
        log_event(
            _LOG,
            "configuration-in-force",
            version=configuration.version,
            routes=len(configuration.routes),
            origin=origin,
            gap_ms=round(self.synchronizer.configuration_gap_s * 1000),
        )
        self.services.apply_configuration(configuration)
        self.allowances.configure(configuration.teams)
        self._check_initialized()
        self.forwarder.reset_traffic_splits()
        limits = configuration.limits
        self.server.limits = attrs.evolve(
            self.server.limits,
            header_bytes=limits.header_bytes,
            body_bytes=min(limits.body_bytes, MAX_BODY_BYTES),
            header_s=limits.header_s,
            idle_s=limits.idle_s,
        )

    def _make_team_collector(self) -> "TeamCollector":
        from hawthornmast.gateway.team_metrics import TeamCollector

        return TeamCollector(
            self.allowances.ledger, self.credit, self._list_teams
        )

    def _list_teams(self) -> tuple[Team, ...]:
        configuration = self.configuration
        return (configuration.teams or ()) if configuration else ()

    def _apply_listing(self, origin: str) -> None:
        listed = self.listing.entries
        live_upstreams = {
            key
            for key, item in listed.items()
            if item.upstream.state is State.LIVE
        }
        log_event(
            _LOG,
            "upstreams-in-force",
            revision=self.listing.revision,
            listed=len(listed),
            came=",".join(sorted(live_upstreams - self._live_upstreams))
            or "-",
            left=",".join(sorted(self._live_upstreams - live_upstreams))
            or "-",
            origin=origin,
            gap_ms=round(self.listing.gap_s * 1000),
        )
        self._live_upstreams = live_upstreams
        self.services.apply_listing(listed)
        self._check_initialized()

    def _check_initialized(self) -> None:
        """Let requests proceed once configuration and list are known."""
        if (
            self.listing.is_loaded
            and self.synchronizer.configuration is not None
        ):
            self.server.initialized.set()
            self.gossip.ready = self.ready

    def _record_request(
        self, request: ClientRequest, trace: Trace, answer: ClientResponse
    ) -> None:
        self._last_request_at = trio.current_time()
        total_s = trio.current_time() - request.received_at
        self.metrics.count_request(
            trace.entry, answer.outcome, answer.status, total_s
        )
        if request.team is not None:
            self.metrics.count_team_request(request.team, answer.status)
        # Without teams in the configuration, the line has no such field.
        team: dict[str, Any] = (
            {} if request.team is None else {"team": request.team or "-"}
        )
        log_event(
            _LOG,
            "request",
            id=request.request_id,
            route=trace.entry or "-",
            service=trace.owner or "-",
            rank=trace.rank or "-",
            version=trace.revision,
            status=answer.status,
            outcome=answer.outcome.value,
            reason=answer.reason or "-",
            steps=",".join(trace.steps) or "-",
            queue_ms=round(trace.queue_s * 1000),
            total_ms=round(total_s * 1000),
            listing=self.listing.revision,
            listing_age_ms=round(
                (trio.current_time() - self.listing.confirmed_at) * 1000
            ),
            left=trace.client_disconnected,
            **team,
        )

    def _record_bad_input(self, kind: str) -> None:
        self.metrics.count_bad_input(kind)
        log_event(_LOG, "bad-input", kind=kind)
