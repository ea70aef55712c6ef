"""Read-only client of the configuration platform."""

from collections.abc import Awaitable
from collections.abc import Callable
import json
import logging
import random
from typing import Any
import urllib.parse

import attrs
from result import Err
from result import Ok
from result import Result
import trio

from hawthornmast.audit import log_event
from hawthornmast.common import StepError
from hawthornmast.configuration.messages import IndexEntry
from hawthornmast.http import Client
from hawthornmast.http import Response

_LOG = logging.getLogger("hawthornmast.configuration")

WATCH_WAIT_S = 30.0
REQUEST_TIMEOUT_S = 5.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 4.0
"""Limit that lets readers resume within seconds of a platform recovery."""

WATCH_PAUSE_S = 0.1
"""Pause between the calls of a watch.

It limits the call rate when changes arrive continuously.
"""

_MAX_CONCURRENT_READS = 8

_NO_WAIT_QUERY = "&wait=0"

Requester = Callable[[str, float], Awaitable[Result[Response, StepError]]]


@attrs.frozen
class ChangePage:
    """One page of the change list."""

    revision: int
    entries: list[IndexEntry]
    more: bool


class _ClientPool:
    """Connection pool for concurrent calls."""

    def __init__(self, host: str, port: int) -> None:
        self._idle = [Client(host, port) for _ in range(_MAX_CONCURRENT_READS)]
        # The watch has its own connection because its long-poll would block
        # reads.
        self._watch_client = Client(host, port)
        self._limiter = trio.Semaphore(_MAX_CONCURRENT_READS)

    async def request(
        self, target: str, timeout: float
    ) -> Result[Response, StepError]:
        if target.startswith("/v1/changes") and not target.endswith(
            _NO_WAIT_QUERY
        ):
            return await self._watch_client.request(
                "GET", target, timeout=timeout
            )
        async with self._limiter:
            client = self._idle.pop()
            try:
                return await client.request("GET", target, timeout=timeout)
            finally:
                self._idle.append(client)


class PlatformClient:
    """Reads values and watches for changes.

    The value of a key on the platform is the content of one document.

    Parameters
    ----------
    request
        ``await request(target, timeout)`` sends one GET request.
    random_source
        Random generator for the retry jitter.
    """

    def __init__(
        self,
        request: Requester,
        *,
        random_source: random.Random | None = None,
    ) -> None:
        self._request = request
        self._random = random_source or random.Random()
        self._watch_lock = trio.Lock()
        self.reachable = False

    @classmethod
    def connect(cls, host: str, port: int) -> "PlatformClient":
        """Return a client that connects to the platform over TCP."""
        return cls(_ClientPool(host, port).request)

    async def changes(
        self, after: int, *, wait: float = 0.0
    ) -> Result[ChangePage, StepError]:
        """Return the changes after a revision.

        Calls are serialized, so that a daemon has at most one open watch.
        """
        target = f"/v1/changes?after={after}&wait={wait:g}"
        async with self._watch_lock:
            response = await self._request(target, wait + REQUEST_TIMEOUT_S)
        page = _check_status(response).and_then(_parse_page)
        self.reachable = page.is_ok()
        return page

    async def poll(self, after: int) -> Result[ChangePage, StepError]:
        """Return the changes after a revision without waiting.

        Unlike ``changes``, the call can run concurrently with a watch and does
        not set ``reachable``.
        """
        target = f"/v1/changes?after={after}{_NO_WAIT_QUERY}"
        response = _check_status(
            await self._request(target, REQUEST_TIMEOUT_S)
        )
        return response.and_then(_parse_page)

    async def read(self, key: str) -> Result[tuple[int, bytes], StepError]:
        """Return the revision and content of a value."""
        target = "/v1/values/" + urllib.parse.quote(key)
        response = _check_status(
            await self._request(target, REQUEST_TIMEOUT_S)
        )
        return response.and_then(_parse_value)

    async def watch(
        self, handle: Callable[[list[IndexEntry]], None], *, after: int = 0
    ) -> None:
        """Watch for changes after a revision until cancelled."""
        delay = INITIAL_BACKOFF_S
        while True:
            result = await self.changes(after, wait=WATCH_WAIT_S)
            if isinstance(result, Ok):
                page = result.unwrap()
                handle(page.entries)
                # A stale platform returns an older revision, and all changes
                # after it are known already.
                after = max(after, page.revision)
                delay = INITIAL_BACKOFF_S
                if not page.more:
                    await trio.sleep(WATCH_PAUSE_S)
                continue
            log_event(
                _LOG,
                "platform-unavailable",
                level=logging.WARNING,
                step="watch-platform",
                detail=result.unwrap_err(),
                pause_s=delay,
            )
            await trio.sleep(delay * self._random.uniform(0.5, 1.5))
            delay = min(delay * 2, MAX_BACKOFF_S)


def _read_error(detail: str) -> Err[StepError]:
    return Err(StepError(step="read-platform", detail=detail, peer="platform"))


def _check_status(
    response: Result[Response, StepError],
) -> Result[Response, StepError]:
    if isinstance(response, Ok) and response.unwrap().status != 200:
        return _read_error(
            f"got status {response.unwrap().status}, expected 200"
        )
    return response


def _parse_value(
    response: Response,
) -> Result[tuple[int, bytes], StepError]:
    revision = response.header("X-Revision") or ""
    if not revision.isascii() or not revision.isdigit():
        return _read_error(
            f"invalid X-Revision header {revision!r:.40}, expected digits"
        )
    return Ok((int(revision), response.body))


def _parse_page(response: Response) -> Result[ChangePage, StepError]:
    try:
        body = json.loads(response.body)
        revision, more = body["revision"], body["more"]
        if type(revision) is not int or type(more) is not bool:
            raise TypeError(
                "'revision' is not an integer or 'more' is not a boolean"
            )
        entries = [_parse_change(change) for change in body["changes"]]
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        return _read_error(
            f"invalid change list: {type(error).__name__}: {error}"
        )
    return Ok(ChangePage(revision, entries, more))


def _parse_change(change: Any) -> IndexEntry:
    key, revision, digest = change
    if not isinstance(key, str) or type(revision) is not int or revision < 1:
        raise TypeError(f"invalid change {change!r:.80}")
    if digest is None:
        return key, revision, b""
    digest_bytes = bytes.fromhex(digest)
    if len(digest_bytes) != 16:
        raise ValueError(
            f"invalid digest {digest!r:.40}, expected 32 hex digits"
        )
    return key, revision, digest_bytes
