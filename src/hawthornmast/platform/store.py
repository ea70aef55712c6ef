"""Client of the platform's key-value store."""

import logging
import re
import reprlib
from typing import Any
import urllib.parse

from result import Err
from result import Ok
from result import Result
import trio

from hawthornmast import http
from hawthornmast.audit import describe_error
from hawthornmast.audit import log_event
from hawthornmast.common import EraRevision
from hawthornmast.common import StepError
from hawthornmast.membership.entries import ListedUpstream
from hawthornmast.membership.entries import MAX_NAME_LENGTH
from hawthornmast.membership.entries import UpstreamSnapshot
from hawthornmast.platform import names
from hawthornmast.platform import values
from hawthornmast.routing import PublishedConfiguration

_LOG = logging.getLogger("hawthornmast.platform.store")

MAX_PAGES = 200

_ERA_PATTERN = re.compile(r"[0-9]{1,18}")
"""At most 18 digits, which fit into a message between members."""

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
        self._era = 0
        self._refused_era: str | None = None

    async def read_listing(
        self, *, timeout_s: float
    ) -> Result[UpstreamSnapshot, StepError]:
        """Return a snapshot of the upstreams listed in the store."""
        entries: list[ListedUpstream] = []
        revision = 0
        eras: set[int] = set()
        query = {"PathPrefix": names.UPSTREAMS_PREFIX}
        for _ in range(MAX_PAGES):
            done = await self._call(names.STORE_RANGE, query, timeout_s)
            if isinstance(done, Err):
                return done
            era, page = done.ok_value
            eras.add(era)
            if len(eras) > 1:
                detail = f"pages of different eras: {sorted(eras)}"
                return Err(StepError(step="read-listing", detail=detail))
            try:
                items = page["items"]
                # Pages are read at different revisions. All of them include
                # the changes up to the revision of the first one.
                revision = revision or int(page["StoreRevision"])
                for item in items:
                    self._add_entry(entries, item)
                if not page.get("Truncated") or not items:
                    return Ok(
                        UpstreamSnapshot(
                            revision=revision,
                            entries=tuple(entries),
                            era=era,
                        )
                    )
                query["after"] = items[-1]["Key"]
            except _DECODING_ERRORS as error:
                return self._malformed_response(names.STORE_RANGE, error)
        detail = f"more than {MAX_PAGES} pages"
        return Err(StepError(step="read-listing", detail=detail))

    async def read_configuration(
        self, *, timeout_s: float
    ) -> Result[PublishedConfiguration | None, StepError]:
        """Return the current configuration, or None if there is none."""
        query = {"Key": names.CONFIGURATION_KEY}
        done = await self._call(
            names.STORE_ITEM, query, timeout_s, allow_missing=True
        )
        if isinstance(done, Err):
            return done
        era, item = done.ok_value
        if item is None:
            return Ok(None)
        try:
            value = values.decode_value(item)
            return Ok(
                PublishedConfiguration(
                    configuration=values.decode_configuration(value),
                    position=EraRevision(era, int(item["StoreRevision"])),
                    written=int(item["Revision"]),
                )
            )
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
    ) -> Result[tuple[int, Any], StepError]:
        """Return the era of a response and its parsed body."""
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
        checked = self._check_era(response, path)
        if isinstance(checked, Err):
            return checked
        era = checked.ok_value
        if response.status == 404 and allow_missing:
            return Ok((era, None))
        if response.status != 200:
            return Err(
                StepError(
                    step=path.rpartition("/")[2],
                    detail=f"status {response.status}",
                    peer=self._client.peer,
                )
            )
        try:
            return Ok((era, response.json()))
        except (ValueError, RecursionError) as error:
            return self._malformed_response(path, error)

    def _check_era(
        self, response: http.Response, path: str
    ) -> Result[int, StepError]:
        """Return the era of a response; refuse a stale or malformed one.

        Each refused value is logged once until another one is.
        """
        eras = [
            value.strip()
            for name, value in response.headers
            if name.lower() == names.STORE_ERA
        ]
        text = ", ".join(dict.fromkeys(eras)) if eras else "0"
        if _ERA_PATTERN.fullmatch(text) is None:
            detail = f"era is {reprlib.repr(text)}, allowed: one integer"
        elif int(text) < self._era:
            detail = f"era {text} is older than {self._era}"
        else:
            self._era = int(text)
            return Ok(self._era)
        if text != self._refused_era:
            self._refused_era = text
            log_event(
                _LOG,
                "store-era-refused",
                level=logging.WARNING,
                detail=detail,
                peer=self._client.peer,
            )
        return Err(
            StepError(
                step=path.rpartition("/")[2],
                detail=detail,
                peer=self._client.peer,
            )
        )

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
