"""Load generator that runs as a separate process.

Reads JSON commands from standard input and writes JSON results to standard
output, one per line. It uses plain sockets and one select loop, so that its
CPU time per request is far below that of the measured processes.
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

WARM_UP_S = 0.3
_TICKETS_PER_FETCH = 64
_DRAIN_TIMEOUT_S = 5.0
"""Time after a round at which outstanding requests count as failed."""


@attrs.frozen(kw_only=True)
class LoadCommand:
    """One round of load.

    Parameters
    ----------
    addresses
        Host and port of each target, used round-robin.
    method, path, service, body_bytes
        Contents of each request.
    tickets
        Whether to fetch a ticket per request from the first target before
        the round.
    rate
        Requests per second of an open loop; 0 for a closed loop.
    connections
        Connections opened before the round; a closed loop uses only these.
    warm_s
        Warm-up seconds, whose latencies are not recorded.
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
    warm_s: float = WARM_UP_S
    seed: int = 1


class _Connection:
    __slots__ = ("address", "buffer", "due_at", "key", "sock")

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.sock = socket.create_connection(address)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""
        self.due_at = 0.0
        self.key = b""

    def fileno(self) -> int:
        return self.sock.fileno()

    def receive(self) -> bytes | None:
        """Return the response once it is complete, else None.

        Raises OSError when the connection closes before that.
        """
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError(
                "connection closed before the response ended"
            )
        self.buffer += data
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return None
        head = self.buffer[:end].lower()
        length = int(head.partition(b"content-length:")[2].split(None, 1)[0])
        if len(self.buffer) < end + 4 + length:
            return None
        response, self.buffer = self.buffer, b""
        return response


class LoadRound:
    """Generates the load of one command."""

    def __init__(self, command: LoadCommand) -> None:
        self._command = command
        self._address_cycle = itertools.cycle(command.addresses)
        self._key_numbers = itertools.count()
        self._idle: dict[tuple[str, int], list[_Connection]] = {
            address: [] for address in command.addresses
        }
        self._busy: dict[int, _Connection] = {}
        self._tickets: list[bytes] = []
        self._record_from = 0.0
        self.latencies_us: list[int] = []
        self.done = 0
        self.failed = 0

    def run(self) -> dict[str, Any]:
        """Run the round; return its latencies, counts and CPU use."""
        command = self._command
        connections = [
            _Connection(next(self._address_cycle))
            for _ in range(command.connections)
        ]
        for connection in connections:
            self._idle[connection.address].append(connection)
        try:
            cpu = time.process_time()
            start = time.monotonic()
            if command.rate:
                self._run_open_loop()
            else:
                self._run_closed_loop(connections)
            wall = time.monotonic() - start
            cpu = time.process_time() - cpu
        finally:
            for open_connection in itertools.chain(
                self._busy.values(), *self._idle.values()
            ):
                open_connection.sock.close()
        return {
            "micros": self.latencies_us,
            "done": self.done,
            "failed": self.failed,
            "generator_cpu": round(cpu / wall, 3),
            "seconds": round(wall, 4),
        }

    def _run_open_loop(self) -> None:
        command = self._command
        rng = random.Random(command.seed)
        times: list[float] = []
        total_s = command.warm_s + command.seconds
        at = rng.expovariate(command.rate)
        while at < total_s:
            times.append(at)
            at += rng.expovariate(command.rate)
        if command.tickets:
            self._fetch_tickets(len(times))
        start = time.monotonic() + 0.05
        self._record_from = start + command.warm_s
        for at in times:
            due_at = start + at
            while (remaining_s := due_at - time.monotonic()) > 0:
                self._poll(remaining_s)
            address = next(self._address_cycle)
            idle = self._idle[address]
            self._send(idle.pop() if idle else _Connection(address), due_at)
        drain_end = time.monotonic() + _DRAIN_TIMEOUT_S
        while self._busy and time.monotonic() < drain_end:
            self._poll(drain_end - time.monotonic())
        self.failed += len(self._busy)

    def _run_closed_loop(self, connections: list[_Connection]) -> None:
        end = time.monotonic() + self._command.seconds
        for connection in connections:
            self._idle[connection.address].remove(connection)
            self._send(connection, time.monotonic())
        while self._busy:
            now = time.monotonic()
            if now > end + _DRAIN_TIMEOUT_S:
                self.failed += len(self._busy)
                return
            for connection in self._poll(0.1):
                if now < end:
                    self._idle[connection.address].remove(connection)
                    self._send(connection, now)

    def _send(self, connection: _Connection, due_at: float) -> None:
        command = self._command
        key = b"k%d" % next(self._key_numbers)
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
        connection.due_at, connection.key = due_at, key
        self._busy[connection.fileno()] = connection
        connection.sock.sendall(b"\r\n".join(lines) + b"\r\n\r\n" + body)

    def _poll(self, timeout: float) -> list[_Connection]:
        # select has timeouts in microseconds; poll rounds them up to 1 ms,
        # which would delay sends.
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
        is_ok = response.startswith(b"HTTP/1.1 200")
        if not is_ok or b"key=" + connection.key + b" " not in response:
            self.failed += 1
            return
        self.done += 1
        if self._command.rate and connection.due_at >= self._record_from:
            # Measured from the scheduled time, so that a delayed send of the
            # generator is included.
            latency_us = (time.monotonic() - connection.due_at) * 1e6
            self.latencies_us.append(int(latency_us))

    def _fetch_tickets(self, count: int) -> None:
        connection = _Connection(self._command.addresses[0])
        target = (
            "/.well-known/hawthornmast/tickets?service="
            f"{self._command.service}&count={_TICKETS_PER_FETCH}"
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
    """Run commands until end of file on standard input."""
    for line in sys.stdin:
        values = json.loads(line)
        values["addresses"] = [tuple(item) for item in values["addresses"]]
        result = LoadRound(LoadCommand(**values)).run()
        sys.stdout.write(json.dumps(result) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
