"""Sends load from a process of its own.

Reads one JSON command a line from standard input and writes one JSON result
a line. Plain sockets and one select loop keep its cost per request far below
that of the processes it measures.
"""

import itertools
import json
import random
import select
import socket
import sys
import time
from typing import Any

import attrs

WARM_S = 0.3
_TICKETS_PER_CALL = 64
_LATE_S = 5.0
"""Time after the end of a round at which open requests count as failed."""


@attrs.frozen(kw_only=True)
class Command:
    """One round of load.

    Parameters
    ----------
    addresses
        Host and port of each target; they take turns.
    method, path, service, body_bytes
        The request.
    tickets
        Fetch a ticket for each request from the first target beforehand.
    rate
        Requests per second of an open loop; 0 for a closed loop.
    connections
        Connections opened in advance; a closed loop uses no others.
    warm_s
        Seconds at the start that are not recorded.
    """

    addresses: list[tuple[str, int]]
    method: str = "GET"
    path: str
    service: str
    body_bytes: int = 0
    tickets: bool = False
    rate: float = 0.0
    connections: int = 16
    seconds: float = 2.0
    warm_s: float = WARM_S
    seed: int = 1


class _Connection:
    __slots__ = ("address", "buffer", "due", "key", "sock")

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.sock = socket.create_connection(address)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""
        self.due = 0.0
        self.key = b""

    def fileno(self) -> int:
        return self.sock.fileno()

    def receive(self) -> bytes | None:
        """Return the whole response once it has arrived.

        Raises OSError when the connection ends before.
        """
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError("closed before the response")
        self.buffer += data
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return None
        head = self.buffer[:end].lower()
        length = int(head.partition(b"content-length:")[2].split(None, 1)[0])
        if len(self.buffer) < end + 4 + length:
            return None
        whole, self.buffer = self.buffer, b""
        return whole


class Round:
    """Runs one command."""

    def __init__(self, command: Command) -> None:
        self._command = command
        self._turns = itertools.cycle(command.addresses)
        self._keys = itertools.count()
        self._idle: dict[tuple[str, int], list[_Connection]] = {
            address: [] for address in command.addresses
        }
        self._busy: dict[int, _Connection] = {}
        self._tickets: list[bytes] = []
        self._record_from = 0.0
        self.micros: list[int] = []
        self.done = 0
        self.failed = 0

    def run(self) -> dict[str, Any]:
        """Return the latencies or counts of the round."""
        command = self._command
        opened = [
            _Connection(next(self._turns)) for _ in range(command.connections)
        ]
        for connection in opened:
            self._idle[connection.address].append(connection)
        try:
            cpu = time.process_time()
            start = time.monotonic()
            if command.rate:
                self._run_open()
            else:
                self._run_closed(opened)
            wall = time.monotonic() - start
            cpu = time.process_time() - cpu
        finally:
            for held in itertools.chain(
                self._busy.values(), *self._idle.values()
            ):
                held.sock.close()
        return {
            "micros": self.micros,
            "done": self.done,
            "failed": self.failed,
            "generator_cpu": round(cpu / wall, 3),
            "seconds": round(wall, 4),
        }

    def _run_open(self) -> None:
        command = self._command
        source = random.Random(command.seed)
        times: list[float] = []
        total_s = command.warm_s + command.seconds
        at = source.expovariate(command.rate)
        while at < total_s:
            times.append(at)
            at += source.expovariate(command.rate)
        if command.tickets:
            self._fetch_tickets(len(times))
        start = time.monotonic() + 0.05
        self._record_from = start + command.warm_s
        for at in times:
            due = start + at
            while (left := due - time.monotonic()) > 0:
                self._poll(left)
            address = next(self._turns)
            idle = self._idle[address]
            self._send(idle.pop() if idle else _Connection(address), due)
        limit = time.monotonic() + _LATE_S
        while self._busy and time.monotonic() < limit:
            self._poll(limit - time.monotonic())
        self.failed += len(self._busy)

    def _run_closed(self, opened: list[_Connection]) -> None:
        end = time.monotonic() + self._command.seconds
        for connection in opened:
            self._idle[connection.address].remove(connection)
            self._send(connection, time.monotonic())
        while self._busy:
            now = time.monotonic()
            if now > end + _LATE_S:
                self.failed += len(self._busy)
                return
            for connection in self._poll(0.1):
                if now < end:
                    self._idle[connection.address].remove(connection)
                    self._send(connection, now)

    def _send(self, connection: _Connection, due: float) -> None:
        command = self._command
        key = b"k%d" % next(self._keys)
        lines = [
            f"{command.method} {command.path} HTTP/1.1".encode(),
            b"Host: " + command.service.encode(),
            b"Accept: */*",
            b"User-Agent: generator",
            b"X-Request-Key: " + key,
        ]
        if command.tickets:
            lines.append(b"Hawthornmast-Ticket: " + self._tickets.pop())
        if command.body_bytes:
            lines.append(b"Content-Length: %d" % command.body_bytes)
        body = b"x" * command.body_bytes
        connection.due, connection.key = due, key
        self._busy[connection.fileno()] = connection
        connection.sock.sendall(b"\r\n".join(lines) + b"\r\n\r\n" + body)

    def _poll(self, timeout: float) -> list[_Connection]:
        # The timeout of select has microseconds; poll rounds it up to 1 ms.
        ready, _, _ = select.select(list(self._busy), [], [], timeout)
        finished = []
        for fileno in ready:
            connection = self._busy[fileno]
            try:
                response = connection.receive()
            except OSError:
                del self._busy[fileno]
                connection.sock.close()
                self.failed += 1
                continue
            if response is None:
                continue
            self._finish(connection, response)
            del self._busy[fileno]
            self._idle[connection.address].append(connection)
            finished.append(connection)
        return finished

    def _finish(self, connection: _Connection, response: bytes) -> None:
        good = response.startswith(b"HTTP/1.1 200")
        if not good or b"key=" + connection.key + b" " not in response:
            self.failed += 1
            return
        self.done += 1
        if self._command.rate and connection.due >= self._record_from:
            # From the time at which it was due, so that a late send of the
            # generator counts too.
            micros = (time.monotonic() - connection.due) * 1e6
            self.micros.append(int(micros))

    def _fetch_tickets(self, count: int) -> None:
        connection = _Connection(self._command.addresses[0])
        target = (
            "/.well-known/hawthornmast/tickets?service="
            f"{self._command.service}&count={_TICKETS_PER_CALL}"
        )
        while len(self._tickets) < count:
            connection.sock.sendall(
                f"POST {target} HTTP/1.1\r\nHost: tickets\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            response = None
            while response is None:
                response = connection.receive()
            answer = json.loads(response.partition(b"\r\n\r\n")[2])
            self._tickets += [item.encode() for item in answer["tickets"]]
        connection.sock.close()


def main() -> None:
    """Run commands until standard input ends."""
    for line in sys.stdin:
        values = json.loads(line)
        values["addresses"] = [tuple(item) for item in values["addresses"]]
        result = Round(Command(**values)).run()
        sys.stdout.write(json.dumps(result) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
