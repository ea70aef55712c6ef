"""Process of a daemon: logging, signals and exit status."""

from collections.abc import AsyncIterator
import logging
import signal
import sys

import trio

from hawthornmast.audit import log_event
from hawthornmast.daemon.member import Daemon
from hawthornmast.settings import Settings

_LOG = logging.getLogger("hawthornmast.daemon")


def configure_logging(level: str) -> None:
    """Log to standard error, one key=value line for each event."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        logging.Formatter(
            "time=%(asctime)s.%(msecs)03dZ level=%(levelname)s "
            "logger=%(name)s %(message)s",
            datefmt="%Y-%m-%dT%H:%M:%S",
        )
    )
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)


def run_daemon(settings: Settings) -> int:
    """Run a daemon until SIGTERM or SIGINT; return the exit status."""
    configure_logging(settings.log.level)
    status = 0
    try:
        trio.run(_run, settings)
    except* OSError as group:
        # For example a port that is in use. Any other exception is a bug and
        # is raised.
        log_event(
            _LOG,
            "daemon-failed",
            level=logging.ERROR,
            step="start",
            detail=group.exceptions[0],
        )
        status = 1
    return status


async def _run(settings: Settings) -> None:
    daemon = Daemon(settings)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_stop_on_signal, daemon, nursery.cancel_scope)
        await daemon.start(nursery)


async def _stop_on_signal(daemon: Daemon, scope: trio.CancelScope) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for number in received:
            log_event(_LOG, "daemon-stopping", signal=number)
            break
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_ignore_signals, received)
            await daemon.drain()
            await daemon.close()
            nursery.cancel_scope.cancel()
        log_event(_LOG, "daemon-stopped")
        scope.cancel()


async def _ignore_signals(received: AsyncIterator[int]) -> None:
    # A signal that isn't received is raised again when the receiver closes,
    # and would change the exit status of a graceful shutdown.
    async for number in received:
        log_event(_LOG, "signal-ignored", signal=number, step="drain")
