"""Fetching and validation of documents from peers and the platform."""

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
FETCH_TIMEOUT_S = 1.0
MAX_FETCH_HOPS = 6
MAX_CANDIDATES_PER_KEY = 8
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
DOCUMENT_CACHE_BYTES = 8_388_608
"""Cache size for documents that are validated for peers but not kept."""

_MAX_PEERS_PER_ATTEMPT = 3

Ask = Callable[[str, Any, float], Awaitable[Result[Any, StepError]]]


@attrs.define
class _Candidate:
    """A revision that may be put in effect.

    ``accepted_by_peer`` is False while only the platform has listed the
    revision, which says nothing about its validity. ``sources`` are the peers
    that announced it.
    """

    revision: int
    digest: bytes
    accepted_by_peer: bool = False
    sources: list[str] = attrs.field(factory=list)


class Fetcher:
    """Fetches candidate revisions until each is accepted or rejected.

    Higher revisions are tried first. The parameters are those of
    ``Distributor``; ``on_new_entries(entries, source)`` is called with each
    new index entry after its document is accepted.
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
        on_new_entries: Callable[[list[IndexEntry], str], None],
        random_source: random.Random,
    ) -> None:
        self._store = store
        self._platform = platform
        self._ask = ask
        self._is_needed = is_needed
        self._holders = holders
        self._neighbours = neighbours
        self._on_new_entries = on_new_entries
        self._random = random_source
        self._candidates: dict[str, dict[int, _Candidate]] = {}
        self._queue: dict[str, None] = {}
        self._in_progress: set[str] = set()
        self._retrying: set[str] = set()
        self._failure_counts: dict[str, int] = {}
        self._source_by_key: dict[str, str] = {}
        self._cache: dict[str, tuple[int, bytes]] = {}
        self._cache_bytes = 0
        self._queue_changed = trio.Event()
        self._nursery: trio.Nursery | None = None

    def record_source(self, key: str, source: str) -> None:
        """Record the peer to which requests for a document are forwarded.

        This daemon has the index entry that the peer announced, but not the
        document.
        """
        self._source_by_key[key] = source

    def add(
        self, key: str, revision: int, digest: bytes, *, source: str | None
    ) -> None:
        """Add a candidate.

        ``source`` is the announcing peer, None for the platform and empty for
        an accepted entry of this daemon's own index.
        """
        keep = self._is_needed(key)
        if not self._store.is_acceptable(key, revision, digest, keep=keep):
            return
        candidates = self._candidates.setdefault(key, {})
        candidate = candidates.get(revision)
        changed = candidate is None
        if candidate is None:
            candidate = candidates[revision] = _Candidate(revision, digest)
            if len(candidates) > MAX_CANDIDATES_PER_KEY:
                del candidates[min(candidates)]
        elif candidate.digest != digest:
            return
        if source is not None:
            changed |= not candidate.accepted_by_peer
            candidate.accepted_by_peer = True
            if source and source not in candidate.sources:
                candidate.sources.append(source)
                changed = True
        if changed:
            # Only new information resets the backoff; repeated announcements
            # of a failed candidate do not.
            self._failure_counts.pop(key, None)
            self._enqueue(key)

    def _enqueue(self, key: str) -> None:
        if key in self._candidates:
            self._queue[key] = None
            self._queue_changed.set()

    async def run(self) -> None:
        """Process queued keys until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for _ in range(WORKERS):
                nursery.start_soon(self._run_worker)

    async def wait_until_resolved(self, timeout: float) -> None:
        """Wait up to ``timeout`` seconds until no candidate is pending."""
        with trio.move_on_after(timeout):
            while self._candidates:
                await trio.sleep(0.01)

    async def _run_worker(self) -> None:
        assert self._nursery is not None
        while True:
            key = next(
                (k for k in self._queue if k not in self._in_progress), None
            )
            if key is None:
                self._queue_changed = (
                    trio.Event()
                    if self._queue_changed.is_set()
                    else self._queue_changed
                )
                await self._queue_changed.wait()
                continue
            del self._queue[key]
            self._in_progress.add(key)
            try:
                await self.try_candidates(key)
            finally:
                self._in_progress.discard(key)
            if key in self._queue:
                self._queue_changed.set()
            elif key in self._candidates and key not in self._retrying:
                # At most one retry task per key, even when it is announced
                # repeatedly.
                self._retrying.add(key)
                self._nursery.start_soon(self._retry_later, key)

    async def _retry_later(self, key: str) -> None:
        failures = self._failure_counts.get(key, 0)
        self._failure_counts[key] = failures + 1
        delay = min(INITIAL_BACKOFF_S * 2 ** min(failures, 10), MAX_BACKOFF_S)
        await trio.sleep(delay * self._random.uniform(0.5, 1.5))
        self._retrying.discard(key)
        self._enqueue(key)

    async def try_candidates(self, key: str) -> None:
        """Try each candidate of a key once, highest revision first.

        Candidates that could not be fetched remain pending.
        """
        for candidate in self._prune_candidates(key):
            result = await self._fetch(key, candidate)
            if isinstance(result, Err):
                if candidate.accepted_by_peer:
                    # A peer has accepted this revision, so lower ones are
                    # outdated and must not take effect.
                    break
                continue
            revision, content, peer = result.unwrap()
            accepted = self._accept(key, revision, content, peer)
            if accepted:
                break
            if not candidate.accepted_by_peer:
                # The platform has replaced this revision by one that was
                # rejected, so another read cannot succeed.
                self._candidates.get(key, {}).pop(candidate.revision, None)
        self._prune_candidates(key)

    def _prune_candidates(self, key: str) -> list[_Candidate]:
        """Drop accepted, rejected and outdated candidates; return the rest.

        The highest revision comes first.
        """
        candidates = self._candidates.get(key, {})
        keep = self._is_needed(key)
        for revision, candidate in list(candidates.items()):
            if not self._store.is_acceptable(
                key, revision, candidate.digest, keep=keep
            ):
                del candidates[revision]
        if not candidates:
            self._candidates.pop(key, None)
            self._failure_counts.pop(key, None)
        return [
            candidates[revision]
            for revision in sorted(candidates, reverse=True)
        ]

    def _accept(
        self, key: str, revision: int, content: bytes, peer: str
    ) -> bool:
        keep = self._is_needed(key)
        result = self._store.accept(
            key, revision, content, keep=keep, peer=peer
        )
        if isinstance(result, Err):
            return False
        if result.unwrap():
            if not keep:
                self._cache_document(key, revision, content)
            self._source_by_key.pop(key, None)
            entry = (key, revision, compute_digest(content))
            self._on_new_entries([entry], peer)
        return True

    def _cache_document(self, key: str, revision: int, content: bytes) -> None:
        old = self._cache.pop(key, (0, b""))
        self._cache[key] = (revision, content)
        self._cache_bytes += len(content) - len(old[1])
        while self._cache_bytes > DOCUMENT_CACHE_BYTES:
            oldest = next(iter(self._cache))
            self._cache_bytes -= len(self._cache.pop(oldest)[1])

    async def _fetch(
        self, key: str, candidate: _Candidate
    ) -> Result[tuple[int, bytes, str], StepError]:
        if candidate.accepted_by_peer:
            request = messages.Fetch(
                key=key, revision=candidate.revision, hops=MAX_FETCH_HOPS
            )
            for peer in self._choose_peers(key, candidate):
                result = await self._ask_peer(peer, request)
                if isinstance(result, Ok) and _matches(
                    result.unwrap(), candidate
                ):
                    reply = result.unwrap()
                    return Ok((reply.revision, reply.content, peer))
        read_result = await self._platform.read(key)
        if isinstance(read_result, Err):
            return read_result
        revision, content = read_result.unwrap()
        reply = messages.FetchReply(
            key=key, revision=revision, content=content
        )
        if not _matches(reply, candidate):
            detail = f"got revision {revision}, expected {candidate.revision}"
            return Err(
                StepError(
                    step="fetch-document", detail=detail, peer="platform"
                )
            )
        return Ok((revision, content, ""))

    def _choose_peers(self, key: str, candidate: _Candidate) -> list[str]:
        holders = [*self._holders(key)]
        neighbours = list(self._neighbours())
        self._random.shuffle(neighbours)
        # Daemons that announced the revision come first, since they have the
        # document. They may not be among the neighbours, because the
        # neighbour relation is not symmetric.
        known = [*candidate.sources, *holders, *neighbours]
        return list(dict.fromkeys(known))[:_MAX_PEERS_PER_ATTEMPT]

    async def _ask_peer(
        self, peer: str, request: messages.Fetch
    ) -> Result[messages.FetchReply, StepError]:
        result = await self._ask(peer, request, FETCH_TIMEOUT_S)
        if isinstance(result, Err):
            return result
        reply = result.unwrap()
        if isinstance(reply, messages.FetchReply) and (
            reply.key == request.key and reply.revision >= request.revision
        ):
            return Ok(reply)
        detail = f"peer has no document for {request.key}"
        return Err(StepError(step="fetch-document", detail=detail, peer=peer))

    async def handle_fetch(
        self, request: messages.Fetch, sender: str
    ) -> messages.FetchReply:
        """Return the requested document or forward the request."""
        key = request.key
        await trio.lowlevel.checkpoint()
        for stored in (self._store.document(key), self._cache.get(key)):
            if stored is not None and stored[0] >= request.revision:
                return messages.FetchReply(
                    key=key, revision=stored[0], content=stored[1]
                )
        source = self._source_by_key.get(key)
        if request.hops > 0 and source and source != sender:
            forwarded = attrs.evolve(request, hops=request.hops - 1)
            result = await self._ask_peer(source, forwarded)
            if isinstance(result, Ok):
                return result.unwrap()
        return messages.FetchReply(key=key, revision=0, content=b"")


def _matches(reply: messages.FetchReply, candidate: _Candidate) -> bool:
    """Return whether a reply has the candidate or a newer revision."""
    if reply.revision == candidate.revision:
        return compute_digest(reply.content) == candidate.digest
    return reply.revision > candidate.revision
