"""When the platform last confirmed a part of a member's state.

One member reads the platform, and the others learn from its summary, or from
that of a third member, how long ago that was. A summary that waited in the
socket of a stalled member, or that a member made after its own clock stood
still, states an age that is too small. So each read has an identifier, and
its age is the largest that any member stated: what is learnt late of a read
that is known already can't make it younger. Otherwise members that stall
briefly, one after another, put off the next read of the whole fleet.
"""

from collections.abc import Callable
import hashlib
from typing import Any

import attrs

NEVER = -1e6
"""Time of confirmation of state that was never confirmed. It is finite,
because ages are logged as integers."""

MAX_READERS = 64
"""Number of readers whose last read a member remembers."""


@attrs.frozen
class ReadId:
    """Identifier of one read of the platform.

    Parameters
    ----------
    reader
        Identifier of the process that read.
    number
        Number of the read; those of a process increase.
    """

    reader: bytes
    number: int


def make_reader_id(instance_id: str, incarnation: int) -> bytes:
    """Return the short identifier of a process for its reads."""
    name = f"{instance_id} {incarnation}".encode()
    return hashlib.blake2b(name, digest_size=8).digest()


def decode_read_id(value: Any) -> ReadId | None:
    """Decode the identifier of a read; None if there is none.

    Raises
    ------
    ValueError, TypeError
        If the value is malformed.
    """
    if value is None:
        return None
    reader, number = value
    return ReadId(bytes(reader), int(number))


class ConfirmationTracker:
    """Knows the latest read that confirmed a part of the state.

    Parameters
    ----------
    reader
        Identifier of this process.
    clock
        Monotonic time in seconds.

    Attributes
    ----------
    read_id
        The latest read; None if there is none, or if the member that told of
        it names none.
    confirmed_at
        Time of the latest read in seconds. It decreases when a member states
        that the read is older.
    """

    def __init__(self, reader: bytes, *, clock: Callable[[], float]) -> None:
        self._reader = reader
        self._clock = clock
        self._own_reads = 0
        self._last_reads: dict[bytes, tuple[ReadId, float]] = {}
        self._unnamed_at = NEVER
        self.read_id: ReadId | None = None
        self.confirmed_at = NEVER

    def age_s(self) -> float:
        """Return the seconds since the latest read."""
        return self._clock() - self.confirmed_at

    def is_latest(self, value: Any, age_s: Any) -> bool:
        """Return whether a peer states nothing new of the latest read.

        Parameters
        ----------
        value
            Encoded identifier of the read that the peer names.
        age_s
            Age of the read in seconds that the peer states.
        """
        return (
            self.read_id is not None
            and value == [self.read_id.reader, self.read_id.number]
            and isinstance(age_s, float)
            and age_s <= self.age_s()
        )

    def record_read(self, asked_at: float) -> None:
        """Record a read of this member.

        Parameters
        ----------
        asked_at
            Time at which the platform was asked.
        """
        self._own_reads += 1
        self._learn(ReadId(self._reader, self._own_reads), asked_at)

    def learn(self, read_id: ReadId | None, confirmed_at: float) -> None:
        """Learn of a read from another member.

        Parameters
        ----------
        read_id
            None if the member names none, as earlier versions do.
        confirmed_at
            Time of the read, by the age that the member states.
        """
        if read_id is None:
            self._unnamed_at = max(self._unnamed_at, confirmed_at)
            self._update()
        else:
            self._learn(read_id, confirmed_at)

    def _learn(self, read_id: ReadId, confirmed_at: float) -> None:
        known = self._last_reads.get(read_id.reader)
        if known is not None:
            if read_id.number < known[0].number:
                return
            if read_id.number == known[0].number:
                confirmed_at = min(confirmed_at, known[1])
        self._last_reads[read_id.reader] = (read_id, confirmed_at)
        if len(self._last_reads) > MAX_READERS:
            oldest = min(self._last_reads.values(), key=lambda item: item[1])
            del self._last_reads[oldest[0].reader]
        self._update()

    def _update(self) -> None:
        self.read_id, self.confirmed_at = max(
            [*self._last_reads.values(), (None, self._unnamed_at)],
            key=lambda item: item[1],
        )
