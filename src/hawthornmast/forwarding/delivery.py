"""Limits and callables shared by all ways to run a request."""

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.forwarding.upstream import Exchange

BUFFER_BYTES = 65_536
# An HTTP/1.0 client cannot tell a cut body from a whole one, so its answers
# are read whole, up to this length.
HTTP10_BUFFER_BYTES = 1_048_576
MAX_ATTEMPTS = 4

Deliver = Callable[[ClientResponse, Exchange], Awaitable[bool]]
# Opens the scope that ends a request at a time.
OpenScope = Callable[[float], trio.CancelScope]
