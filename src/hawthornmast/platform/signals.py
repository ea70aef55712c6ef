"""Signals of the process while it can't handle them.

The default action of SIGTERM and SIGHUP ends a process. A process blocks them
before it does anything else, so that one that arrives while its modules are
imported stays pending until the process can handle it. This module imports
only the standard library, since a signal before the block ends the process.
"""

from collections.abc import Iterator
import contextlib
import signal

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGHUP)


def block_signals() -> None:
    """Keep the handled signals pending until they are delivered."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


@contextlib.contextmanager
def deliver_signals() -> Iterator[None]:
    """Deliver the handled signals, also pending ones, within the block.

    They are blocked again afterwards. The receiver that is open around the
    block raises signals again that it has not passed on, and these would
    otherwise change the exit status of a graceful shutdown.
    """
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
    try:
        yield
    finally:
        block_signals()
