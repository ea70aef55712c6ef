"""Requests that wait for an upstream's response."""

from collections.abc import Iterator

import attrs


@attrs.define(kw_only=True, eq=False)
class Attempt:
    """One request sent to an upstream."""

    upstream_id: str
    entry_name: str
    started: float
    counted: bool = False
    """Whether it was counted as slow while outstanding."""


class OutstandingAttempts:
    """Attempts without a result, in order of their start by entry."""

    def __init__(self) -> None:
        self._entries: dict[str, dict[int, Attempt]] = {}

    def add(self, attempt: Attempt) -> None:
        """Start to watch an attempt."""
        self._entries.setdefault(attempt.entry_name, {})[id(attempt)] = attempt

    def remove(self, attempt: Attempt) -> None:
        """Stop watching an attempt."""
        self._entries.get(attempt.entry_name, {}).pop(id(attempt), None)

    def pop_slow(
        self, entry_name: str, limit: float, now: float
    ) -> Iterator[Attempt]:
        """Yield the attempts that passed the limit; each at most once."""
        waiting = self._entries.get(entry_name, {})
        while waiting:
            key, attempt = next(iter(waiting.items()))
            if now - attempt.started <= limit:
                return
            del waiting[key]
            yield attempt

    @property
    def entry_names(self) -> list[str]:
        """Entries that have outstanding attempts."""
        return [name for name, waiting in self._entries.items() if waiting]
