"""Index of accepted revisions, and the documents that are in effect."""

from collections.abc import Callable
from collections.abc import Iterator
import hashlib
from typing import Any

from result import Err
from result import Ok
from result import Result

from hawthornmast.audit import Action
from hawthornmast.audit import AuditTrail
from hawthornmast.common import StepError
from hawthornmast.configuration.messages import IndexEntry

BUCKET_COUNT = 256
"""Number of buckets in the index digest; about 40 keys each at 10,000 keys."""

_BUCKET_BYTES = 8
_BUCKET_MASK = 2**64 - 1
_MAX_REJECTED_PER_KEY = 8

Validator = Callable[[str, str], Result[Any, Any]]
AcceptedCallback = Callable[[str, int, str | None], None]


def compute_digest(content: bytes) -> bytes:
    """Return the 16-byte digest of a value, as published by the platform."""
    return hashlib.sha256(content).digest()[:16]


def _hash_key(key: str) -> int:
    digest = hashlib.blake2b(key.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big") % BUCKET_COUNT


def _hash_entry(key: str, revision: int, digest: bytes) -> int:
    text = f"{key}\0{revision}\0".encode() + digest
    return int.from_bytes(
        hashlib.blake2b(text, digest_size=_BUCKET_BYTES).digest(), "big"
    )


class ConfigurationStore:
    """Stores the index of all keys and the documents that are needed.

    The revision of a key never decreases. A deletion is a revision with an
    empty digest.

    Parameters
    ----------
    validate
        ``validate(key, text)`` returns Ok for a valid document.
    on_accepted
        Called with key, revision and text (None for a deletion) when a
        revision of a kept document takes effect.
    audit
        Audit trail for accepted and rejected revisions.
    """

    def __init__(
        self,
        *,
        validate: Validator,
        on_accepted: AcceptedCallback,
        audit: AuditTrail,
    ) -> None:
        self._validate = validate
        self._on_accepted = on_accepted
        self._audit = audit
        self._index: dict[str, tuple[int, bytes]] = {}
        self._documents: dict[str, tuple[int, bytes]] = {}
        self._rejected: dict[str, list[tuple[int, bytes]]] = {}
        self._buckets = [0] * BUCKET_COUNT
        # Cached because it is read for each accepted document.
        self._highest = 0

    def __len__(self) -> int:
        return len(self._index)

    def __iter__(self) -> Iterator[IndexEntry]:
        for key, (revision, digest) in self._index.items():
            yield key, revision, digest

    def revision_of(self, key: str) -> int:
        """Return the highest accepted revision of a key, or 0."""
        return self._index.get(key, (0, b""))[0]

    def document(self, key: str) -> tuple[int, bytes] | None:
        """Return the revision and content in effect on this daemon."""
        return self._documents.get(key)

    def entry(self, key: str) -> tuple[int, bytes] | None:
        """Return the revision and digest in the index, or None."""
        return self._index.get(key)

    def is_rejected(self, key: str, revision: int, digest: bytes) -> bool:
        """Return whether this daemon rejected exactly this document."""
        return (revision, digest) in self._rejected.get(key, ())

    def is_acceptable(
        self, key: str, revision: int, digest: bytes, *, keep: bool
    ) -> bool:
        """Return whether a document of this revision would be accepted."""
        if self.is_rejected(key, revision, digest):
            return False
        known = self._index.get(key)
        if known is None or revision > known[0]:
            return True
        # The document may be missing although its index entry exists.
        missing = keep and key not in self._documents
        return missing and bool(digest) and known == (revision, digest)

    def record_entry(self, key: str, revision: int, digest: bytes) -> bool:
        """Record an index entry without a document; return whether it is new.

        Use this only for deletions and for documents that this daemon does
        not keep.
        """
        if not self.is_acceptable(key, revision, digest, keep=False):
            return False
        self._set_entry(key, revision, digest)
        document = self._documents.pop(key, None)
        if document is not None and not digest:
            self._record_accepted(key, revision, "")
            self._on_accepted(key, revision, None)
        return True

    def accept(
        self,
        key: str,
        revision: int,
        content: bytes,
        *,
        keep: bool,
        peer: str = "",
    ) -> Result[bool, StepError]:
        """Validate a document and put it in effect.

        Returns whether its index entry is new, or Err when it is rejected.
        """
        digest = compute_digest(content)
        if not self.is_acceptable(key, revision, digest, keep=keep):
            return Ok(False)
        problem = self._find_problem(key, content)
        if problem:
            self._reject(key, revision, digest, problem, peer)
            error = StepError(
                step="validate-document", detail=problem, peer=peer
            )
            return Err(error)
        new = self._index.get(key) != (revision, digest)
        self._set_entry(key, revision, digest)
        if keep:
            self._documents[key] = (revision, content)
            self._record_accepted(key, revision, peer)
            self._on_accepted(key, revision, content.decode())
        else:
            self._documents.pop(key, None)
        return Ok(new)

    def drop_document(self, key: str) -> None:
        """Drop a document that is no longer needed, but not its entry."""
        self._documents.pop(key, None)

    def _find_problem(self, key: str, content: bytes) -> str:
        try:
            text = content.decode()
        except UnicodeDecodeError as error:
            return f"not UTF-8: {error.reason} at byte {error.start}"
        checked = self._validate(key, text)
        return str(checked.unwrap_err()) if checked.is_err() else ""

    def _reject(
        self, key: str, revision: int, digest: bytes, problem: str, peer: str
    ) -> None:
        rejected = self._rejected.setdefault(key, [])
        rejected.append((revision, digest))
        del rejected[:-_MAX_REJECTED_PER_KEY]
        self._audit.append(
            Action.CONFIGURATION_REFUSED,
            service=_service_name(key),
            revision=revision,
            evidence=f"{key}: {problem}"[:1000],
            step="validate-document",
            peer=peer,
        )

    def _record_accepted(self, key: str, revision: int, peer: str) -> None:
        self._audit.append(
            Action.CONFIGURATION_ACCEPTED,
            service=_service_name(key),
            revision=revision,
            evidence=key,
            step="accept-document",
            peer=peer,
        )

    def _set_entry(self, key: str, revision: int, digest: bytes) -> None:
        bucket = _hash_key(key)
        total = self._buckets[bucket]
        old = self._index.get(key)
        if old is not None:
            total -= _hash_entry(key, *old)
        total += _hash_entry(key, revision, digest)
        self._buckets[bucket] = total & _BUCKET_MASK
        self._index[key] = (revision, digest)
        self._highest = max(self._highest, revision)

    @property
    def highest_revision(self) -> int:
        """Highest revision ever recorded in the index, or 0."""
        return self._highest

    def count_keys(self, prefix: str) -> int:
        """Return the number of keys with a prefix that are not deleted."""
        return sum(
            bool(digest) and key.startswith(prefix)
            for key, (_, digest) in self._index.items()
        )

    @property
    def buckets(self) -> bytes:
        """Concatenated digests of the buckets, 8 bytes each."""
        return b"".join(
            total.to_bytes(_BUCKET_BYTES, "big") for total in self._buckets
        )

    @property
    def digest(self) -> bytes:
        """Digest of the whole index."""
        return hashlib.blake2b(self.buckets, digest_size=16).digest()

    def differing_entries(
        self, buckets: bytes, *, after: str, limit_bytes: int
    ) -> tuple[list[IndexEntry], bool]:
        """Return a page of the entries in buckets that differ.

        Returns the entries with keys after ``after``, and whether there are
        more.
        """
        own = self.buckets
        differing = {
            number
            for number in range(BUCKET_COUNT)
            if own[number * 8 : number * 8 + 8]
            != buckets[number * 8 : number * 8 + 8]
        }
        keys = sorted(
            key
            for key in self._index
            if key > after and _hash_key(key) in differing
        )
        page: list[IndexEntry] = []
        size = 0
        for key in keys:
            # The encoded revision, digest and type markers take at most 40
            # bytes.
            size += len(key.encode()) + 40
            if size > limit_bytes and page:
                return page, True
            page.append((key, *self._index[key]))
        return page, False


def _service_name(key: str) -> str:
    for prefix in ("catalogue/services/", "instances/upstreams/"):
        if key.startswith(prefix):
            return key.removeprefix(prefix)
    return ""
