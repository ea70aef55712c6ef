"""Tests of the confirmation of lists by the platform."""

import pytest

from hawthornmast import audit
from hawthornmast import configuration
from hawthornmast.daemon.confirmation import ViewConfirmation
from standins.platform import Platform

DAEMONS = "instances/daemons"


class _Monitor:
    def __init__(self):
        self.confirmed = []

    def confirm_view(self, view, sent_at):
        self.confirmed.append(view)


class _Runtime:
    """A service of two owners, of which one may be gone."""

    group = ("a", "b")
    view = "1"

    def __init__(self):
        self.monitor = _Monitor()

    @property
    def service(self):
        return self

    @property
    def name(self):
        return "billing"


async def _check(change, *, reachable):
    platform = Platform()
    platform.put(DAEMONS, "[]")
    store = configuration.ConfigurationStore(
        validate=lambda key, text: None,
        on_accepted=lambda key, revision, text: None,
        audit=audit.AuditTrail(),
    )
    store.record_entry(DAEMONS, platform.revision, b"x" * 16)
    runtime = _Runtime()
    confirmation = ViewConfirmation(
        platform=configuration.PlatformClient(platform.request),
        store=store,
        services=[runtime],
        reachable=lambda instance_id: instance_id in reachable,
    )
    change(platform, store)
    await confirmation.check()
    return runtime.monitor.confirmed, platform.calls["changes"]


def _change_nothing(platform, store):
    pass


def _change_daemons(platform, store):
    platform.put(DAEMONS, "[1]")


def _change_upstreams(platform, store):
    platform.put("instances/upstreams/billing", "[]")


def _change_other_service(platform, store):
    platform.put("instances/upstreams/other", "[]")


def _answer_stale(platform, store):
    platform.set_stale(True)
    store.record_entry(
        "catalogue/services/x", platform.revision + 1, b"y" * 16
    )


def _stop(platform, store):
    platform.set_down(True)


class TestViewConfirmation:
    @pytest.mark.parametrize(
        ("change", "confirmed"),
        [
            (_change_nothing, ["1"]),
            (_change_other_service, ["1"]),
            (_change_daemons, []),
            (_change_upstreams, []),
            (_answer_stale, []),
            (_stop, []),
        ],
    )
    async def test_confirms_only_unchanged_lists(
        self, autojump_clock, change, confirmed
    ):
        # Guards against permits that stay valid under an outdated list.
        found, _ = await _check(change, reachable=("a",))
        assert found == confirmed

    async def test_asks_nothing_while_all_members_answer(self):
        # Guards against platform calls that grow with the fleet.
        found, calls = await _check(_change_nothing, reachable=("a", "b"))
        assert (found, calls) == ([], 0)
