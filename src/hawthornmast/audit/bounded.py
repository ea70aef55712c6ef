"""Log lines to a descriptor, bounded in volume and never blocking."""

import logging
import os
import time

LINES_PER_S = 400.0
"""Lines written per second in the long run."""

BURST_LINES = 1200.0

_FORMAT = (
    "time=%(asctime)s.%(msecs)03dZ level=%(levelname)s logger=%(name)s"
    " %(message)s"
)


class BoundedHandler(logging.Handler):
    """Writes lines to a non-blocking descriptor and counts what it drops.

    A reader that is too slow, or more lines than allowed, cost lines and
    never time. The next line that is written tells how many were dropped.

    Parameters
    ----------
    descriptor
        Where to write; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._tokens = BURST_LINES
        self._at = time.monotonic()
        self._rest = b""
        self.dropped = 0
        self._untold = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        now = time.monotonic()
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._at) * LINES_PER_S
        )
        self._at = now
        # Warnings pass the limit, since they are rare and matter the most.
        if self._tokens < 1.0 and record.levelno < logging.WARNING:
            self._drop()
            return
        self._tokens -= 1.0
        line = self.format(record) + "\n"
        if self._untold:
            line = f"event=log-dropped lines={self._untold}\n{line}"
        data = self._rest + line.encode(errors="backslashreplace")
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            # Nobody reads, or not fast enough.
            self._drop()
            return
        self._untold = 0
        # The rest of a line that was cut is written before the next one.
        self._rest = data[written:]

    def _drop(self) -> None:
        self.dropped += 1
        self._untold += 1


def open_bounded_log(
    descriptor: int, *, level: int = logging.INFO
) -> BoundedHandler:
    """Send the log of the process to a descriptor."""
    handler = BoundedHandler(descriptor)
    formatter = logging.Formatter(_FORMAT, datefmt="%Y-%m-%dT%H:%M:%S")
    formatter.converter = time.gmtime
    handler.setFormatter(formatter)
    logging.basicConfig(level=level, handlers=[handler], force=True)
    return handler
