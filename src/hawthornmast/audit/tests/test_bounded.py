"""Tests of the non-blocking, rate-limited log output."""

import logging
import os

import pytest

from hawthornmast.audit import bounded
from hawthornmast.audit import BoundedHandler


@pytest.fixture
def pipe() -> tuple[int, int]:
    """Return the read end and the write end of a pipe."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def emit(
    handler: BoundedHandler, text: str, level: int = logging.INFO
) -> None:
    """Pass one log record to a handler."""
    handler.emit(logging.LogRecord("n", level, "", 0, text, None, None))


class TestBoundedHandler:
    """Excess lines are dropped and logging never blocks."""

    def test_writes_lines(self, pipe: tuple[int, int]) -> None:
        handler = BoundedHandler(pipe[1])
        emit(handler, "event=a")
        emit(handler, "event=b")
        assert os.read(pipe[0], 100) == b"event=a\nevent=b\n"

    def test_lines_beyond_the_burst_are_dropped_and_counted(
        self, pipe: tuple[int, int], monkeypatch: pytest.MonkeyPatch
    ) -> None:
        now = [0.0]
        monkeypatch.setattr(bounded.time, "monotonic", lambda: now[0])
        handler = BoundedHandler(pipe[1])
        extra = 50
        for _ in range(int(bounded.BURST_LINES) + extra):
            emit(handler, "x")
        assert handler.dropped == extra
        os.read(pipe[0], 1_000_000)
        now[0] += 1.0
        emit(handler, "event=last")
        written = os.read(pipe[0], 1000).decode()
        assert written == f"event=log-dropped lines={extra}\nevent=last\n"

    def test_warnings_are_exempt_from_the_rate_limit(
        self, pipe: tuple[int, int]
    ) -> None:
        handler = BoundedHandler(pipe[1])
        for _ in range(int(bounded.BURST_LINES) + 500):
            emit(handler, "x")
        os.read(pipe[0], 1_000_000)
        emit(handler, "event=lost", logging.WARNING)
        assert b"event=lost\n" in os.read(pipe[0], 1000)

    def test_stalled_reader_does_not_block(
        self, pipe: tuple[int, int]
    ) -> None:
        handler = BoundedHandler(pipe[1])
        for _ in range(200):
            emit(handler, "x" * 1000)
        assert handler.dropped > 0
        # Only the last line may have been written partially.
        data = b""
        while True:
            try:
                data += os.read(pipe[0], 65_536)
            except BlockingIOError:
                break
        emit(handler, "event=after")
        data += os.read(pipe[0], 65_536)
        lines = data.decode().splitlines()
        kept = [line for line in lines if not line.startswith("event=")]
        assert all(line == "x" * 1000 for line in kept)
        assert lines[-1] == "event=after"

    def test_closed_reader(self) -> None:
        reader, writer = os.pipe()
        os.close(reader)
        handler = BoundedHandler(writer)
        emit(handler, "x")
        os.close(writer)
        assert handler.dropped == 1
