"""Client of the platform's key-value store."""

import logging
from typing import Any
import urllib.parse

from result import Err
from result import Ok
from result import Result
import trio

from hawthornmast import http
from hawthornmast.audit import describe_error
from hawthornmast.audit import log_event
from hawthornmast.common import StepError
from hawthornmast.membership.entries import ListedUpstream
from hawthornmast.membership.entries import MAX_NAME_LENGTH
from hawthornmast.membership.entries import UpstreamSnapshot
from hawthornmast.platform import names
from hawthornmast.platform import values
from hawthornmast.routing import Configuration

_LOG = logging.getLogger("hawthornmast.platform.store")

MAX_PAGES = 200

_DECODING_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    # Values that are nested too deeply or too large for their type.
    RecursionError,
    OverflowError,
)


class PlatformStore:
    """Reads upstreams and the configuration from the store.

    All calls use one connection.

    Parameters
    ----------
    host, port
        Address of the store.
    """

    def __init__(self, host: str, port: int) -> None:
        self._client = http.Client(host, port)
        # The HTTP client supports one call at a time; concurrent calls on it
        # would end the process.
        self._lock = trio.Lock()
        self._rejected_revisions: dict[str, int] = {}

    async def read_listing(
        self, *, timeout_s: float
    ) -> Result[UpstreamSnapshot, StepError]:
        """Return a snapshot of the upstreams listed in the store."""
        entries: list[ListedUpstream] = []
        revision = 0
        query = {"PathPrefix": names.UPSTREAMS_PREFIX}
        for _ in range(MAX_PAGES):
            done = await self._call(names.STORE_RANGE, query, timeout_s)
            if isinstance(done, Err):
                return done
            try:
                items = done.ok_value["items"]
                # Pages are read at different revisions. All of them include
                # the changes up to the revision of the first one.
                revision = revision or int(done.ok_value["StoreRevision"])
                for item in items:
                    self._add_entry(entries, item)
                if not done.ok_value.get("Truncated") or not items:
                    return Ok(
                        UpstreamSnapshot(
                            revision=revision, entries=tuple(entries)
                        )
                    )
                query["after"] = items[-1]["Key"]
            except _DECODING_ERRORS as error:
                return self._malformed_response(names.STORE_RANGE, error)
        detail = f"more than {MAX_PAGES} pages"
        return Err(StepError(step="read-listing", detail=detail))

    async def read_configuration(
        self, *, timeout_s: float
    ) -> Result[Configuration | None, StepError]:
        """Return the current configuration, or None if there is none."""
        query = {"Key": names.CONFIGURATION_KEY}
        done = await self._call(
            names.STORE_ITEM, query, timeout_s, allow_missing=True
        )
        if isinstance(done, Err) or done.ok_value is None:
            return done
        try:
            value = values.decode_value(done.ok_value)
            return Ok(values.decode_configuration(value))
        except _DECODING_ERRORS as error:
            return self._malformed_response(names.STORE_ITEM, error)

    async def close(self) -> None:
        """Close the connection."""
        await self._client.close()

    async def _call(
        self,
        path: str,
        query: dict[str, Any],
        timeout_s: float,
        *,
        allow_missing: bool = False,
    ) -> Result[Any, StepError]:
        # Keys of other writers may contain anything that JSON allows.
        encoded = urllib.parse.urlencode(
            query, safe="/", errors="surrogatepass"
        )
        target = f"{path}?{encoded}"
        async with self._lock:
            done = await self._client.request("GET", target, timeout=timeout_s)
        if isinstance(done, Err):
            return done
        response = done.ok_value
        if response.status == 404 and allow_missing:
            return Ok(None)
        if response.status != 200:
            return Err(
                StepError(
                    step=path.rpartition("/")[2],
                    detail=f"status {response.status}",
                    peer=self._client.peer,
                )
            )
        try:
            return Ok(response.json())
        except (ValueError, RecursionError) as error:
            return self._malformed_response(path, error)

    def _malformed_response(
        self, path: str, error: Exception
    ) -> Err[StepError]:
        detail = f"malformed response: {describe_error(error)}"
        return Err(
            StepError(
                step=path.rpartition("/")[2],
                detail=detail,
                peer=self._client.peer,
            )
        )

    def _add_entry(
        self, entries: list[ListedUpstream], item: dict[str, Any]
    ) -> None:
        """Decode an upstream and add it; skip and log an invalid entry.

        Other programs may write under the same prefix. Each revision of an
        invalid entry is logged once.
        """
        key = str(item["Key"]).removeprefix(names.UPSTREAMS_PREFIX)
        try:
            entries.append(values.decode_upstream(key, item))
        except _DECODING_ERRORS as error:
            revision = int(item.get("Revision", 0))
            if self._rejected_revisions.get(key) != revision:
                if len(self._rejected_revisions) > 1000:
                    self._rejected_revisions.clear()
                self._rejected_revisions[key] = revision
                log_event(
                    _LOG,
                    "upstream-entry-refused",
                    level=logging.WARNING,
                    upstream=key[:MAX_NAME_LENGTH],
                    revision=revision,
                    detail=describe_error(error),
                )
