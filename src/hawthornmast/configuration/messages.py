"""Messages that distribute the configuration between daemons.

An index entry is ``(key, revision, digest)``. An empty digest marks a
deletion.
"""

import attrs

IndexEntry = tuple[str, int, bytes]


@attrs.frozen(kw_only=True)
class Announce:
    """Index entries that the sender accepted or learned from a peer."""

    entries: list[IndexEntry]


@attrs.frozen(kw_only=True)
class IndexDigest:
    """Digest of the sender's index; the reply has the receiver's digest."""

    digest: bytes


@attrs.frozen(kw_only=True)
class IndexRequest:
    """Request for the index entries that differ.

    Parameters
    ----------
    buckets
        Bucket digests of the sender, 8 bytes each.
    after
        Last key of the previous page; empty for the first page.
    """

    buckets: bytes
    after: str = ""


@attrs.frozen(kw_only=True)
class IndexPage:
    """Index entries in the buckets that differ, sorted by key.

    Parameters
    ----------
    entries
        Entries of the replying daemon.
    more
        Whether another page follows.
    ready
        Whether the replying daemon has completed its start-up.
    """

    entries: list[IndexEntry]
    more: bool
    ready: bool


@attrs.frozen(kw_only=True)
class Fetch:
    """Request for a document with at least the given revision.

    Parameters
    ----------
    key, revision
        Key and minimum revision of the document.
    hops
        Maximum number of times the request may still be forwarded. A daemon
        without the document forwards it to the peer that announced the entry.
    """

    key: str
    revision: int
    hops: int


@attrs.frozen(kw_only=True)
class FetchReply:
    """A document; the revision is 0 when it could not be obtained."""

    key: str
    revision: int
    content: bytes


MESSAGE_TYPES = (
    Announce,
    IndexDigest,
    IndexRequest,
    IndexPage,
    Fetch,
    FetchReply,
)
