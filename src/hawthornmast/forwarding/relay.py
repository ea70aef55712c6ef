"""Signatures that identify requests relayed by another daemon.

The requests themselves are forwarded by ``relaying.py``.
"""

from collections.abc import Sequence
import hashlib
import hmac

from hawthornmast.common import Instance
from hawthornmast.common import Upstream

HEADER = b"hawthornmast-relayed"


class RelaySigner:
    """Signs relayed requests and verifies their signatures.

    Parameters
    ----------
    secrets
        Shared secrets of the fleet; the first one is used for signing, all
        are accepted.
    """

    def __init__(self, secrets: Sequence[bytes]) -> None:
        self._keys = [
            hmac.new(secret, b"hawthornmast relay", hashlib.sha256).digest()
            for secret in secrets
        ]

    def sign(self, request_id: str, method: str, target: str) -> bytes:
        """Return the value of the header; requires a secret."""
        return self._sign(self._keys[0], request_id, method, target)

    def verify(self, value: bytes, method: str, target: str) -> bool:
        """Return whether a daemon of the fleet signed the request."""
        request_id = value.partition(b".")[0].decode("latin-1")
        return any(
            hmac.compare_digest(
                value, self._sign(key, request_id, method, target)
            )
            for key in self._keys
        )

    def __bool__(self) -> bool:
        """Return whether a secret is configured."""
        return bool(self._keys)

    def _sign(
        self, key: bytes, request_id: str, method: str, target: str
    ) -> bytes:
        message = f"{request_id}\n{method}\n{target}".encode()
        mac = hmac.new(key, message, hashlib.sha256).hexdigest()[:32]
        return f"{request_id}.{mac}".encode("latin-1", errors="replace")


def build_relay_upstream(owner: Instance) -> Upstream:
    """Return an owner as an upstream for relayed requests."""
    return Upstream(
        upstream_id=f"relay {owner.instance_id}",
        zone=owner.zone,
        host=owner.host,
        port=owner.port,
        slots=1,
    )
