"""Non-blocking, rate-limited log output to a file descriptor."""

import logging
import os
import time

LINES_PER_S = 400.0
"""Sustained rate of log lines."""

BURST_LINES = 1200.0
"""Size of the token bucket: lines that may exceed the sustained rate."""

_FORMAT = (
    "time=%(asctime)s.%(msecs)03dZ level=%(levelname)s logger=%(name)s"
    " %(message)s"
)


class BoundedHandler(logging.Handler):
    """Writes log lines to a non-blocking file descriptor.

    Lines are dropped if the reader is too slow or the rate limit is exceeded,
    so that logging never blocks the process. The next line that is written
    is preceded by the number of dropped lines.

    Parameters
    ----------
    descriptor
        File descriptor, which is set to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        self._unwritten = b""
        self.dropped = 0
        self._unreported = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop and count it."""
        now = time.monotonic()
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._refilled_at) * LINES_PER_S
        )
        self._refilled_at = now
        # Warnings are exempt from the limit: they are rare and the most
        # important lines.
        if self._tokens < 1.0 and record.levelno < logging.WARNING:
            self._drop()
            return
        self._tokens -= 1.0
        line = self.format(record) + "\n"
        if self._unreported:
            line = f"event=log-dropped lines={self._unreported}\n{line}"
        data = self._unwritten + line.encode(errors="backslashreplace")
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            # The reader is gone or too slow.
            self._drop()
            return
        self._unreported = 0
        # After a partial write, the remaining bytes precede the next line.
        self._unwritten = data[written:]

    def _drop(self) -> None:
        self.dropped += 1
        self._unreported += 1


def open_bounded_log(
    descriptor: int, *, level: int = logging.INFO
) -> BoundedHandler:
    """Configure the root logger to write to a file descriptor."""
    handler = BoundedHandler(descriptor)
    formatter = logging.Formatter(_FORMAT, datefmt="%Y-%m-%dT%H:%M:%S")
    formatter.converter = time.gmtime
    handler.setFormatter(formatter)
    logging.basicConfig(level=level, handlers=[handler], force=True)
    return handler
