"""Response bodies that are a function of the request key.

The first line of a body holds its key and length, so that a client detects a
truncated body, or that of another request, from the body alone.
"""

import hashlib

_PREFIX = b"keyed"
_LARGE_BODY_INTERVAL = 8


def make_body(key: str, limit: int) -> bytes:
    """Return the body for a key, of at most ``limit`` bytes.

    A body that would be shorter than its first line is extended to it, even
    beyond the limit. One in eight keys gets a body near the limit, so that a
    run has both buffered and streamed responses.
    """
    digest = hashlib.blake2b(key.encode()).digest()
    is_large = digest[0] % _LARGE_BODY_INTERVAL == 0
    # A byte of the digest varies the size: small bodies have up to 4080 bytes,
    # large ones are up to 255 bytes below the limit.
    size = limit - digest[1] if is_large else min(limit, digest[1] * 16)
    head = b"%s %s " % (_PREFIX, key.encode())
    # 12 bytes leave room for the decimal length and the newline.
    size = max(size, len(head) + 12)
    head += b"%d\n" % size
    return head + _make_filler(digest, size - len(head))


def is_complete_body(body: bytes, key: str) -> bool:
    """Return whether a body is the complete body of this key."""
    head, newline, filler = body.partition(b"\n")
    fields = head.split(b" ")
    if not newline or len(fields) != 3 or not fields[2].isdigit():
        return False
    if fields[:2] != [_PREFIX, key.encode()] or int(fields[2]) != len(body):
        return False
    digest = hashlib.blake2b(key.encode()).digest()
    return filler == _make_filler(digest, len(filler))


def _make_filler(digest: bytes, size: int) -> bytes:
    pattern = digest.hex().encode()
    return (pattern * (size // len(pattern) + 1))[:size]
