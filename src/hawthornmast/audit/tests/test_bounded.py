"""Log lines that are bounded in volume and never block."""

import logging
import os

import pytest

from hawthornmast.audit import bounded
from hawthornmast.audit import BoundedHandler


@pytest.fixture
def pipe() -> tuple[int, int]:
    """Return both ends of a pipe."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def emit(
    handler: BoundedHandler, text: str, level: int = logging.INFO
) -> None:
    """Emit one record."""
    handler.emit(logging.LogRecord("n", level, "", 0, text, None, None))


class TestBoundedHandler:
    """A slow reader or too many lines cost lines, never time."""

    def test_writes_lines(self, pipe: tuple[int, int]) -> None:
        handler = BoundedHandler(pipe[1])
        emit(handler, "event=a")
        emit(handler, "event=b")
        assert os.read(pipe[0], 100) == b"event=a\nevent=b\n"

    def test_drops_lines_beyond_the_rate_and_tells_how_many(
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
        told = os.read(pipe[0], 1000).decode()
        assert told == f"event=log-dropped lines={extra}\nevent=last\n"

    def test_warnings_pass_the_rate(self, pipe: tuple[int, int]) -> None:
        handler = BoundedHandler(pipe[1])
        for _ in range(int(bounded.BURST_LINES) + 500):
            emit(handler, "x")
        os.read(pipe[0], 1_000_000)
        emit(handler, "event=lost", logging.WARNING)
        assert b"event=lost\n" in os.read(pipe[0], 1000)

    def test_a_reader_that_stands_still_blocks_nothing(
        self, pipe: tuple[int, int]
    ) -> None:
        handler = BoundedHandler(pipe[1])
        for _ in range(200):
            emit(handler, "x" * 1000)
        assert handler.dropped > 0
        # What was written is whole lines, with at most one cut at the end.
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

    def test_a_reader_that_is_gone(self) -> None:
        reader, writer = os.pipe()
        os.close(reader)
        handler = BoundedHandler(writer)
        emit(handler, "x")
        os.close(writer)
        assert handler.dropped == 1
