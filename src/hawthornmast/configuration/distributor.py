"""Gossip distribution of the configuration between daemons."""

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

REPAIR_INTERVAL_S = 2.0
ASK_TIMEOUT_S = 1.0
READY_QUORUM = 3
"""Number of ready neighbours whose indexes are enough to complete start-up."""

STARTUP_TIMEOUT_S = 5.0
"""Limit for each phase of start-up.

It limits loading the platform index and, at the end, waiting for the pending
documents. After it, the index of a single peer is enough to continue.
"""

MAX_PAGE_BYTES = 262_144
"""Maximum size of an index page.

A heartbeat waits until the page before it is sent; with larger pages it could
arrive after the silence timeout of the peer.
"""

MAX_ANNOUNCE_ENTRIES = 1000

Post = Callable[[str, Any], bool]
Ask = Callable[[str, Any, float], Awaitable[Result[Any, StepError]]]


class Distributor:
    """Keeps the configuration store of one daemon up to date.

    Only some daemons, the readers, watch the platform. The others receive the
    changes from their neighbours.

    Parameters
    ----------
    store
        Index and documents of this daemon.
    platform
        Client of the configuration platform.
    post, ask
        Methods of ``PeerNetwork`` that send a one-way message and a request.
    is_needed
        Returns whether this daemon keeps the document of a key. Call
        ``refresh`` after its results change.
    holders
        Returns the identifiers of daemons that probably keep a document,
        such as the owners of its service.
    bootstrap_keys
        Keys of the documents from which the neighbours are known. At start-up
        they are put in effect before any peer is asked.
    random_source
        Random generator for jitter and for the choice of neighbours.
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
        self._is_reader = False
        self._reader_changed = trio.Event()
        self._ready = trio.Event()
        self._ready_by_peer: dict[str, bool] = {}
        self._diverged_peers: dict[str, None] = {}
        self._cancel_scope = trio.CancelScope()
        self._fetcher = Fetcher(
            store=store,
            platform=platform,
            ask=ask,
            is_needed=is_needed,
            holders=holders,
            neighbours=lambda: self._neighbours,
            on_new_entries=self._announce,
            random_source=self._random,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the start-up procedure is complete."""
        return self._ready.is_set()

    async def ready(self) -> None:
        """Wait until the start-up procedure is complete."""
        await self._ready.wait()

    def register(
        self, register_type: Callable[[type, Callable[..., Any] | None], None]
    ) -> None:
        """Register the message types and their handlers.

        Parameters
        ----------
        register_type
            Method ``register`` of the ``PeerNetwork``.
        """
        handled = (
            messages.Announce,
            messages.IndexDigest,
            messages.IndexRequest,
            messages.Fetch,
        )
        for message_type in messages.MESSAGE_TYPES:
            handler = self.handle if message_type in handled else None
            register_type(message_type, handler)

    def set_neighbours(
        self, instance_ids: Iterable[str], *, reader: bool
    ) -> None:
        """Replace the neighbours; a ``reader`` also watches the platform."""
        self._neighbours = tuple(instance_ids)
        if reader != self._is_reader:
            self._is_reader = reader
            self._reader_changed.set()
            self._reader_changed = trio.Event()

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all tasks; use ``ready`` to wait for the end of start-up."""
        nursery.start_soon(self._run)
        await trio.lowlevel.checkpoint()

    async def close(self) -> None:
        """Stop all tasks."""
        self._cancel_scope.cancel()
        await trio.lowlevel.checkpoint()

    def fetch(self, key: str) -> None:
        """Fetch the document of a key that has become needed."""
        entry = self._store.entry(key)
        if entry is not None and entry[1]:
            self._fetcher.add(key, *entry, source="")

    def refresh(self) -> None:
        """Fetch newly needed documents and drop those no longer needed."""
        for key, revision, digest in list(self._store):
            if not self._is_needed(key):
                self._store.drop_document(key)
            elif digest and self._store.document(key) is None:
                self._fetcher.add(key, revision, digest, source="")

    def handle(self, message: Any, sender: str) -> Any:
        """Handle a message from a peer; requests return their reply."""
        return self._handle(message, sender)

    @functools.singledispatchmethod
    def _handle(self, message: Any, sender: str) -> Any:
        raise TypeError(f"unexpected message type {type(message).__name__}")

    @_handle.register
    def _(self, message: messages.Announce, sender: str) -> None:
        self._merge_entries(message.entries, sender)

    @_handle.register
    def _(
        self, message: messages.IndexDigest, sender: str
    ) -> messages.IndexDigest:
        digest = self._store.digest
        if message.digest != digest:
            self._diverged_peers[sender] = None
        return messages.IndexDigest(digest=digest)

    @_handle.register
    def _(
        self, message: messages.IndexRequest, sender: str
    ) -> messages.IndexPage:
        entries, more = self._store.differing_entries(
            message.buckets, after=message.after, limit_bytes=MAX_PAGE_BYTES
        )
        return messages.IndexPage(
            entries=entries, more=more, ready=self.is_ready
        )

    @_handle.register
    def _(
        self, message: messages.Fetch, sender: str
    ) -> Awaitable[messages.FetchReply]:
        return self._fetcher.handle_fetch(message, sender)

    def _merge_entries(
        self, entries: Iterable[IndexEntry], sender: str
    ) -> None:
        """Merge index entries that a peer accepted."""
        new: list[IndexEntry] = []
        for key, revision, digest in entries:
            if digest and self._is_needed(key):
                self._fetcher.add(key, revision, digest, source=sender)
            elif self._store.record_entry(key, revision, digest):
                self._fetcher.record_source(key, sender)
                new.append((key, revision, digest))
        # During start-up the whole index is new, but the neighbours have it
        # already.
        if new and self.is_ready:
            self._announce(new, sender)

    def _add_platform_entries(self, entries: Iterable[IndexEntry]) -> None:
        """Add index entries from the platform, which are not validated."""
        for key, revision, digest in entries:
            if not digest:
                if self._store.record_entry(key, revision, digest):
                    self._announce([(key, revision, digest)], "")
            elif self._is_reader or self._is_needed(key):
                self._fetcher.add(key, revision, digest, source=None)

    def _announce(self, entries: list[IndexEntry], source: str) -> None:
        """Announce entries to all neighbours except their source.

        The source is empty for entries from the platform, which go to all.
        """
        for start in range(0, len(entries), MAX_ANNOUNCE_ENTRIES):
            message = messages.Announce(
                entries=entries[start : start + MAX_ANNOUNCE_ENTRIES]
            )
            for neighbour in self._neighbours:
                if neighbour != source:
                    # The periodic repair delivers what is lost with a full
                    # queue or a broken link.
                    self._post(neighbour, message)

    async def _run(self) -> None:
        with self._cancel_scope:
            await self._start_up()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._fetcher.run)
                nursery.start_soon(self._repair_forever)
                nursery.start_soon(self._watch_forever)
                await self._fetcher.wait_until_resolved(STARTUP_TIMEOUT_S)
                log_event(_LOG, "configuration-ready", keys=len(self._store))
                self._ready.set()

    async def _start_up(self) -> None:
        """Collect the indexes of the platform and of several peers.

        Until then only the bootstrap documents are put in effect, so that an
        older revision from a stale platform is never used.
        """
        started = trio.current_time()
        index_loaded = False
        while True:
            if not index_loaded:
                index_loaded = await self._load_platform_index()
            for key in self._bootstrap_keys:
                await self._fetcher.try_candidates(key)
            await self._pull_from_neighbours()
            timed_out = trio.current_time() - started >= STARTUP_TIMEOUT_S
            bootstrapped = any(
                self._store.document(key) for key in self._bootstrap_keys
            )
            if index_loaded and bootstrapped and not self._neighbours:
                return
            # With neighbours, the platform alone is not enough: it may be
            # stale, and the fleet must not return to an older revision.
            if self._ready_by_peer and (
                timed_out or self._has_enough_answers()
            ):
                return
            await trio.sleep(0.1 * self._random.uniform(0.5, 1.5))

    def _has_enough_answers(self) -> bool:
        answered = {n for n in self._neighbours if n in self._ready_by_peer}
        ready = sum(self._ready_by_peer[n] for n in answered)
        # Daemons that are starting have incomplete indexes. They count only
        # when all neighbours have answered, as when a whole fleet starts.
        return ready >= READY_QUORUM or len(answered) == len(self._neighbours)

    async def _load_platform_index(self) -> bool:
        after = 0
        with trio.move_on_after(STARTUP_TIMEOUT_S):
            while True:
                result = await self._platform.changes(after)
                if not isinstance(result, Ok):
                    return False
                page = result.unwrap()
                self._add_platform_entries(page.entries)
                if not page.more:
                    return True
                after = page.revision
        return False

    async def _pull_from_neighbours(self) -> None:
        async with trio.open_nursery() as nursery:
            pending = [
                n for n in self._neighbours if n not in self._ready_by_peer
            ]
            self._random.shuffle(pending)
            # One more than the quorum, so that one missing answer does not
            # delay start-up until the next round.
            for neighbour in pending[: READY_QUORUM + 1]:
                nursery.start_soon(self._pull_index, neighbour)

    async def _pull_index(self, neighbour: str) -> None:
        """Merge the entries in which a neighbour's index differs."""
        buckets = self._store.buckets
        after = ""
        while True:
            result = await self._ask(
                neighbour,
                messages.IndexRequest(buckets=buckets, after=after),
                ASK_TIMEOUT_S,
            )
            page = result.ok()
            if not isinstance(page, messages.IndexPage):
                return
            self._merge_entries(page.entries, neighbour)
            if not page.more or not page.entries:
                break
            after = page.entries[-1][0]
        self._ready_by_peer[neighbour] = page.ready

    async def _repair_forever(self) -> None:
        while True:
            await trio.sleep(
                REPAIR_INTERVAL_S * self._random.uniform(0.75, 1.25)
            )
            neighbour = self._choose_neighbour()
            if neighbour is None:
                continue
            digest = self._store.digest
            result = await self._ask(
                neighbour, messages.IndexDigest(digest=digest), ASK_TIMEOUT_S
            )
            answer = result.ok()
            if (
                isinstance(answer, messages.IndexDigest)
                and answer.digest != self._store.digest
            ):
                await self._pull_index(neighbour)

    def _choose_neighbour(self) -> str | None:
        # Neighbours that found a difference come first: they pull the entries
        # of this daemon, which has to pull theirs in turn.
        while self._diverged_peers:
            peer = next(iter(self._diverged_peers))
            del self._diverged_peers[peer]
            if peer in self._neighbours:
                return peer
        if not self._neighbours:
            return None
        return self._random.choice(self._neighbours)

    async def _watch_forever(self) -> None:
        while True:
            reader_changed = self._reader_changed
            if not self._is_reader:
                await reader_changed.wait()
                continue
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._platform.watch, self._add_platform_entries
                )
                await reader_changed.wait()
                nursery.cancel_scope.cancel()
