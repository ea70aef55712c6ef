"""Simulation of configuration distribution in a fleet, for trio's MockClock.

Links between daemons have a delay and can be cut per direction. No sockets
are used, so that a run is determined by its seed.
"""

from collections.abc import Iterable
import inspect
import json
import random
from typing import Any

import attrs
from result import Err
from result import Ok
from result import Result
import trio

from hawthornmast.audit import AuditTrail
from hawthornmast.common import Instance
from hawthornmast.common import StepError
from hawthornmast.configuration import ConfigurationStore
from hawthornmast.configuration import Distributor
from hawthornmast.configuration import MESSAGE_TYPES
from hawthornmast.configuration import PlatformClient
from hawthornmast.http import Response
from hawthornmast.membership import Directory
from hawthornmast.membership import parse_daemons
from hawthornmast.peers import MessageCodec
from standins.platform import Platform

DAEMONS_KEY = "instances/daemons"
SERVICE_PREFIX = "catalogue/services/"


def seed_scheduler(seed: int) -> None:
    """Make the task scheduling order of trio deterministic in this process.

    Trio shuffles each batch of runnable tasks, and has no public option to
    seed or disable this.
    """
    run: Any = trio._core._run
    run._ALLOW_DETERMINISTIC_SCHEDULING = True
    run._r.seed(seed)


def make_instances(count: int, zones: int) -> list[Instance]:
    """Return instances assigned to the zones round-robin."""
    return [
        Instance(
            instance_id=f"d{number}",
            zone=f"z{number % zones}",
            host="127.0.0.1",
            port=1,
            peer_port=2,
        )
        for number in range(count)
    ]


def format_daemons(instances: Iterable[Instance]) -> str:
    """Return the list of daemons as a document to publish."""
    return json.dumps([attrs.asdict(instance) for instance in instances])


def validate_document(key: str, text: str) -> Result[Any, Any]:
    """Reject documents that contain the word ``invalid``."""
    if key == DAEMONS_KEY:
        return parse_daemons(text)
    return Err("marked as invalid") if "invalid" in text else Ok(None)


class SimulatedDaemon:
    """The configuration and membership components of one daemon.

    Attributes
    ----------
    applied_revisions
        Revisions of each key, in the order in which they were applied.
    applied_at
        Time at which each key and revision was applied, that is, accepted by
        the store and put in force.
    """

    def __init__(self, fleet: "SimulatedFleet", instance_id: str) -> None:
        self.instance_id = instance_id
        self.directory = Directory(
            instance=fleet.get_or_make_instance(instance_id)
        )
        self.audit = AuditTrail(capacity=100)
        self.applied_revisions: dict[str, list[int]] = {}
        self.applied_at: dict[tuple[str, int], float] = {}
        self.keeps_all_documents = fleet.keeps_all_documents
        self.store = ConfigurationStore(
            validate=validate_document,
            on_accepted=self._apply,
            audit=self.audit,
        )
        random_source = random.Random(f"{fleet.seed}/{instance_id}")

        async def request(
            target: str, timeout: float
        ) -> Result[Response, StepError]:
            platform = fleet.platform_overrides.get(
                instance_id, fleet.platform
            )
            return await platform.request(target, timeout)

        async def ask(
            peer: str, message: Any, timeout: float
        ) -> Result[Any, StepError]:
            return await fleet.ask(instance_id, peer, message, timeout)

        self.distributor = Distributor(
            store=self.store,
            platform=PlatformClient(request, random_source=random_source),
            post=lambda peer, message: fleet.post(instance_id, peer, message),
            ask=ask,
            is_needed=self._is_needed,
            random_source=random_source,
        )

    def _is_needed(self, key: str) -> bool:
        if key == DAEMONS_KEY or self.keeps_all_documents:
            return True
        owners = self.directory.owners(key)
        return any(o.instance_id == self.instance_id for o in owners)

    def _apply(self, key: str, revision: int, text: str | None) -> None:
        self.applied_revisions.setdefault(key, []).append(revision)
        self.applied_at[key, revision] = trio.current_time()
        self.directory.apply(key, revision, text)
        if key == DAEMONS_KEY:
            self.distributor.set_neighbours(
                [d.instance_id for d in self.directory.neighbours()],
                reader=self.directory.is_reader(),
            )
            self.distributor.refresh()

    def document_text(self, key: str) -> str | None:
        """Return the document of a key in force, or None."""
        found = self.store.document(key)
        return found[1].decode() if found else None


