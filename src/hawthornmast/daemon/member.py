"""The daemon, a member of the fleet: its components and their lifecycle."""

from collections.abc import Iterator
import contextlib
import logging
import random
import secrets
from typing import Any

import trio

from hawthornmast.administration import AdministrationServer
from hawthornmast.administration import Direction
from hawthornmast.administration import Metrics
from hawthornmast.administration import RequestLog
from hawthornmast.audit import Action
from hawthornmast.audit import AuditTrail
from hawthornmast.audit import log_event
from hawthornmast.configuration import ConfigurationStore
from hawthornmast.configuration import Distributor
from hawthornmast.configuration import PlatformClient
from hawthornmast.daemon import messages
from hawthornmast.daemon.confirmation import ViewConfirmation
from hawthornmast.daemon.explanation import StateDescriber
from hawthornmast.daemon.ondemand import OnDemandDocuments
from hawthornmast.daemon.probes import LeavingProber
from hawthornmast.daemon.reports import EjectionMetrics
from hawthornmast.daemon.reports import RequestReporter
from hawthornmast.daemon.retention import DocumentRetention
from hawthornmast.daemon.runtime import RuntimeContext
from hawthornmast.daemon.services import Services
from hawthornmast.daemon.services import SERVICES_PREFIX
from hawthornmast.daemon.services import validate_document
from hawthornmast.forwarding import ClientLimits
from hawthornmast.forwarding import ClientServer
from hawthornmast.forwarding import TicketStore
from hawthornmast.forwarding import UpstreamClient
from hawthornmast.forwarding.evidence import SINGLETON_HEADERS
from hawthornmast.health import MESSAGE_TYPES as HEALTH_MESSAGES
from hawthornmast.limits import SlotDemand
from hawthornmast.limits import SlotGrant
from hawthornmast.membership import Directory
from hawthornmast.membership.directory import DAEMONS_KEY
from hawthornmast.membership.directory import is_daemons_key
from hawthornmast.membership.directory import UPSTREAMS_PREFIX
from hawthornmast.membership.directory import ZONE_DAEMONS_PREFIX
from hawthornmast.peers import PeerNetwork
from hawthornmast.settings import Settings

_LOG = logging.getLogger("hawthornmast.daemon")

TICK_INTERVAL_S = 0.1
"""Interval of health evaluation and slot division.

It is a tenth of the 1 s within which a failing upstream must be ejected
(docs/design.md, section 1.2).
"""

BOOTSTRAP_RETRY_S = 3.0
"""Interval at which a starting daemon tries further peers."""

BOOTSTRAP_EXTRA_DAEMONS = 4


@contextlib.contextmanager
def _name_setting_on_error(key: str, port: int) -> Iterator[None]:
    """Add the setting to the error of a port that can't be opened."""
    try:
        yield
    except OSError as error:
        detail = f"{key} {port}: {error.strerror or error}"
        raise OSError(error.errno, detail) from error


