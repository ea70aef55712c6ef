"""Limits and callback types shared by the forwarder and the relayer."""

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from hawthornmast.forwarding.exchange import Exchange
from hawthornmast.forwarding.messages import ClientResponse

BUFFER_BYTES = 65_536
# An HTTP/1.0 client cannot detect a truncated body, so its responses are
# buffered completely, up to this size.
HTTP10_BUFFER_BYTES = 1_048_576
MAX_ATTEMPTS = 4

# Streams a response to the client; returns whether it was completed.
Deliver = Callable[[ClientResponse, Exchange], Awaitable[bool]]
# Creates the cancel scope of a request from its deadline.
OpenScope = Callable[[float], trio.CancelScope]
