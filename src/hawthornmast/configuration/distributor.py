"""Distribution of the configuration between daemons."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import functools
import logging
import random
from typing import Any

from result import Ok
from result import Result
import trio

from hawthornmast.audit import log_event
from hawthornmast.common import StepError
from hawthornmast.configuration import messages
from hawthornmast.configuration.fetcher import Fetcher
from hawthornmast.configuration.messages import IndexEntry
from hawthornmast.configuration.platform import PlatformClient
from hawthornmast.configuration.store import ConfigurationStore

_LOG = logging.getLogger("hawthornmast.configuration")

REPAIR_S = 2.0
ASK_S = 1.0
STARTUP_PEERS = 3
STARTUP_S = 5.0
"""Time after which a new daemon serves with the answer of one peer."""

PAGE_BYTES = 262_144
"""Small pages keep heartbeats between them within the silence limit."""

ANNOUNCE_ENTRIES = 1000

Post = Callable[[str, Any], bool]
Ask = Callable[[str, Any, float], Awaitable[Result[Any, StepError]]]


class Distributor:
    """Keeps the store of one daemon up to date.

    Parameters
    ----------
    store
        Index and documents of this daemon.
    platform
        Client of the platform.
    post, ask
        As those of ``PeerNetwork``.
    is_needed
        Whether this daemon keeps the document of a key; call ``refresh``
        after its answers change.
    holders
        Identifiers of daemons that probably keep a document, such as the
        owners of its service.
    bootstrap_keys
        Keys without which the neighbours aren't known; they are put in
        force before the peers are asked at start-up.
    random_source
        Source of jitter and of the choice of neighbours.
    """

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        platform: PlatformClient,
        post: Post,
        ask: Ask,
        is_needed: Callable[[str], bool],
        holders: Callable[[str], Iterable[str]] = lambda key: (),
        bootstrap_keys: tuple[str, ...] = ("instances/daemons",),
        random_source: random.Random | None = None,
    ) -> None:
        self._store = store
        self._platform = platform
        self._post = post
        self._ask = ask
        self._is_needed = is_needed
        self._bootstrap_keys = bootstrap_keys
        self._random = random_source or random.Random()
        self._neighbours: tuple[str, ...] = ()
        self._reader = False
        self._role_changed = trio.Event()
        self._ready = trio.Event()
        self._answered: dict[str, bool] = {}
        self._suspects: dict[str, None] = {}
        self._scope = trio.CancelScope()
        self._fetcher = Fetcher(
            store=store,
            platform=platform,
            ask=ask,
            is_needed=is_needed,
            holders=holders,
            neighbours=lambda: self._neighbours,
            on_new=self._announce,
            random_source=self._random,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the start-up procedure is complete."""
        return self._ready.is_set()

    async def ready(self) -> None:
        """Wait until this daemon may serve."""
        await self._ready.wait()

    def register(
        self, register: Callable[[type, Callable[..., Any] | None], None]
    ) -> None:
        """Register the messages with ``PeerNetwork.register``."""
        handled = (
            messages.Announce,
            messages.IndexDigest,
            messages.IndexRequest,
            messages.Fetch,
        )
        for message_type in messages.MESSAGE_TYPES:
            handler = self.handle if message_type in handled else None
            register(message_type, handler)

    def set_neighbours(
        self, instance_ids: Iterable[str], *, reader: bool
    ) -> None:
        """Replace the neighbours; a reader watches the platform."""
        self._neighbours = tuple(instance_ids)
        if reader != self._reader:
            self._reader = reader
            self._role_changed.set()
            self._role_changed = trio.Event()

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all tasks; ``ready`` tells when start-up is complete."""
        nursery.start_soon(self._run)
        await trio.lowlevel.checkpoint()

    async def close(self) -> None:
        """Stop all tasks."""
        self._scope.cancel()
        await trio.lowlevel.checkpoint()

    def refresh(self) -> None:
        """Fetch what is newly needed and drop what is needed no longer."""
        for key, revision, digest in list(self._store):
            if not self._is_needed(key):
                self._store.drop(key)
            elif digest and self._store.document(key) is None:
                self._fetcher.add(key, revision, digest, source="")

    def handle(self, message: Any, sender: str) -> Any:
        """Handle a message of a peer; questions return their answer."""
        return self._handle(message, sender)

    @functools.singledispatchmethod
    def _handle(self, message: Any, sender: str) -> Any:
        raise TypeError(f"message is {type(message).__name__}")

    @_handle.register
    def _(self, message: messages.Announce, sender: str) -> None:
        self._learn(message.entries, sender)

    @_handle.register
    def _(
        self, message: messages.IndexDigest, sender: str
    ) -> messages.IndexDigest:
        digest = self._store.digest
        if message.digest != digest:
            self._suspects[sender] = None
        return messages.IndexDigest(digest=digest)

    @_handle.register
    def _(
        self, message: messages.IndexRequest, sender: str
    ) -> messages.IndexPage:
        entries, more = self._store.entries_that_differ(
            message.buckets, after=message.after, limit_bytes=PAGE_BYTES
        )
        return messages.IndexPage(
            entries=entries, more=more, ready=self.is_ready
        )

    @_handle.register
    def _(
        self, message: messages.Fetch, sender: str
    ) -> Awaitable[messages.FetchReply]:
        return self._fetcher.answer(message, sender)

    def _learn(self, entries: Iterable[IndexEntry], sender: str) -> None:
        """Take entries that a peer accepted."""
        new: list[IndexEntry] = []
        for key, revision, digest in entries:
            if digest and self._is_needed(key):
                self._fetcher.add(key, revision, digest, source=sender)
            elif self._store.note(key, revision, digest):
                self._fetcher.remember_source(key, sender)
                new.append((key, revision, digest))
        # A new daemon learns everything at once, which its neighbours know.
        if new and self.is_ready:
            self._announce(new, sender)

    def _learn_from_platform(self, entries: Iterable[IndexEntry]) -> None:
        """Take entries that nobody has validated yet."""
        for key, revision, digest in entries:
            if not digest:
                if self._store.note(key, revision, digest):
                    self._announce([(key, revision, digest)], "")
            elif self._reader or self._is_needed(key):
                self._fetcher.add(key, revision, digest, source=None)

    def _announce(self, entries: list[IndexEntry], source: str) -> None:
        for start in range(0, len(entries), ANNOUNCE_ENTRIES):
            message = messages.Announce(
                entries=entries[start : start + ANNOUNCE_ENTRIES]
            )
            for neighbour in self._neighbours:
                if neighbour != source:
                    # Repair covers what a full queue or a cut link loses.
                    self._post(neighbour, message)

    async def _run(self) -> None:
        with self._scope:
            await self._start_up()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._fetcher.run)
                nursery.start_soon(self._repair_forever)
                nursery.start_soon(self._watch_forever)
                await self._fetcher.settle(STARTUP_S)
                log_event(_LOG, "configuration-ready", keys=len(self._store))
                self._ready.set()

    async def _start_up(self) -> None:
        """Collect what the platform and several peers know.

        No document but the bootstrap keys comes in force before, so that
        an older revision of a stale platform is never used.
        """
        started = trio.current_time()
        listed = False
        while True:
            if not listed:
                listed = await self._list_platform()
            for key in self._bootstrap_keys:
                await self._fetcher.resolve(key)
            await self._ask_neighbours()
            late = trio.current_time() - started >= STARTUP_S
            known = any(
                self._store.document(key) for key in self._bootstrap_keys
            )
            if listed and known and not self._neighbours:
                return
            # The platform alone is never enough where there are peers: it
            # may be stale, and what is in force must not go back.
            if self._answered and (late or self._has_enough()):
                return
            await trio.sleep(0.1 * self._random.uniform(0.5, 1.5))

    def _has_enough(self) -> bool:
        answered = {n for n in self._neighbours if n in self._answered}
        ready = sum(self._answered[n] for n in answered)
        # Daemons in their own start-up know little, so they count only when
        # there is nobody else, as when a whole fleet starts.
        return ready >= STARTUP_PEERS or len(answered) == len(self._neighbours)

    async def _list_platform(self) -> bool:
        after = 0
        with trio.move_on_after(STARTUP_S):
            while True:
                done = await self._platform.changes(after)
                if not isinstance(done, Ok):
                    return False
                page = done.unwrap()
                self._learn_from_platform(page.entries)
                if not page.more:
                    return True
                after = page.revision
        return False

    async def _ask_neighbours(self) -> None:
        async with trio.open_nursery() as nursery:
            waiting = [n for n in self._neighbours if n not in self._answered]
            self._random.shuffle(waiting)
            for neighbour in waiting[: STARTUP_PEERS + 1]:
                nursery.start_soon(self._pull, neighbour)

    async def _pull(self, neighbour: str) -> None:
        """Learn the entries in which a neighbour's index differs."""
        buckets = self._store.buckets
        after = ""
        while True:
            done = await self._ask(
                neighbour,
                messages.IndexRequest(buckets=buckets, after=after),
                ASK_S,
            )
            page = done.ok()
            if not isinstance(page, messages.IndexPage):
                return
            self._learn(page.entries, neighbour)
            if not page.more or not page.entries:
                break
            after = page.entries[-1][0]
        self._answered[neighbour] = page.ready

    async def _repair_forever(self) -> None:
        while True:
            await trio.sleep(REPAIR_S * self._random.uniform(0.75, 1.25))
            neighbour = self._choose_neighbour()
            if neighbour is None:
                continue
            digest = self._store.digest
            done = await self._ask(
                neighbour, messages.IndexDigest(digest=digest), ASK_S
            )
            answer = done.ok()
            if (
                isinstance(answer, messages.IndexDigest)
                and answer.digest != self._store.digest
            ):
                await self._pull(neighbour)

    def _choose_neighbour(self) -> str | None:
        # A neighbour that found a difference goes first: it pulled what
        # this daemon has, and this daemon has to pull the rest.
        while self._suspects:
            suspect = next(iter(self._suspects))
            del self._suspects[suspect]
            if suspect in self._neighbours:
                return suspect
        if not self._neighbours:
            return None
        return self._random.choice(self._neighbours)

    async def _watch_forever(self) -> None:
        while True:
            role_changed = self._role_changed
            if not self._reader:
                await role_changed.wait()
                continue
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._platform.follow, self._learn_from_platform
                )
                await role_changed.wait()
                nursery.cancel_scope.cancel()
