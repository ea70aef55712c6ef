"""Tickets that allow a non-idempotent request to run at most once."""

from collections import OrderedDict
from collections.abc import Callable
import hashlib
import hmac
import secrets
from typing import Any

import attrs
import trio

from hawthornmast.common import Outcome


@attrs.define(eq=False)
class TicketRecord:
    """A used ticket with the outcome of its request.

    Parameters
    ----------
    digest
        Identifies the request that used the ticket first.
    expires
        Monotonic time after which the record may be dropped.
    """

    digest: bytes
    expires: float
    response: Any = None
    size: int = 0
    done: trio.Event = attrs.field(factory=trio.Event)


@attrs.frozen
class FirstUse:
    """The ticket was unused, so the request may run."""

    record: TicketRecord


@attrs.frozen
class Repeat:
    """The ticket was already used by the same request."""

    record: TicketRecord


@attrs.frozen(kw_only=True)
class Rejected:
    """The ticket doesn't allow the request to run."""

    status: int
    reason: str
    outcome: Outcome
    instance: str = ""


Redemption = FirstUse | Repeat | Rejected


class TicketStore:
    """Issues and redeems the tickets of one incarnation of a daemon.

    Parameters
    ----------
    instance_id
        Identifier of this daemon.
    incarnation
        Random 64-bit number that identifies this run of the daemon. It is
        not the incarnation in gossip membership, which is a start time.
    lifetime_s
        Seconds after which an unused ticket expires.
    max_stored_bytes
        Total size of the stored responses; the oldest are evicted first.
    max_records
        Number of used tickets that are recorded. When it is reached, all
        unused tickets issued so far become void.
    clock
        Monotonic time in seconds.
    """

    def __init__(
        self,
        instance_id: str,
        incarnation: int,
        *,
        lifetime_s: float = 60.0,
        max_stored_bytes: int = 8_388_608,
        max_records: int = 100_000,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self.instance_id = instance_id
        self.lifetime_s = lifetime_s
        self._incarnation = f"{incarnation:016x}"
        self._max_stored_bytes = max_stored_bytes
        self._max_records = max_records
        self._clock = clock
        self._key = secrets.token_bytes(32)
        self._next_serial = 1
        self._void_below = 0
        self._records: OrderedDict[int, TicketRecord] = OrderedDict()
        self._stored: OrderedDict[int, TicketRecord] = OrderedDict()
        self._stored_bytes = 0

    @property
    def stored_bytes(self) -> int:
        """Total size of the responses stored for repeats."""
        return self._stored_bytes

    def __len__(self) -> int:
        """Return the number of recorded used tickets."""
        return len(self._records)

    def issue(self, service: str, count: int = 1) -> list[str]:
        """Return new tickets for a service."""
        expires_ms = int((self._clock() + self.lifetime_s) * 1000)
        tickets = []
        for _ in range(count):
            payload = (
                f"{self._incarnation}.{self._next_serial:x}.{expires_ms:x}"
            )
            self._next_serial += 1
            mac = self._sign(payload, service)
            tickets.append(f"{payload}.{mac}.{self.instance_id}")
        return tickets

    def redeem(self, ticket: str, service: str, digest: bytes) -> Redemption:
        """Use a ticket for the request that ``digest`` identifies."""
        now = self._clock()
        self._drop_expired(now)
        parts = ticket.split(".", 4)
        if len(parts) != 5:
            return Rejected(
                status=400, reason="bad-ticket", outcome=Outcome.NOT_RUN
            )
        incarnation, serial_text, expires_text, mac, instance = parts
        if instance != self.instance_id:
            return Rejected(
                status=421,
                reason="wrong-instance",
                outcome=Outcome.NOT_RUN,
                instance=instance,
            )
        if incarnation != self._incarnation:
            return Rejected(
                status=409,
                reason="former-incarnation",
                outcome=Outcome.UNKNOWN,
            )
        payload = f"{incarnation}.{serial_text}.{expires_text}"
        expected = self._sign(payload, service)
        if not hmac.compare_digest(mac.encode(), expected.encode()):
            return Rejected(
                status=400, reason="bad-ticket", outcome=Outcome.NOT_RUN
            )
        # The valid signature proves that this store issued both numbers.
        serial = int(serial_text, 16)
        expires = int(expires_text, 16) / 1000
        record = self._records.get(serial)
        if record is not None:
            if record.digest != digest:
                return Rejected(
                    status=409,
                    reason="ticket-of-another-request",
                    outcome=Outcome.NOT_RUN,
                )
            return Repeat(record)
        if now >= expires:
            return Rejected(
                status=409, reason="ticket-expired", outcome=Outcome.UNKNOWN
            )
        if len(self._records) >= self._max_records:
            # A client whose ticket is refused is told that its request did
            # not run, so the ticket must stay invalid. Refused tickets can't
            # be recorded one by one at the limit.
            self._void_below = self._next_serial
        if serial < self._void_below:
            return Rejected(
                status=503, reason="ticket-void", outcome=Outcome.NOT_RUN
            )
        record = TicketRecord(digest, expires)
        self._records[serial] = record
        return FirstUse(record)

    def is_foreign(self, ticket: str) -> bool:
        """Return whether another daemon issued the ticket."""
        parts = ticket.split(".", 4)
        return len(parts) == 5 and parts[4] != self.instance_id

    def record_outcome(
        self, record: TicketRecord, response: Any = None, *, size: int = 0
    ) -> None:
        """Record the outcome of a ticket's request and wake its repeats.

        Parameters
        ----------
        response
            Response for repeats; None if it isn't stored.
        size
            Size of the response that counts towards ``max_stored_bytes``.
        """
        if record.done.is_set():
            return
        record.done.set()
        if response is None or size > self._max_stored_bytes:
            return
        record.response, record.size = response, size
        self._stored[id(record)] = record
        self._stored_bytes += size
        while self._stored_bytes > self._max_stored_bytes:
            _, oldest = self._stored.popitem(last=False)
            self._evict_response(oldest)

    def _evict_response(self, record: TicketRecord) -> None:
        self._stored_bytes -= record.size
        record.response, record.size = None, 0

    def _drop_expired(self, now: float) -> None:
        # Tickets are used in nearly the order in which they expire, so the
        # scan stops at the first record that must stay. Dropping a record
        # late only delays the release of its memory.
        while self._records:
            serial, record = next(iter(self._records.items()))
            if now < record.expires or not record.done.is_set():
                return
            del self._records[serial]
            if self._stored.pop(id(record), None) is not None:
                self._evict_response(record)

    def _sign(self, payload: str, service: str) -> str:
        text = f"{payload}.{service}".encode()
        return hmac.new(self._key, text, hashlib.sha256).hexdigest()[:32]
