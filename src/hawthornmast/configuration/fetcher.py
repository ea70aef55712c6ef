"""Fetching of the documents that a daemon validates."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Any

import attrs
from result import Err
from result import Ok
from result import Result
import trio

from hawthornmast.common import StepError
from hawthornmast.configuration import messages
from hawthornmast.configuration.messages import IndexEntry
from hawthornmast.configuration.platform import PlatformClient
from hawthornmast.configuration.store import compute_digest
from hawthornmast.configuration.store import ConfigurationStore

WORKERS = 16
FETCH_S = 1.0
FETCH_HOPS = 6
CANDIDATES_PER_KEY = 8
PAUSE_FIRST_S = 0.1
PAUSE_LAST_S = 5.0
RECENT_BYTES = 8_388_608
"""Room for documents that a reader read only to validate and pass on."""

_PEERS_PER_TRY = 3

Ask = Callable[[str, Any, float], Awaitable[Result[Any, StepError]]]


@attrs.define
class _Candidate:
    """A revision that may come in force.

    ``sources`` are the peers that announced it. It is empty when only the
    platform listed the revision, which says nothing about its validity.
    """

    revision: int
    digest: bytes
    accepted_elsewhere: bool = False
    sources: list[str] = attrs.field(factory=list)


class Fetcher:
    """Fetches candidates, highest revision first, until each is settled.

    The parameters are those of ``Distributor``; ``on_new(entries, source)``
    is called with each index entry that became new by a document.
    """

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        platform: PlatformClient,
        ask: Ask,
        is_needed: Callable[[str], bool],
        holders: Callable[[str], Iterable[str]],
        neighbours: Callable[[], tuple[str, ...]],
        on_new: Callable[[list[IndexEntry], str], None],
        random_source: random.Random,
    ) -> None:
        self._store = store
        self._platform = platform
        self._ask = ask
        self._is_needed = is_needed
        self._holders = holders
        self._neighbours = neighbours
        self._on_new = on_new
        self._random = random_source
        self._candidates: dict[str, dict[int, _Candidate]] = {}
        self._due: dict[str, None] = {}
        self._busy: set[str] = set()
        self._retrying: set[str] = set()
        self._failures: dict[str, int] = {}
        self._sources: dict[str, str] = {}
        self._recent: dict[str, tuple[int, bytes]] = {}
        self._recent_bytes = 0
        self._wake = trio.Event()
        self._nursery: trio.Nursery | None = None

    def remember_source(self, key: str, source: str) -> None:
        """Note which peer announced an entry whose document isn't kept."""
        self._sources[key] = source

    def add(
        self, key: str, revision: int, digest: bytes, *, source: str | None
    ) -> None:
        """Add a candidate; ``source`` is None for the platform."""
        keep = self._is_needed(key)
        if not self._store.is_wanted(key, revision, digest, keep=keep):
            return
        found = self._candidates.setdefault(key, {})
        candidate = found.get(revision)
        hopeful = candidate is None
        if candidate is None:
            candidate = found[revision] = _Candidate(revision, digest)
            if len(found) > CANDIDATES_PER_KEY:
                del found[min(found)]
        elif candidate.digest != digest:
            return
        if source is not None:
            hopeful |= not candidate.accepted_elsewhere
            candidate.accepted_elsewhere = True
            if source and source not in candidate.sources:
                candidate.sources.append(source)
                hopeful = True
        if hopeful:
            # Repeated announcements of what failed keep the growing pauses.
            self._failures.pop(key, None)
            self._enqueue(key)

    def _enqueue(self, key: str) -> None:
        if key in self._candidates:
            self._due[key] = None
            self._wake.set()

    async def run(self) -> None:
        """Fetch what is due until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for _ in range(WORKERS):
                nursery.start_soon(self._work)

    async def settle(self, timeout: float) -> None:
        """Wait until no candidate is open, at most ``timeout`` seconds."""
        with trio.move_on_after(timeout):
            while self._candidates:
                await trio.sleep(0.01)

    async def _work(self) -> None:
        assert self._nursery is not None
        while True:
            key = next((k for k in self._due if k not in self._busy), None)
            if key is None:
                self._wake = (
                    trio.Event() if self._wake.is_set() else self._wake
                )
                await self._wake.wait()
                continue
            del self._due[key]
            self._busy.add(key)
            try:
                await self.resolve(key)
            finally:
                self._busy.discard(key)
            if key in self._due:
                self._wake.set()
            elif key in self._candidates and key not in self._retrying:
                # One task for each key, however often it is announced.
                self._retrying.add(key)
                self._nursery.start_soon(self._retry_later, key)

    async def _retry_later(self, key: str) -> None:
        failures = self._failures.get(key, 0)
        self._failures[key] = failures + 1
        pause = min(PAUSE_FIRST_S * 2 ** min(failures, 10), PAUSE_LAST_S)
        await trio.sleep(pause * self._random.uniform(0.5, 1.5))
        self._retrying.discard(key)
        self._enqueue(key)

    async def resolve(self, key: str) -> None:
        """Try the candidates of a key once, highest revision first."""
        for candidate in self._open_candidates(key):
            done = await self._fetch(key, candidate)
            if isinstance(done, Err):
                if candidate.accepted_elsewhere:
                    # A lower revision is out of force elsewhere already.
                    break
                continue
            revision, content, peer = done.unwrap()
            accepted = self._accept(key, revision, content, peer)
            if accepted:
                break
            if not candidate.accepted_elsewhere:
                # The platform holds a refused revision in place of this
                # one, so reading it again can't succeed.
                self._candidates.get(key, {}).pop(candidate.revision, None)
        self._open_candidates(key)

    def _open_candidates(self, key: str) -> list[_Candidate]:
        """Drop settled candidates and return the rest, highest first."""
        found = self._candidates.get(key, {})
        keep = self._is_needed(key)
        for revision, candidate in list(found.items()):
            if not self._store.is_wanted(
                key, revision, candidate.digest, keep=keep
            ):
                del found[revision]
        if not found:
            self._candidates.pop(key, None)
            self._failures.pop(key, None)
        return [found[revision] for revision in sorted(found, reverse=True)]

    def _accept(
        self, key: str, revision: int, content: bytes, peer: str
    ) -> bool:
        keep = self._is_needed(key)
        done = self._store.accept(key, revision, content, keep=keep, peer=peer)
        if isinstance(done, Err):
            return False
        if done.unwrap():
            if not keep:
                self._remember(key, revision, content)
            self._sources.pop(key, None)
            entry = (key, revision, compute_digest(content))
            self._on_new([entry], peer)
        return True

    def _remember(self, key: str, revision: int, content: bytes) -> None:
        old = self._recent.pop(key, (0, b""))
        self._recent[key] = (revision, content)
        self._recent_bytes += len(content) - len(old[1])
        while self._recent_bytes > RECENT_BYTES:
            first = next(iter(self._recent))
            self._recent_bytes -= len(self._recent.pop(first)[1])

    async def _fetch(
        self, key: str, candidate: _Candidate
    ) -> Result[tuple[int, bytes, str], StepError]:
        if candidate.accepted_elsewhere:
            question = messages.Fetch(
                key=key, revision=candidate.revision, hops=FETCH_HOPS
            )
            for peer in self._choose_peers(key, candidate):
                done = await self._ask_peer(peer, question)
                if isinstance(done, Ok) and _matches(done.unwrap(), candidate):
                    reply = done.unwrap()
                    return Ok((reply.revision, reply.content, peer))
        read = await self._platform.read(key)
        if isinstance(read, Err):
            return read
        revision, content = read.unwrap()
        reply = messages.FetchReply(
            key=key, revision=revision, content=content
        )
        if not _matches(reply, candidate):
            detail = f"revision {revision}, wanted {candidate.revision}"
            return Err(
                StepError(
                    step="fetch-document", detail=detail, peer="platform"
                )
            )
        return Ok((revision, content, ""))

    def _choose_peers(self, key: str, candidate: _Candidate) -> list[str]:
        others = [*self._holders(key)]
        near = list(self._neighbours())
        self._random.shuffle(near)
        # A daemon that announced holds the document; it may have this one as
        # its neighbour without being a neighbour of this one.
        known = [*candidate.sources, *others, *near]
        return list(dict.fromkeys(known))[:_PEERS_PER_TRY]

    async def _ask_peer(
        self, peer: str, question: messages.Fetch
    ) -> Result[messages.FetchReply, StepError]:
        done = await self._ask(peer, question, FETCH_S)
        if isinstance(done, Err):
            return done
        reply = done.unwrap()
        if isinstance(reply, messages.FetchReply) and (
            reply.key == question.key and reply.revision >= question.revision
        ):
            return Ok(reply)
        detail = f"{question.key} is not held"
        return Err(StepError(step="fetch-document", detail=detail, peer=peer))

    async def answer(
        self, question: messages.Fetch, sender: str
    ) -> messages.FetchReply:
        """Answer a peer's question for a document."""
        key = question.key
        await trio.lowlevel.checkpoint()
        for held in (self._store.document(key), self._recent.get(key)):
            if held is not None and held[0] >= question.revision:
                return messages.FetchReply(
                    key=key, revision=held[0], content=held[1]
                )
        source = self._sources.get(key)
        if question.hops > 0 and source and source != sender:
            onward = attrs.evolve(question, hops=question.hops - 1)
            done = await self._ask_peer(source, onward)
            if isinstance(done, Ok):
                return done.unwrap()
        return messages.FetchReply(key=key, revision=0, content=b"")


def _matches(reply: messages.FetchReply, candidate: _Candidate) -> bool:
    """Return whether a document is the candidate or newer."""
    if reply.revision == candidate.revision:
        return compute_digest(reply.content) == candidate.digest
    return reply.revision > candidate.revision
