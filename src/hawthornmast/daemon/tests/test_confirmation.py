"""Tests of the confirmation of published lists by the platform."""

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
    """Runtime of a service with two owners."""

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


async def _run_check(change, *, reachable):
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


def _return_stale_revision(platform, store):
    platform.set_stale(True)
    store.record_entry(
        "catalogue/services/x", platform.revision + 1, b"y" * 16
    )


def _stop_platform(platform, store):
    platform.set_down(True)


class TestViewConfirmation:
    @pytest.mark.parametrize(
        ("change", "expected"),
        [
            (_change_nothing, ["1"]),
            (_change_other_service, ["1"]),
            (_change_daemons, []),
            (_change_upstreams, []),
            (_return_stale_revision, []),
            (_stop_platform, []),
        ],
    )
    async def test_confirms_only_unchanged_lists(
        self, autojump_clock, change, expected
    ):
        # Guards against permits to eject an upstream that remain valid after
        # the lists have changed.
        confirmed_views, _ = await _run_check(change, reachable=("a",))
        assert confirmed_views == expected

    async def test_sends_no_request_while_all_members_are_reachable(self):
        # Guards against a number of platform calls that grows with the
        # fleet.
        confirmed_views, calls = await _run_check(
            _change_nothing, reachable=("a", "b")
        )
        assert (confirmed_views, calls) == ([], 0)
