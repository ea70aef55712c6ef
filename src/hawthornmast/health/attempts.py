"""Requests in flight to upstreams."""

from collections.abc import Iterator

import attrs


@attrs.define(kw_only=True, eq=False)
class Attempt:
    """One request sent to an upstream."""

    upstream_id: str
    entry_name: str
    started: float
    counted_as_slow: bool = False
    """Whether it already counted as slow while in flight."""


class OutstandingAttempts:
    """Attempts without a result, by entry in order of their start."""

    def __init__(self) -> None:
        self._entries: dict[str, dict[int, Attempt]] = {}

    def add(self, attempt: Attempt) -> None:
        """Track an attempt."""
        self._entries.setdefault(attempt.entry_name, {})[id(attempt)] = attempt

    def remove(self, attempt: Attempt) -> None:
        """Stop tracking an attempt."""
        self._entries.get(attempt.entry_name, {}).pop(id(attempt), None)

    def pop_slow(
        self, entry_name: str, limit: float, now: float
    ) -> Iterator[Attempt]:
        """Remove and yield the attempts that exceeded the latency limit."""
        waiting = self._entries.get(entry_name, {})
        while waiting:
            key, attempt = next(iter(waiting.items()))
            if now - attempt.started <= limit:
                return
            del waiting[key]
            yield attempt

    @property
    def entry_names(self) -> list[str]:
        """Names of the entries with outstanding attempts."""
        return [name for name, waiting in self._entries.items() if waiting]
