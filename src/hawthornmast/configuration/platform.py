"""Client of the configuration platform, which is only read and watched."""

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

WAIT_S = 30.0
TIMEOUT_S = 5.0
PAUSE_FIRST_S = 0.1
PAUSE_LAST_S = 4.0
"""Short enough that a platform that returns is read within seconds."""

MIN_INTERVAL_S = 0.1
"""Bounds the calls of one watch when changes arrive without a break."""

_READ_CLIENTS = 8

_POLL = "&wait=0"

Requester = Callable[[str, float], Awaitable[Result[Response, StepError]]]


@attrs.frozen
class ChangePage:
    """One answer of the changes call."""

    revision: int
    entries: list[IndexEntry]
    more: bool


class _ClientPool:
    """Keeps some connections for calls that run at the same time."""

    def __init__(self, host: str, port: int) -> None:
        self._idle = [Client(host, port) for _ in range(_READ_CLIENTS)]
        # One more connection serves the waiting watch, so that it never
        # delays a read.
        self._watch = Client(host, port)
        self._limiter = trio.Semaphore(_READ_CLIENTS)

    async def request(
        self, target: str, timeout: float
    ) -> Result[Response, StepError]:
        if target.startswith("/v1/changes") and not target.endswith(_POLL):
            return await self._watch.request("GET", target, timeout=timeout)
        async with self._limiter:
            client = self._idle.pop()
            try:
                return await client.request("GET", target, timeout=timeout)
            finally:
                self._idle.append(client)


class PlatformClient:
    """Reads values and watches changes.

    Parameters
    ----------
    request
        ``await request(target, timeout)`` sends one GET call.
    random_source
        Source of the jitter.
    """

    def __init__(
        self,
        request: Requester,
        *,
        random_source: random.Random | None = None,
    ) -> None:
        self._request = request
        self._random = random_source or random.Random()
        self._watching = trio.Lock()
        self.reachable = False

    @classmethod
    def connect(cls, host: str, port: int) -> "PlatformClient":
        """Return a client that calls the platform over TCP."""
        return cls(_ClientPool(host, port).request)

    async def changes(
        self, after: int, *, wait: float = 0.0
    ) -> Result[ChangePage, StepError]:
        """Return the changes past a revision.

        A second call waits until the first one ends, so that a daemon holds
        at most one watch.
        """
        target = f"/v1/changes?after={after}&wait={wait:g}"
        async with self._watching:
            answer = await self._request(target, wait + TIMEOUT_S)
        page = _check_status(answer).and_then(_parse_page)
        self.reachable = page.is_ok()
        return page

    async def poll(self, after: int) -> Result[ChangePage, StepError]:
        """Return the changes past a revision at once, beside any watch."""
        target = f"/v1/changes?after={after}{_POLL}"
        answer = _check_status(await self._request(target, TIMEOUT_S))
        return answer.and_then(_parse_page)

    async def read(self, key: str) -> Result[tuple[int, bytes], StepError]:
        """Return the revision and the content of a value."""
        target = "/v1/values/" + urllib.parse.quote(key)
        answer = _check_status(await self._request(target, TIMEOUT_S))
        return answer.and_then(_parse_value)

    async def follow(
        self, handle: Callable[[list[IndexEntry]], None], *, after: int = 0
    ) -> None:
        """Watch the changes past a revision until cancelled."""
        pause = PAUSE_FIRST_S
        while True:
            done = await self.changes(after, wait=WAIT_S)
            if isinstance(done, Ok):
                page = done.unwrap()
                handle(page.entries)
                # A stale platform answers with an older revision, past
                # which everything is known already.
                after = max(after, page.revision)
                pause = PAUSE_FIRST_S
                if not page.more:
                    await trio.sleep(MIN_INTERVAL_S)
                continue
            log_event(
                _LOG,
                "platform-unavailable",
                level=logging.WARNING,
                step="watch-platform",
                detail=done.unwrap_err(),
                pause_s=pause,
            )
            await trio.sleep(pause * self._random.uniform(0.5, 1.5))
            pause = min(pause * 2, PAUSE_LAST_S)


def _fail(detail: str) -> Err[StepError]:
    return Err(StepError(step="read-platform", detail=detail, peer="platform"))


def _check_status(
    answer: Result[Response, StepError],
) -> Result[Response, StepError]:
    if isinstance(answer, Ok) and answer.unwrap().status != 200:
        return _fail(f"status is {answer.unwrap().status}, allowed: 200")
    return answer


def _parse_value(
    response: Response,
) -> Result[tuple[int, bytes], StepError]:
    revision = response.header("X-Revision") or ""
    if not revision.isascii() or not revision.isdigit():
        return _fail(f"X-Revision is {revision!r:.40}, allowed: digits")
    return Ok((int(revision), response.body))


def _parse_page(response: Response) -> Result[ChangePage, StepError]:
    try:
        tree = json.loads(response.body)
        revision, more = tree["revision"], tree["more"]
        if type(revision) is not int or type(more) is not bool:
            raise TypeError("revision or more has the wrong type")
        entries = [_parse_change(change) for change in tree["changes"]]
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        return _fail(f"malformed changes: {type(error).__name__}: {error}")
    return Ok(ChangePage(revision, entries, more))


def _parse_change(change: Any) -> IndexEntry:
    key, revision, digest = change
    if not isinstance(key, str) or type(revision) is not int or revision < 1:
        raise TypeError(f"change is {change!r:.80}")
    if digest is None:
        return key, revision, b""
    content = bytes.fromhex(digest)
    if len(content) != 16:
        raise ValueError(f"digest is {digest!r:.40}, allowed: 32 hex digits")
    return key, revision, content
