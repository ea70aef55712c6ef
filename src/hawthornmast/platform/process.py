"""One process on the platform: start, reload and end."""

import logging
import signal
import socket
import sys

from result import Err
import trio

from hawthornmast import http
from hawthornmast.audit import log_event
from hawthornmast.audit import open_bounded_log
from hawthornmast.common import StepError
from hawthornmast.gateway import GatewayMember
from hawthornmast.platform import settings as settings_module
from hawthornmast.platform.headers import ClientHeaders
from hawthornmast.platform.headers import UpstreamHeaders
from hawthornmast.platform.pages import Pages
from hawthornmast.platform.settings import PlatformSettings
from hawthornmast.platform.store import PlatformStore

_LOG = logging.getLogger("hawthornmast.platform")

METRICS_PORT = 9464
"""Port of the metrics page, as the deploy file names it."""


def run_process(path: str, *, listener: socket.socket | None = None) -> int:
    """Run a member until SIGTERM; return the exit status.

    Parameters
    ----------
    path
        The settings file.
    listener
        Socket that listens on the clients' address already.
    """
    log = open_bounded_log(sys.stdout.fileno())
    loaded = settings_module.load_settings(path)
    if isinstance(loaded, Err):
        _log_error("start-failed", loaded.err_value)
        log.close()
        return 2
    status = 0
    try:
        trio.run(_run, loaded.ok_value, path, listener)
    except* OSError as group:
        log_event(
            _LOG,
            "start-failed",
            level=logging.ERROR,
            step="open-ports",
            detail=group.exceptions[0],
        )
        status = 1
    finally:
        log.close()
    return status


async def _run(
    settings: PlatformSettings, path: str, listener: socket.socket | None
) -> None:
    store = PlatformStore(*settings.store)
    member = GatewayMember(
        settings.options,
        store,
        client_dialect=ClientHeaders(),
        upstream_dialect=UpstreamHeaders(),
    )
    pages = Pages(member)
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGHUP
        ) as signals:
            await member.start(nursery, listener=listener)
            metrics = (settings.options.instance.host, METRICS_PORT)
            for address, handler in (
                (settings.ready, pages.answer_ready),
                (settings.directory, pages.answer_directory),
                (metrics, pages.answer_metrics),
            ):
                if address is not None:
                    host, port = address
                    await http.open_server(
                        nursery, handler, host=host, port=port
                    )
            async for number in signals:
                if number == signal.SIGTERM:
                    break
                _reload(member, path)
            await member.drain()
        nursery.cancel_scope.cancel()


def _reload(member: GatewayMember, path: str) -> None:
    """Apply the settings that may change while the process runs."""
    loaded = settings_module.load_settings(path)
    if isinstance(loaded, Err):
        _log_error("reload-refused", loaded.err_value)
        return
    member.reload(loaded.ok_value.options)


def _log_error(event: str, error: StepError) -> None:
    log_event(
        _LOG,
        event,
        level=logging.ERROR,
        step=error.step,
        detail=error.detail,
        peer=error.peer,
    )
