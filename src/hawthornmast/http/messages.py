"""HTTP requests and responses with their complete bodies."""

import json
from typing import Any
import urllib.parse

import attrs

Headers = tuple[tuple[str, str], ...]


def _find_header(headers: Headers, name: str) -> str | None:
    wanted = name.lower()
    for key, value in headers:
        if key.lower() == wanted:
            return value
    return None


@attrs.frozen(kw_only=True)
class Request:
    """An HTTP request with its complete body.

    Parameters
    ----------
    method, target
        Method and target of the request line.
    headers
        Pairs of name and value, in the order received.
    body
        Complete body.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""

    @property
    def path(self) -> str:
        """Percent-decoded path without the query string."""
        return urllib.parse.unquote(self.target.split("?", 1)[0])

    @property
    def query(self) -> dict[str, str]:
        """Query parameters; the last value of a repeated parameter."""
        text = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))

    def header(self, name: str) -> str | None:
        """Return the first value of a header; names are case-insensitive."""
        return _find_header(self.headers, name)


@attrs.frozen(kw_only=True)
class Response:
    """An HTTP response with its complete body."""

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str) -> str | None:
        """Return the first value of a header; names are case-insensitive."""
        return _find_header(self.headers, name)

    def json(self) -> Any:
        """Return the body parsed as JSON.

        Raises ValueError if it is not valid JSON.
        """
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
