"""A simulated fleet of configuration slices for trio's MockClock.

Links between daemons have a delay and can be cut per direction. No sockets
are used, so that a run depends only on its seed.
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
    """Make trio's order of tasks repeatable in this process.

    Trio shuffles each batch of runnable tasks and has no public switch.
    """
    run: Any = trio._core._run
    run._ALLOW_DETERMINISTIC_SCHEDULING = True
    run._r.seed(seed)


def make_instances(count: int, zones: int) -> list[Instance]:
    """Return instances that are spread over zones in turn."""
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
    """Return the published list of daemons."""
    return json.dumps([attrs.asdict(instance) for instance in instances])


def validate(key: str, text: str) -> Result[Any, Any]:
    """Refuse documents that hold the word ``invalid``."""
    if key == DAEMONS_KEY:
        return parse_daemons(text)
    return Err("marked as invalid") if "invalid" in text else Ok(None)


class SimulatedDaemon:
    """The configuration and membership slices of one daemon.

    Attributes
    ----------
    history
        Revisions of each key in the order in which they came in force.
    """

    def __init__(self, fleet: "SimulatedFleet", instance_id: str) -> None:
        self.instance_id = instance_id
        self.directory = Directory(instance=fleet.find_instance(instance_id))
        self.audit = AuditTrail(capacity=100)
        self.history: dict[str, list[int]] = {}
        self.accepted_at: dict[tuple[str, int], float] = {}
        self.needs_all = fleet.needs_all
        self.store = ConfigurationStore(
            validate=validate, on_accepted=self._apply, audit=self.audit
        )
        seeded = random.Random(f"{fleet.seed}/{instance_id}")

        async def request(
            target: str, timeout: float
        ) -> Result[Response, StepError]:
            platform = fleet.platform_of.get(instance_id, fleet.platform)
            return await platform.request(target, timeout)

        async def ask(
            peer: str, message: Any, timeout: float
        ) -> Result[Any, StepError]:
            return await fleet.ask(instance_id, peer, message, timeout)

        self.distributor = Distributor(
            store=self.store,
            platform=PlatformClient(request, random_source=seeded),
            post=lambda peer, message: fleet.post(instance_id, peer, message),
            ask=ask,
            is_needed=self._is_needed,
            random_source=seeded,
        )

    def _is_needed(self, key: str) -> bool:
        if key == DAEMONS_KEY or self.needs_all:
            return True
        owners = self.directory.owners(key)
        return any(o.instance_id == self.instance_id for o in owners)

    def _apply(self, key: str, revision: int, text: str | None) -> None:
        self.history.setdefault(key, []).append(revision)
        self.accepted_at[key, revision] = trio.current_time()
        self.directory.apply(key, revision, text)
        if key == DAEMONS_KEY:
            self.distributor.set_neighbours(
                [d.instance_id for d in self.directory.neighbours()],
                reader=self.directory.is_reader(),
            )
            self.distributor.refresh()

    def text(self, key: str) -> str | None:
        """Return the document in force."""
        found = self.store.document(key)
        return found[1].decode() if found else None


class SimulatedFleet:
    """Daemons on simulated links.

    Parameters
    ----------
    nursery
        Runs the daemons and the messages under way.
    count, zones
        Daemons and zones.
    seed
        Seed of all random choices.
    delay
        Seconds from one daemon to another.
    needs_all
        Whether each daemon keeps all documents, not only those it owns.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        *,
        count: int,
        zones: int = 3,
        seed: int = 1,
        delay: float = 0.001,
        needs_all: bool = True,
    ) -> None:
        self.nursery = nursery
        self.seed = seed
        self.delay = delay
        self.needs_all = needs_all
        self.platform = Platform()
        self.platform_of: dict[str, Platform] = {}
        self.daemons: dict[str, SimulatedDaemon] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.messages = 0
        self.bytes = 0
        self._codec = MessageCodec(*MESSAGE_TYPES)
        self.instances = make_instances(count, zones)
        self.platform.put(DAEMONS_KEY, format_daemons(self.instances))

    @property
    def names(self) -> list[str]:
        """Identifiers of all listed daemons."""
        return [instance.instance_id for instance in self.instances]

    def find_instance(self, name: str) -> Instance:
        """Return a listed daemon, or one that isn't listed yet."""
        for instance in self.instances:
            if instance.instance_id == name:
                return instance
        return attrs.evolve(self.instances[0], instance_id=name)

    async def start(self, *names: str) -> None:
        """Start daemons, all by default, and wait until they are ready."""
        for name in names or self.names:
            self.daemons[name] = SimulatedDaemon(self, name)
            await self.daemons[name].distributor.start(self.nursery)
        for name in names or self.names:
            await self.daemons[name].distributor.ready()

    async def stop(self, name: str) -> None:
        """End a daemon, which loses all that it holds."""
        await self.daemons.pop(name).distributor.close()

    def cut(self, senders: Iterable[str], receivers: Iterable[str]) -> None:
        """Cut the links from senders to receivers, one way."""
        targets = list(receivers)
        self.cuts |= {(a, b) for a in senders for b in targets}

    def heal(self) -> None:
        """Restore all links."""
        self.cuts.clear()

    def lowest_revision(self, key: str) -> int:
        """Return the lowest revision in force of all daemons."""
        return min(d.store.revision_of(key) for d in self.daemons.values())

    def _passes(self, sender: str, receiver: str) -> bool:
        return receiver in self.daemons and (sender, receiver) not in self.cuts

    def _count(self, message: Any) -> None:
        self.messages += 1
        self.bytes += len(self._codec.encode(message)) + 20

    def post(self, sender: str, receiver: str, message: Any) -> bool:
        """Send a message; False when the link is cut."""
        if not self._passes(sender, receiver):
            return False
        self._count(message)
        self.nursery.start_soon(self._deliver, sender, receiver, message)
        return True

    async def _deliver(self, sender: str, receiver: str, message: Any) -> None:
        await trio.sleep(self.delay)
        if self._passes(sender, receiver):
            self.daemons[receiver].distributor.handle(message, sender)

    async def ask(
        self, sender: str, receiver: str, message: Any, timeout: float
    ) -> Result[Any, StepError]:
        """Send a question and wait for its answer."""
        with trio.move_on_after(timeout):
            if self._passes(sender, receiver):
                self._count(message)
                await trio.sleep(self.delay)
            if self._passes(sender, receiver):
                distributor = self.daemons[receiver].distributor
                answer = distributor.handle(message, sender)
                if inspect.isawaitable(answer):
                    answer = await answer
                self._count(answer)
                await trio.sleep(self.delay)
                if self._passes(receiver, sender):
                    return Ok(answer)
            await trio.sleep_forever()
        detail = f"no answer in {timeout} s"
        return Err(StepError(step="ask-peer", detail=detail, peer=receiver))
