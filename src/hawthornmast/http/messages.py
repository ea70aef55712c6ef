"""Requests and responses that are held whole in memory."""

import json
from typing import Any
import urllib.parse

import attrs

Headers = tuple[tuple[str, str], ...]


def _find(headers: Headers, name: str) -> str | None:
    wanted = name.lower()
    for key, value in headers:
        if key.lower() == wanted:
            return value
    return None


@attrs.frozen(kw_only=True)
class Request:
    """A request with its whole body.

    Parameters
    ----------
    method, target
        As on the request line.
    headers
        Pairs of name and value, in order.
    body
        Body in bytes.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""

    @property
    def path(self) -> str:
        """The decoded path without the query."""
        return urllib.parse.unquote(self.target.split("?", 1)[0])

    @property
    def query(self) -> dict[str, str]:
        """The query's parameters; of repeated ones the last."""
        text = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))

    def header(self, name: str) -> str | None:
        """Return the first value of a header, whatever its case."""
        return _find(self.headers, name)


@attrs.frozen(kw_only=True)
class Response:
    """A response with its whole body."""

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str) -> str | None:
        """Return the first value of a header, whatever its case."""
        return _find(self.headers, name)

    def json(self) -> Any:
        """Return the body parsed as JSON; raises ValueError."""
        return json.loads(self.body)


def json_response(
    value: Any, *, status: int = 200, headers: Headers = ()
) -> Response:
    """Return a response with a JSON body."""
    return Response(
        status=status,
        headers=(("Content-Type", "application/json"), *headers),
        body=json.dumps(value).encode() + b"\n",
    )
