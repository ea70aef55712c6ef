"""Bound of the response bytes that a process holds in memory."""

import logging

from hawthornmast.audit import log_event

RESPONSE_MEMORY_BYTES = 33_554_432
"""Size of the responses held in memory from which further ones are passed on
in small pieces instead of being buffered."""

SMALL_PIECE_BYTES = 16_384
"""Size of these pieces. Shorter responses are buffered in any case."""

PIECE_BYTES = 65_536
"""Size of the pieces in which upstreams are read otherwise."""

_FREE_FRACTION = 0.9
"""Fraction of the bound below which responses are buffered again, so that
lines in the log don't alternate with each response."""

_LOG = logging.getLogger(__name__)


class ResponseMemory:
    """Counts the response bytes that wait for clients in one process.

    Responses are counted while they are read from their upstream, wait for
    their turn on a connection, or wait for a client to read them. While the
    bound is reached, upstreams are read only as fast as clients read, apart
    from a small piece of each response.

    Attributes
    ----------
    held_bytes
        Size of the responses held.
    is_full
        The bound is reached.
    piece_bytes
        Size of the pieces in which to read from upstreams.
    """

    __slots__ = (
        "_free_bytes",
        "_limit_bytes",
        "held_bytes",
        "is_full",
        "piece_bytes",
    )

    def __init__(self, limit_bytes: int = RESPONSE_MEMORY_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._free_bytes = limit_bytes * _FREE_FRACTION
        self.held_bytes = 0
        self.is_full = False
        self.piece_bytes = PIECE_BYTES

    def hold(self, count: int) -> None:
        """Count further bytes."""
        self.held_bytes += count
        if not self.is_full and self.held_bytes >= self._limit_bytes:
            self._change(is_full=True)

    def release(self, count: int) -> None:
        """Stop counting bytes that were passed on or discarded."""
        self.held_bytes -= count
        if self.is_full and self.held_bytes < self._free_bytes:
            self._change(is_full=False)

    def _change(self, *, is_full: bool) -> None:
        self.is_full = is_full
        self.piece_bytes = SMALL_PIECE_BYTES if is_full else PIECE_BYTES
        log_event(
            _LOG,
            "response-memory-full" if is_full else "response-memory-free",
            level=logging.WARNING if is_full else logging.INFO,
            held_bytes=self.held_bytes,
            limit_bytes=self._limit_bytes,
        )
