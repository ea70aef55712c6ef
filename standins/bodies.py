"""Answer bodies that the request key determines.

A body names its own length and key in its first line, so that a client can
tell a cut or foreign body from a whole one by the body alone.
"""

import hashlib

_MARK = b"keyed"
_LARGE_EVERY = 8


def make_body(key: str, limit: int) -> bytes:
    """Return the body for a key, of at most ``limit`` bytes or a line.

    One in eight keys gets a body near the limit, so that both held and
    streamed answers occur in a run.
    """
    seed = hashlib.blake2b(key.encode()).digest()
    large = seed[0] % _LARGE_EVERY == 0
    size = limit - seed[1] if large else min(limit, seed[1] * 16)
    head = b"%s %s " % (_MARK, key.encode())
    size = max(size, len(head) + 12)
    head += b"%d\n" % size
    return head + _fill(seed, size - len(head))


def is_whole(body: bytes, key: str) -> bool:
    """Return whether a body is the whole body of this key."""
    head, found, rest = body.partition(b"\n")
    parts = head.split(b" ")
    if not found or len(parts) != 3 or not parts[2].isdigit():
        return False
    if parts[:2] != [_MARK, key.encode()] or int(parts[2]) != len(body):
        return False
    seed = hashlib.blake2b(key.encode()).digest()
    return rest == _fill(seed, len(rest))


def _fill(seed: bytes, size: int) -> bytes:
    text = seed.hex().encode()
    return (text * (size // len(text) + 1))[:size]
