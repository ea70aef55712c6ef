"""One member of the fleet."""

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
from hawthornmast.daemon.explanation import Explanation
from hawthornmast.daemon.needs import DocumentNeeds
from hawthornmast.daemon.ondemand import OnDemandDocuments
from hawthornmast.daemon.probes import LeavingProber
from hawthornmast.daemon.reports import EjectionMeter
from hawthornmast.daemon.reports import Reporter
from hawthornmast.daemon.runtime import Links
from hawthornmast.daemon.services import Services
from hawthornmast.daemon.services import SERVICES_PREFIX
from hawthornmast.daemon.services import validate_document
from hawthornmast.forwarding import ClientLimits
from hawthornmast.forwarding import ClientServer
from hawthornmast.forwarding import TicketStore
from hawthornmast.forwarding import UpstreamClient
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

TICK_S = 0.1
"""Period of health and slot division, a tenth of the detection target."""

WIDEN_S = 3.0
"""Time between two selections of more peers while a start waits."""

WIDEN_DAEMONS = 4


@contextlib.contextmanager
def _naming(key: str, port: int) -> Iterator[None]:
    """Name the setting in the error of a port that can't be opened."""
    try:
        yield
    except OSError as error:
        detail = f"{key} {port}: {error.strerror or error}"
        raise OSError(error.errno, detail) from error


