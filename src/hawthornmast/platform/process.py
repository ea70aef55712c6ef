"""Startup, reload and shutdown of a daemon on the platform."""

import logging
import signal
import socket
import sys

from result import Err
import trio

from hawthornmast import http
from hawthornmast.audit import log_event
from hawthornmast.audit import log_failures
from hawthornmast.audit import open_bounded_log
from hawthornmast.common import StepError
from hawthornmast.gateway import GatewayMember
from hawthornmast.platform import settings as settings_module
from hawthornmast.platform.endpoints import Endpoints
from hawthornmast.platform.headers import PlatformClientDialect
from hawthornmast.platform.headers import PlatformUpstreamDialect
from hawthornmast.platform.settings import MemberSettings
from hawthornmast.platform.signals import deliver_signals
from hawthornmast.platform.signals import HANDLED_SIGNALS
from hawthornmast.platform.store import PlatformStore

_LOG = logging.getLogger("hawthornmast.platform")

METRICS_PORT = 9464
"""Port of the metrics endpoint; must match ``deploy/system.toml``."""


def run_process(path: str, *, listener: socket.socket | None = None) -> int:
    """Run a daemon until SIGTERM and return the exit status.

    Parameters
    ----------
    path
        Path of the settings file.
    listener
        Socket that already listens on the client address, if any.
    """
    log = open_bounded_log(sys.stdout.fileno())
    loaded = settings_module.load_settings(path)
    if isinstance(loaded, Err):
        _log_step_error("start-failed", loaded.err_value)
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
    settings: MemberSettings, path: str, listener: socket.socket | None
) -> None:
    store = PlatformStore(*settings.store_address)
    member = GatewayMember(
        settings.options,
        store,
        client_dialect=PlatformClientDialect(),
        upstream_dialect=PlatformUpstreamDialect(),
    )
    endpoints = Endpoints(member)
    async with trio.open_nursery() as nursery:
        with (
            trio.open_signal_receiver(*HANDLED_SIGNALS) as signals,
            deliver_signals(),
        ):
            await member.start(nursery, listener=listener)
            metrics_address = (settings.options.instance.host, METRICS_PORT)
            for address, handler in (
                (settings.ready_address, endpoints.handle_ready),
                (settings.directory_address, endpoints.handle_resolve),
                (metrics_address, endpoints.handle_metrics),
            ):
                if address is not None:
                    host, port = address
                    await http.open_server(
                        nursery, handler, host=host, port=port
                    )
            async for signal_number in signals:
                if signal_number == signal.SIGTERM:
                    break
                with log_failures("reload"):
                    _reload(member, path)
            await member.drain()
        nursery.cancel_scope.cancel()


def _reload(member: GatewayMember, path: str) -> None:
    """Reload the settings file and apply the settings that may change."""
    loaded = settings_module.load_settings(path)
    if isinstance(loaded, Err):
        _log_step_error("reload-refused", loaded.err_value)
        return
    member.reload(loaded.ok_value.options)


def _log_step_error(event: str, error: StepError) -> None:
    log_event(
        _LOG,
        event,
        level=logging.ERROR,
        step=error.step,
        detail=error.detail,
        peer=error.peer,
    )
