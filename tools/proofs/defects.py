"""Runs a daemon with one mechanism disabled, as a control for the checks.

``python -m tools.proofs.defects NAME SETTINGS``
"""

from collections.abc import Callable
import math
import sys
from typing import Any

import attrs

from hawthornmast import settings
from hawthornmast.common import Outcome
from hawthornmast.configuration.store import ConfigurationStore
from hawthornmast.daemon import member
from hawthornmast.daemon import run_daemon
from hawthornmast.daemon import runtime
from hawthornmast.forwarding import forwarder
from hawthornmast.forwarding import tickets
from hawthornmast.health import permits


def _pass_crossed_answers() -> None:
    """Don't compare the request identifier of a response."""
    _replace(forwarder, "matches_request", lambda exchange, request: True)


def _report_unknown_as_not_run() -> None:
    """Report ``not-run`` to clients after the first byte was written."""
    build_response = forwarder.build_error_response

    def build_not_run(*arguments: Any, **options: Any) -> Any:
        if options.get("outcome") is Outcome.UNKNOWN:
            options["outcome"] = Outcome.NOT_RUN
        return build_response(*arguments, **options)

    _replace(forwarder, "build_error_response", build_not_run)


def _forget_tickets() -> None:
    """Execute a request again when its ticket is redeemed again."""
    redeem = tickets.TicketStore.redeem

    def redeem_again(self: Any, *arguments: Any) -> Any:
        used = redeem(self, *arguments)
        if isinstance(used, tickets.Repeat):
            return tickets.FirstUse(attrs.evolve(used.record))
        return used

    _replace(tickets.TicketStore, "redeem", redeem_again)


def _repeat_after_write() -> None:
    """Retry on another upstream after the first byte, even with a ticket."""
    after_error = forwarder.Forwarder._after_error

    def try_again(
        self: Any,
        error: Any,
        upstream: Any,
        progress: Any,
        runtime: Any,
        entry: Any,
        attempts: Any,
    ) -> Any:
        entry = attrs.evolve(entry, idempotent=True)
        return after_error(
            self, error, upstream, progress, runtime, entry, attempts
        )

    _replace(forwarder.Forwarder, "_after_error", try_again)


def _ignore_leaving() -> None:
    """Ignore upstreams' announcements that they leave."""

    def mark_leaving(*arguments: Any, **options: Any) -> bool:
        return False

    _replace(runtime.Runtime, "mark_leaving", mark_leaving)


def _ignore_leaving_list() -> None:
    """Treat upstreams that are listed as leaving as live."""
    update = runtime.Runtime.update_lists

    def update_lists(
        self: Any, upstreams: Any, group: Any, **options: Any
    ) -> None:
        live = [attrs.evolve(u, state="live") for u in upstreams]
        update(self, live, group, **options)

    _replace(runtime.Runtime, "update_lists", update_lists)


def _stop_at_once() -> None:
    """Exit on SIGTERM without waiting for requests in flight."""

    async def drain(self: Any) -> None:
        self._leaving = True

    _replace(member.Daemon, "drain", drain)


def _accept_older() -> None:
    """Accept a document of any revision other than the one in force."""

    def is_acceptable(
        self: Any, key: str, revision: int, digest: bytes, *, keep: bool
    ) -> bool:
        return bool(self.entry(key) != (revision, digest))

    _replace(ConfigurationStore, "is_acceptable", is_acceptable)


def _eject_without_permit() -> None:
    """Eject every upstream considered failed, without a permit."""

    def acquire(self: Any, upstream_id: str, now: float) -> bool:
        # A negative index that isn't used yet; real permits have indexes >= 0.
        permit = permits._Permit(usable_from=now, upstream_id=upstream_id)
        self._permits[-1 - len(self._permits)] = permit
        return True

    def find_expiry(self: Any, upstream_id: str, now: float) -> float:
        # Any deadline in the future permits the ejection.
        held = [p.upstream_id for p in self._permits.values()]
        return now + 60.0 if upstream_id in held else -math.inf

    _replace(permits.PermitTable, "acquire", acquire)
    _replace(permits.PermitTable, "find_expiry", find_expiry)


def _replace(target: Any, name: str, value: Any) -> None:
    # Raises AttributeError for a name that no longer exists; the control would
    # otherwise run an unmodified daemon.
    getattr(target, name)
    setattr(target, name, value)


DEFECTS: dict[str, Callable[[], None]] = {
    "pass-crossed-answers": _pass_crossed_answers,
    "report-unknown-as-not-run": _report_unknown_as_not_run,
    "forget-tickets": _forget_tickets,
    "repeat-after-write": _repeat_after_write,
    "ignore-leaving": _ignore_leaving,
    "ignore-leaving-list": _ignore_leaving_list,
    "stop-at-once": _stop_at_once,
    "accept-older": _accept_older,
    "eject-without-permit": _eject_without_permit,
}


def main() -> int:
    """Disable one mechanism and run the daemon."""
    name, path = sys.argv[1:]
    DEFECTS[name]()
    return run_daemon(settings.load_settings(path).unwrap())


if __name__ == "__main__":
    sys.exit(main())