class Daemon:
    """A member of the fleet, assembled from the slices.

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
        self._widen_at = trio.current_time() + WIDEN_S
        self._groups: frozenset[tuple[str, ...]] = frozenset()
        self.audit = AuditTrail(capacity=settings.limits.audit_records)
        self.metrics = Metrics()
        self._ejections = EjectionMeter(self.metrics)
        self.requests = RequestLog(capacity=settings.limits.request_records)
        self.directory = Directory(instance=self.instance)
        self.network = PeerNetwork(
            instance=self.instance,
            incarnation=self.incarnation,
            secrets=settings.peers.secrets,
        )
        self.services = Services(
            directory=self.directory,
            links=Links(
                instance=self.instance,
                post=self.network.post,
                reachable=self.network.reachable,
                audit=self.audit,
                random=self._random,
            ),
            is_reachable=self.network.reachable,
            on_forgotten=self.metrics.forget_service,
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
        self.needs = DocumentNeeds(
            instance=self.instance,
            directory=self.directory,
            store=self.store,
            is_asked_for=lambda name: name in self.documents,
        )
        self.distributor = self._make_distributor()
        self.documents = OnDemandDocuments(
            store=self.store,
            services=self.services,
            fetch=self.distributor.fetch,
            refresh=self.needs.request_refresh,
        )
        self.services.on_unknown = self.documents.prepare
        self.server = self._make_server()
        self.administration = self._make_administration()

    def _make_distributor(self) -> Distributor:
        return Distributor(
            store=self.store,
            platform=self.platform,
            post=self.network.post,
            ask=self.network.ask,
            is_needed=self.needs.is_needed,
            holders=self.needs.find_holders,
            bootstrap_keys=(
                DAEMONS_KEY,
                ZONE_DAEMONS_PREFIX + self.instance.zone,
            ),
            random_source=self._random,
        )

    def _make_server(self) -> ClientServer:
        limits = self.settings.limits
        reporter = Reporter(
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
            UpstreamClient(),
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
            on_finished=reporter.report,
            on_bad_input=reporter.count_bad_input,
        )

    def _make_administration(self) -> AdministrationServer:
        explanation = Explanation(
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
            status=explanation.describe_status,
            explain_upstream=explanation.describe_upstream,
            explain_entry=explanation.describe_entry,
            requests=self.requests,
            trail=self.audit,
            registry=self.metrics.registry,
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Open all ports once the configuration is known.

        The clients' port opens last: a daemon that might hold an older
        revision than its peers answers nobody.
        """
        self._register_messages()
        self.network.watch(self._note_peer)
        self.directory.watch(self._note_list)
        with _naming("instance.admin_port", self.administration.port):
            await self.administration.start(nursery)
        with _naming("instance.peer_port", self.instance.peer_port):
            await self.network.start(nursery)
        await self.distributor.start(nursery)
        nursery.start_soon(self._tick_forever)
        nursery.start_soon(self.confirmation.run)
        nursery.start_soon(self.prober.run)
        await self.distributor.ready()
        self._apply_daemons()
        with _naming("instance.port", self.instance.port):
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
        """Leave the fleet; cut no request in flight."""
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
        # A daemon that still waits for its configuration has no clients.
        if self._serving:
            self.server.begin_drain()
            await self.server.finish(
                self.settings.limits.drain_grace_ms / 1000
            )
        self.audit.append(Action.DRAIN, step="end")

    async def close(self) -> None:
        """Close all ports and streams; requests in flight are cut."""
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
        # A notice of a former process on the same instance is out of date.
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

    def _note_list(self, key: str) -> None:
        if is_daemons_key(key):
            self._apply_daemons()
        elif key.startswith(UPSTREAMS_PREFIX):
            self.services.refresh(key.removeprefix(UPSTREAMS_PREFIX))

    def _apply_daemons(self) -> None:
        neighbours = self.directory.neighbours()
        self.distributor.set_neighbours(
            [item.instance_id for item in neighbours],
            reader=self.directory.is_reader(),
        )
        self.services.refresh_all()
        self._connect_peers()
        # Which documents are needed depends on the own zone only.
        if self.instance.zone in self.directory.pop_changed_zones():
            self._refresh_documents()

    def _refresh_documents(self) -> None:
        """Fetch what is newly needed; drop what is needed no longer."""
        self.needs.count_again()
        self.distributor.refresh()
        self.services.forget_dropped(
            lambda key: self.store.document(key) is not None
        )

    def _connect_peers(self) -> None:
        """Dial the neighbours and the members of all own groups."""
        wanted = {item.instance_id for item in self.directory.neighbours()}
        close: set[str] = set()
        for runtime in self.services:
            close.update(runtime.group)
        listed = map(self.directory.daemon, sorted(wanted | close))
        self.network.set_neighbours(
            [item for item in listed if item], fast_detection=close
        )

    def _note_peer(self, peer_id: str, reachable: bool) -> None:
        act = Action.PEER_REACHABLE if reachable else Action.PEER_UNREACHABLE
        self.audit.append(act, peer=peer_id, step="heartbeat")
        if reachable:
            self.directory.clear_leaving(peer_id)
            if self._leaving:
                notice = messages.DaemonLeaving(incarnation=self.incarnation)
                self.network.post(peer_id, notice)

    async def _tick_forever(self) -> None:
        counted = (0, 0)
        while not self._stopped.is_set():
            for runtime in self.services:
                runtime.tick()
            self._ejections.update(self.services)
            self._connect_peers_if_changed()
            self._widen_start_up()
            if self.needs.refresh_due:
                self._refresh_documents()
            counted = self._count_peers(counted)
            await trio.sleep(TICK_S)

    def _connect_peers_if_changed(self) -> None:
        groups = frozenset(r.group for r in self.services)
        if groups != self._groups:
            self._groups = groups
            self._connect_peers()

    def _widen_start_up(self) -> None:
        """Ask other listed daemons when no neighbour answers at the start.

        The list lags, so that all neighbours by it may be gone.
        """
        now = trio.current_time()
        if self.distributor.is_ready or now < self._widen_at:
            return
        self._widen_at = now + WIDEN_S
        neighbours = self.directory.neighbours()
        others = [
            item
            for item in self.directory.daemons
            if item.instance_id != self.instance.instance_id
        ]
        more = self._random.sample(others, min(len(others), WIDEN_DAEMONS))
        wanted = {item.instance_id: item for item in (*neighbours, *more)}
        self.network.set_neighbours(wanted.values())
        self.distributor.set_neighbours(
            wanted, reader=self.directory.is_reader()
        )

    def _count_peers(self, counted: tuple[int, int]) -> tuple[int, int]:
        sent, received = self.network.count_bytes()
        self.metrics.count_peer_bytes(Direction.SENT, sent - counted[0])
        self.metrics.count_peer_bytes(
            Direction.RECEIVED, received - counted[1]
        )
        self.metrics.set_peers(len(self.network.reachable_peers()))
        return sent, received
