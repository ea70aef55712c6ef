"""Messages between daemons about the configuration.

An index entry is ``(key, revision, digest)``; an empty digest is a deletion.
"""

import attrs

IndexEntry = tuple[str, int, bytes]


@attrs.frozen(kw_only=True)
class Announce:
    """Entries that the sender accepted or learned from one that did."""

    entries: list[IndexEntry]


@attrs.frozen(kw_only=True)
class IndexDigest:
    """Digest of the sender's whole index; answered with the receiver's."""

    digest: bytes


@attrs.frozen(kw_only=True)
class IndexRequest:
    """Question for the entries that differ.

    Parameters
    ----------
    buckets
        The sender's bucket digests, 8 bytes each.
    after
        Last key of the page before; empty for the first page.
    """

    buckets: bytes
    after: str = ""


@attrs.frozen(kw_only=True)
class IndexPage:
    """Entries in the buckets that differ, in order of their keys.

    Parameters
    ----------
    entries
        Entries of the answering daemon.
    more
        Whether another page follows.
    ready
        False while the answering daemon has not completed its own start-up.
    """

    entries: list[IndexEntry]
    more: bool
    ready: bool


@attrs.frozen(kw_only=True)
class Fetch:
    """Question for a document of a revision or a higher one.

    Parameters
    ----------
    key, revision
        Wanted document.
    hops
        How often daemons without the document may pass the question on
        toward the daemon from which they learned the entry.
    """

    key: str
    revision: int
    hops: int


@attrs.frozen(kw_only=True)
class FetchReply:
    """A document; revision 0 when the answering daemon can't get it."""

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