class Daemon:
    """A process of the fleet, composed of the other packages.

    Parameters
    ----------
    settings
        Settings of this process.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.instance = settings.instance.to_instance()
        self.incarnation = secrets.randbits(64)
        self._random = random.Random(self.incarnation)
        self._leaving = False
        self._serving = False
        self._stopped = trio.Event()
        self._bootstrap_retry_at = trio.current_time() + BOOTSTRAP_RETRY_S
        self._connected_groups: frozenset[tuple[str, ...]] = frozenset()
        self.audit = AuditTrail(capacity=settings.limits.audit_records)
        self.metrics = Metrics()
        self._ejection_metrics = EjectionMetrics(self.metrics)
        self.requests = RequestLog(capacity=settings.limits.request_records)
        self.directory = Directory(instance=self.instance)
        self.network = PeerNetwork(
            instance=self.instance,
            incarnation=self.incarnation,
            secrets=settings.peers.secrets,
        )
        self.services = Services(
            directory=self.directory,
            context=RuntimeContext(
                instance=self.instance,
                post=self.network.post,
                reachable=self.network.reachable,
                audit=self.audit,
                random=self._random,
            ),
            is_reachable=self.network.reachable,
            on_closed=self.metrics.forget_service,
        )
        self.store = ConfigurationStore(
            validate=validate_document,
            on_accepted=self._apply_document,
            audit=self.audit,
        )
        self.platform = PlatformClient.connect(
            settings.platform.host, settings.platform.port
        )
        self.confirmation = ViewConfirmation(
            platform=self.platform,
            store=self.store,
            services=self.services,
            reachable=self.network.reachable,
        )
        self.prober = LeavingProber(
            services=self.services,
            self_id=self.instance.instance_id,
            reachable=self.network.reachable,
        )
        self.retention = DocumentRetention(
            instance=self.instance,
            directory=self.directory,
            store=self.store,
            is_recently_requested=lambda name: name in self.documents,
        )
        self.distributor = self._make_distributor()
        self.documents = OnDemandDocuments(
            store=self.store,
            services=self.services,
            fetch=self.distributor.fetch,
            request_refresh=self.retention.request_refresh,
        )
        self.services.on_unknown = self.documents.fetch_and_wait
        self.server = self._make_server()
        self.administration = self._make_administration()

    def _make_distributor(self) -> Distributor:
        return Distributor(
            store=self.store,
            platform=self.platform,
            post=self.network.post,
            ask=self.network.ask,
            is_needed=self.retention.is_needed,
            holders=self.retention.find_holders,
            bootstrap_keys=(
                DAEMONS_KEY,
                ZONE_DAEMONS_PREFIX + self.instance.zone,
            ),
            random_source=self._random,
        )

    def _make_server(self) -> ClientServer:
        limits = self.settings.limits
        reporter = RequestReporter(
            services=self.services,
            requests=self.requests,
            metrics=self.metrics,
            audit=self.audit,
        )
        return ClientServer(
            self.services,
            TicketStore(
                self.instance.instance_id,
                self.incarnation,
                lifetime_s=limits.ticket_ttl_ms / 1000,
                max_records=limits.max_tickets,
            ),
            UpstreamClient(singleton_headers=SINGLETON_HEADERS),
            host=self.instance.host,
            port=self.instance.port,
            limits=ClientLimits(
                connections=limits.max_connections,
                header_bytes=limits.max_header_bytes,
                body_bytes=limits.max_body_bytes,
                answer_buffer_bytes=limits.answer_buffer_bytes,
                idle_s=limits.idle_timeout_ms / 1000,
                header_s=limits.header_timeout_ms / 1000,
                body_s=limits.body_timeout_ms / 1000,
            ),
            peer_secrets=[
                secret.encode() for secret in self.settings.peers.secrets
            ],
            on_finished=reporter.record_request,
            on_bad_input=reporter.count_bad_input,
        )

    def _make_administration(self) -> AdministrationServer:
        describer = StateDescriber(
            instance=self.instance,
            incarnation=self.incarnation,
            services=self.services,
            directory=self.directory,
            network=self.network,
            store=self.store,
            is_ready=lambda: self.distributor.is_ready,
            is_leaving=lambda: self._leaving,
        )
        return AdministrationServer(
            self.settings.instance.admin_host,
            self.settings.instance.admin_port,
            status=describer.describe_status,
            explain_upstream=describer.describe_upstream,
            explain_entry=describer.describe_entry,
            requests=self.requests,
            audit=self.audit,
            registry=self.metrics.registry,
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all servers; the client port opens last, once it is ready.

        A daemon that might hold an older revision than its peers must not
        serve clients.
        """
        self._register_messages()
        self.network.watch(self._handle_peer_change)
        self.directory.watch(self._handle_list_change)
        with _name_setting_on_error(
            "instance.admin_port", self.administration.port
        ):
            await self.administration.start(nursery)
        with _name_setting_on_error(
            "instance.peer_port", self.instance.peer_port
        ):
            await self.network.start(nursery)
        await self.distributor.start(nursery)
        nursery.start_soon(self._run_periodic_tasks)
        nursery.start_soon(self.confirmation.run)
        nursery.start_soon(self.prober.run)
        await self.distributor.ready()
        self._apply_daemons()
        with _name_setting_on_error("instance.port", self.instance.port):
            await self.server.start(nursery)
        self._serving = True
        log_event(
            _LOG,
            "daemon-started",
            instance=self.instance.instance_id,
            zone=self.instance.zone,
            port=self.server.port,
            services=len(self.services.known),
        )

    async def drain(self) -> None:
        """Leave the fleet without aborting requests in flight."""
        if self._leaving:
            return
        self._leaving = True
        self.audit.append(
            Action.DRAIN,
            evidence=f"connections={self.server.connections}",
            limit=f"drain_grace_ms={self.settings.limits.drain_grace_ms}",
            step="begin",
        )
        notice = messages.DaemonLeaving(incarnation=self.incarnation)
        for peer_id in self.network.reachable_peers():
            self.network.post(peer_id, notice)
        self.directory.mark_leaving(self.instance.instance_id)
        # A daemon that is still waiting for its configuration has no clients.
        if self._serving:
            self.server.begin_drain()
            await self.server.finish(
                self.settings.limits.drain_grace_ms / 1000
            )
        self.audit.append(Action.DRAIN, step="end")

    async def close(self) -> None:
        """Close all ports and connections, aborting requests in flight."""
        self._stopped.set()
        self.confirmation.close()
        self.prober.close()
        if self._serving:
            await self.server.close()
        await self.distributor.close()
        await self.network.close()
        await self.administration.close()

    def _register_messages(self) -> None:
        register = self.network.register
        register(SlotDemand, self._handle_for_allocator)
        register(SlotGrant, self._handle_for_allocator)
        for message_type in HEALTH_MESSAGES:
            register(message_type, self._handle_for_monitor)
        register(messages.DaemonLeaving, self._handle_daemon_leaving)
        register(messages.UpstreamLeaving, self._handle_upstream_leaving)
        self.distributor.register(register)

    def _handle_for_allocator(self, message: Any, sender: str) -> None:
        runtime = self.services.runtime(message.service)
        if runtime is not None:
            runtime.allocator.handle(message, sender)

    def _handle_for_monitor(self, message: Any, sender: str) -> None:
        runtime = self.services.runtime(message.service)
        if runtime is not None:
            runtime.monitor.handle(message, sender)

    def _handle_daemon_leaving(
        self, message: messages.DaemonLeaving, sender: str
    ) -> None:
        # A notice by a previous process of the same instance is outdated.
        if self.network.incarnation_of(sender) == message.incarnation:
            self.directory.mark_leaving(sender)

    def _handle_upstream_leaving(
        self, message: messages.UpstreamLeaving, sender: str
    ) -> None:
        runtime = self.services.runtime(message.service)
        if runtime is not None and sender in runtime.group:
            runtime.mark_leaving(
                message.upstream_id, peer=sender, step="peer-notice"
            )

    def _apply_document(
        self, key: str, revision: int, text: str | None
    ) -> None:
        if not key.startswith(SERVICES_PREFIX):
            self.directory.apply(key, revision, text)
        elif text is None:
            self.services.remove_document(key)
        else:
            self.services.apply_document(key, revision, text)
        self.metrics.set_revision(self.store.highest_revision)

    def _handle_list_change(self, key: str) -> None:
        if is_daemons_key(key):
            self._apply_daemons()
        elif key.startswith(UPSTREAMS_PREFIX):
            self.services.update_runtime(key.removeprefix(UPSTREAMS_PREFIX))

    def _apply_daemons(self) -> None:
        neighbours = self.directory.neighbours()
        # A reader watches the platform; other daemons get documents from it.
        self.distributor.set_neighbours(
            [item.instance_id for item in neighbours],
            reader=self.directory.is_reader(),
        )
        self.services.update_runtimes()
        self._connect_peers()
        # The needed documents depend only on the daemons of this zone.
        if self.instance.zone in self.directory.pop_changed_zones():
            self._refresh_documents()

    def _refresh_documents(self) -> None:
        """Fetch newly needed documents and drop those no longer needed."""
        self.retention.update_service_count()
        self.distributor.refresh()
        self.services.remove_dropped(
            lambda key: self.store.document(key) is not None
        )

    def _connect_peers(self) -> None:
        """Connect to the neighbours and to the members of the owner groups.

        The network dials both, so that its set of neighbours also contains
        the owners, while the directory's contains only the daemons that this
        one exchanges configuration with.
        """
        neighbours = {item.instance_id for item in self.directory.neighbours()}
        owners: set[str] = set()
        for runtime in self.services:
            owners.update(runtime.group)
        listed = map(self.directory.daemon, sorted(neighbours | owners))
        self.network.set_neighbours(
            [item for item in listed if item], fast_detection=owners
        )

    def _handle_peer_change(self, peer_id: str, reachable: bool) -> None:
        act = Action.PEER_REACHABLE if reachable else Action.PEER_UNREACHABLE
        self.audit.append(act, peer=peer_id, step="heartbeat")
        if reachable:
            self.directory.clear_leaving(peer_id)
            if self._leaving:
                notice = messages.DaemonLeaving(incarnation=self.incarnation)
                self.network.post(peer_id, notice)

    async def _run_periodic_tasks(self) -> None:
        previous_bytes = (0, 0)
        while not self._stopped.is_set():
            for runtime in self.services:
                runtime.tick()
            self._ejection_metrics.update(self.services)
            self._connect_peers_if_changed()
            self._add_bootstrap_peers()
            if self.retention.refresh_due:
                self._refresh_documents()
            previous_bytes = self._update_peer_metrics(previous_bytes)
            await trio.sleep(TICK_INTERVAL_S)

    def _connect_peers_if_changed(self) -> None:
        groups = frozenset(r.group for r in self.services)
        if groups != self._connected_groups:
            self._connected_groups = groups
            self._connect_peers()

    def _add_bootstrap_peers(self) -> None:
        """Connect to random daemons while the start waits for neighbours.

        The list of daemons may be outdated, so that all neighbours that are
        computed from it may be down.
        """
        now = trio.current_time()
        if self.distributor.is_ready or now < self._bootstrap_retry_at:
            return
        self._bootstrap_retry_at = now + BOOTSTRAP_RETRY_S
        neighbours = self.directory.neighbours()
        others = [
            item
            for item in self.directory.daemons
            if item.instance_id != self.instance.instance_id
        ]
        extra = self._random.sample(
            others, min(len(others), BOOTSTRAP_EXTRA_DAEMONS)
        )
        peers = {item.instance_id: item for item in (*neighbours, *extra)}
        self.network.set_neighbours(peers.values())
        self.distributor.set_neighbours(
            peers, reader=self.directory.is_reader()
        )

    def _update_peer_metrics(
        self, previous_bytes: tuple[int, int]
    ) -> tuple[int, int]:
        sent, received = self.network.count_bytes()
        self.metrics.count_peer_bytes(Direction.SENT, sent - previous_bytes[0])
        self.metrics.count_peer_bytes(
            Direction.RECEIVED, received - previous_bytes[1]
        )
        self.metrics.set_peers(len(self.network.reachable_peers()))
        return sent, received
