"""Tests of documents that are fetched when a client requests a service."""

import trio

from hawthornmast import audit
from hawthornmast import configuration
from hawthornmast.daemon import ondemand


class _Services:
    def __init__(self):
        self.known = {}


def _make_documents(nursery, *names, delay=0.1):
    store = configuration.ConfigurationStore(
        validate=lambda key, text: None,
        on_accepted=lambda key, revision, text: None,
        audit=audit.AuditTrail(),
    )
    for name in names:
        store.record_entry(f"catalogue/services/{name}", 1, b"d" * 16)
    services = _Services()
    refreshes = []

    def fetch(key):
        async def deliver():
            await trio.sleep(delay)
            services.known[key.rpartition("/")[2]] = key

        nursery.start_soon(deliver)

    documents = ondemand.OnDemandDocuments(
        store=store,
        services=services,
        fetch=fetch,
        request_refresh=lambda: refreshes.append(1),
    )
    return documents, services, refreshes


class TestOnDemandDocuments:
    async def test_waits_for_the_document(self, nursery, autojump_clock):
        # Guards against 404 responses for services whose document the daemon
        # doesn't keep, which in a large fleet are nearly all services.
        documents, services, _ = _make_documents(nursery, "billing")
        await documents.fetch_and_wait("billing")
        assert "billing" in documents and "billing" in services.known

    async def test_sends_no_request_for_an_unknown_service(
        self, nursery, autojump_clock
    ):
        # Guards against clients that cause requests between daemons with
        # names of services that don't exist.
        documents, _, _ = _make_documents(nursery, "billing")
        started = trio.current_time()
        await documents.fetch_and_wait("made-up")
        assert "made-up" not in documents
        assert trio.current_time() == started

    async def test_wait_for_a_document_times_out(
        self, nursery, autojump_clock
    ):
        documents, _, _ = _make_documents(nursery, "billing", delay=60)
        with trio.fail_after(ondemand.FETCH_TIMEOUT_S + 0.1):
            await documents.fetch_and_wait("billing")

    async def test_evicts_the_least_recently_requested_service(
        self, nursery, autojump_clock, monkeypatch
    ):
        # Guards against memory that grows with the number of requested
        # services.
        monkeypatch.setattr(ondemand, "MAX_DOCUMENTS", 2)
        documents, _, refreshes = _make_documents(nursery, "a", "b", "c")
        for name in ("a", "b", "a", "c"):
            await documents.fetch_and_wait(name)
        assert [n for n in "abc" if n in documents] == ["a", "c"]
        assert refreshes == [1]
