"""Tests for the acceptance of documents by one daemon."""

import pytest
from result import Err
from result import Ok

from hawthornmast import audit
from hawthornmast import configuration

KEY = "catalogue/services/billing"


def make_store():
    accepted = []
    trail = audit.AuditTrail(clock=lambda: 0.0)
    store = configuration.ConfigurationStore(
        validate=lambda key, text: Err("bad") if "bad" in text else Ok(None),
        on_accepted=lambda *fields: accepted.append(fields),
        audit=trail,
    )
    return store, accepted, trail


class TestConfigurationStore:
    @pytest.mark.parametrize(
        ("revision", "content"), [(4, b"old"), (5, b"other"), (9, b"bad")]
    )
    def test_newest_valid_revision_is_kept(self, revision, content):
        # Guards against replacement by an older, an equal or an invalid
        # revision.
        store, accepted, _ = make_store()
        store.accept(KEY, 5, b"good", keep=True)
        store.accept(KEY, revision, content, keep=True)
        assert store.document(KEY) == (5, b"good")
        assert accepted == [(KEY, 5, "good")]

    @pytest.mark.parametrize("content", [b"bad", b"\xff"])
    def test_rejected_revision_is_recorded(self, content):
        store, _, trail = make_store()
        assert store.accept(KEY, 5, content, keep=True).is_err()
        digest = configuration.compute_digest(content)
        assert store.is_rejected(KEY, 5, digest)
        assert not store.is_acceptable(KEY, 5, digest, keep=True)
        assert store.revision_of(KEY) == 0
        assert trail.counts == {audit.Action.CONFIGURATION_REFUSED: 1}

    def test_older_put_after_deletion_is_ignored(self):
        store, accepted, _ = make_store()
        store.accept(KEY, 5, b"good", keep=True)
        assert store.record_entry(KEY, 7, b"")
        store.accept(KEY, 6, b"older", keep=True)
        assert store.document(KEY) is None
        assert accepted[-1] == (KEY, 7, None)

    def test_pages_contain_all_differences(self):
        # Guards against entries lost between pages, and against a digest that
        # depends on the order of changes.
        first, second = make_store()[0], make_store()[0]
        for number in range(500):
            first.record_entry(f"key-{number}", number + 1, b"d" * 16)
        after, more = "", True
        while more:
            page, more = first.differing_entries(
                second.buckets, after=after, limit_bytes=1000
            )
            assert 0 < len(page) <= 25
            after = page[-1][0]
            for entry in reversed(page):
                second.record_entry(*entry)
        # The set of differing buckets shrinks while pages arrive. A second
        # round transfers the rest, as the periodic repair does.
        rest, _ = first.differing_entries(
            second.buckets, after="", limit_bytes=10**6
        )
        for entry in rest:
            second.record_entry(*entry)
        assert first.digest == second.digest
        assert len(second) == 500
