"""Tests of documents that are fetched when a client asks for a service."""

import trio

from hawthornmast import audit
from hawthornmast import configuration
from hawthornmast.daemon import ondemand


class _Services:
    def __init__(self):
        self.known = {}


def _make(nursery, *names, delay=0.1):
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
        async def arrive():
            await trio.sleep(delay)
            services.known[key.rpartition("/")[2]] = key

        nursery.start_soon(arrive)

    documents = ondemand.OnDemandDocuments(
        store=store,
        services=services,
        fetch=fetch,
        refresh=lambda: refreshes.append(1),
    )
    return documents, services, refreshes


class TestOnDemandDocuments:
    async def test_waits_for_the_document(self, nursery, autojump_clock):
        # Guards against 404 for the services that a daemon of a large fleet
        # holds no document of, nearly all of them.
        documents, services, _ = _make(nursery, "billing")
        await documents.prepare("billing")
        assert "billing" in documents and "billing" in services.known

    async def test_asks_nobody_for_an_unknown_service(
        self, nursery, autojump_clock
    ):
        # Guards against requests between daemons that clients can cause by
        # made-up names.
        documents, _, _ = _make(nursery, "billing")
        started = trio.current_time()
        await documents.prepare("made-up")
        assert "made-up" not in documents
        assert trio.current_time() == started

    async def test_gives_up_on_a_document_that_does_not_arrive(
        self, nursery, autojump_clock
    ):
        documents, _, _ = _make(nursery, "billing", delay=60)
        with trio.fail_after(ondemand.WAIT_S + 0.1):
            await documents.prepare("billing")

    async def test_keeps_the_latest_names(
        self, nursery, autojump_clock, monkeypatch
    ):
        # Guards against memory that grows with the services asked for.
        monkeypatch.setattr(ondemand, "CAPACITY", 2)
        documents, _, refreshes = _make(nursery, "a", "b", "c")
        for name in ("a", "b", "a", "c"):
            await documents.prepare(name)
        assert [n for n in "abc" if n in documents] == ["a", "c"]
        assert refreshes == [1]