class SimulatedFleet:
    """Daemons connected by simulated links.

    Parameters
    ----------
    nursery
        Runs the daemons and the delivery of messages.
    count, zones
        Number of daemons and of zones.
    seed
        Seed of all random choices.
    delay
        One-way delay of a message between two daemons, in seconds.
    keeps_all_documents
        Whether each daemon keeps all documents, not only those that it owns.

    Attributes
    ----------
    platform_overrides
        Platform of a daemon, where it differs from that of the fleet.
    sent_messages, sent_bytes
        Number of messages sent, and their size with 20 bytes each for the
        length and authentication code.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        *,
        count: int,
        zones: int = 3,
        seed: int = 1,
        delay: float = 0.001,
        keeps_all_documents: bool = True,
    ) -> None:
        self.nursery = nursery
        self.seed = seed
        self.delay = delay
        self.keeps_all_documents = keeps_all_documents
        self.platform = Platform()
        self.platform_overrides: dict[str, Platform] = {}
        self.daemons: dict[str, SimulatedDaemon] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.sent_messages = 0
        self.sent_bytes = 0
        self._codec = MessageCodec(*MESSAGE_TYPES)
        self.instances = make_instances(count, zones)
        self.platform.put(DAEMONS_KEY, format_daemons(self.instances))

    @property
    def instance_ids(self) -> list[str]:
        """Identifiers of all published daemons."""
        return [instance.instance_id for instance in self.instances]

    def get_or_make_instance(self, instance_id: str) -> Instance:
        """Return a published instance, or a new one with this identifier."""
        for instance in self.instances:
            if instance.instance_id == instance_id:
                return instance
        return attrs.evolve(self.instances[0], instance_id=instance_id)

    async def start(self, *instance_ids: str) -> None:
        """Start daemons, by default all, and wait until they are ready."""
        for instance_id in instance_ids or self.instance_ids:
            self.daemons[instance_id] = SimulatedDaemon(self, instance_id)
            await self.daemons[instance_id].distributor.start(self.nursery)
        for instance_id in instance_ids or self.instance_ids:
            await self.daemons[instance_id].distributor.ready()

    async def stop(self, instance_id: str) -> None:
        """Stop a daemon and discard its state."""
        await self.daemons.pop(instance_id).distributor.close()

    def cut(self, senders: Iterable[str], receivers: Iterable[str]) -> None:
        """Cut the links from senders to receivers, one way."""
        destinations = list(receivers)
        self.cuts |= {(a, b) for a in senders for b in destinations}

    def heal(self) -> None:
        """Restore all links."""
        self.cuts.clear()

    def lowest_revision(self, key: str) -> int:
        """Return the lowest revision in force among all daemons."""
        return min(d.store.revision_of(key) for d in self.daemons.values())

    def _is_connected(self, sender: str, receiver: str) -> bool:
        return receiver in self.daemons and (sender, receiver) not in self.cuts

    def _record_sent(self, message: Any) -> None:
        self.sent_messages += 1
        self.sent_bytes += len(self._codec.encode(message)) + 20

    def post(self, sender: str, receiver: str, message: Any) -> bool:
        """Send a message; return False when the link is cut."""
        if not self._is_connected(sender, receiver):
            return False
        self._record_sent(message)
        self.nursery.start_soon(self._deliver, sender, receiver, message)
        return True

    async def _deliver(self, sender: str, receiver: str, message: Any) -> None:
        await trio.sleep(self.delay)
        if self._is_connected(sender, receiver):
            self.daemons[receiver].distributor.handle(message, sender)

    async def ask(
        self, sender: str, receiver: str, message: Any, timeout: float
    ) -> Result[Any, StepError]:
        """Send a request message and wait for its response."""
        with trio.move_on_after(timeout):
            if self._is_connected(sender, receiver):
                self._record_sent(message)
                await trio.sleep(self.delay)
            if self._is_connected(sender, receiver):
                distributor = self.daemons[receiver].distributor
                response = distributor.handle(message, sender)
                if inspect.isawaitable(response):
                    response = await response
                self._record_sent(response)
                await trio.sleep(self.delay)
                if self._is_connected(receiver, sender):
                    return Ok(response)
            await trio.sleep_forever()
        detail = f"no response within {timeout} s"
        return Err(StepError(step="ask-peer", detail=detail, peer=receiver))
