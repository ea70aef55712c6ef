"""Small stand-ins of the users' platform for the cases of this review.

A store, back ends, clients and the start of members as processes, written
from PROTOCOL.md and DEPLOY.md with the standard library alone. All addresses
are loopback addresses.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, DIRECTORY, METRICS, PEER = (
    8381,
    8388,
    8382,
    8383,
    9464,
    7200,
)
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be set up; it says nothing about the rule."""


def allocate_network():
    """Return the first three octets of a loopback network with free ports."""
    for _ in range(200):
        prefix = f"127.{random.randint(1, 250)}.{random.randint(0, 250)}"
        try:
            for last in (1, 2, 3, 4):
                for port in (FRONT, READY, DIRECTORY, METRICS, PEER):
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}.{last}", port))
        except OSError:
            continue
        return prefix
    raise CannotRunError("no free loopback network")


class Record:
    """Lines of what was sent, answered and run, for record.txt."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._path.write_text("", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, text):
        now = time.monotonic() - self._start
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{now:8.3f} {text}\n")


# --- the store ---------------------------------------------------------------


class Store:
    """The calls of the platform's store that members may make."""

    def __init__(self, host):
        self.host = host
        self.port = 0
        self.revision = 100
        self.items = {}
        self.calls = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, key, value):
        self.revision += 1
        created = self.items.get(key, {}).get("Created", self.revision)
        self.items[key] = {
            "Key": key,
            "Value": base64.b64encode(json.dumps(value).encode()).decode(),
            "Revision": self.revision,
            "Created": created,
            "Lease": 0,
        }

    def delete(self, key):
        self.revision += 1
        self.items.pop(key, None)

    def list_backend(self, backend, **changes):
        self.put(
            f"servers/{backend.name}",
            {
                "Service": backend.service,
                "Address": f"{backend.host}:{backend.port}",
                "Zone": "zone-a",
                "Version": "v1",
                "Slots": backend.slots,
                "State": "ready",
                "WarmupLeft": "0ms",
                "Sequence": 1,
                "born": backend.born,
                **changes,
            },
        )

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                self.calls += 1
                status, value = self._answer(request.target)
                body = json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (status, len(body), body)
                )
                await writer.drain()
        writer.close()

    def _answer(self, target):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if parts.path == "/hawthornmast/kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return 404, {}
            return 200, {**item, "StoreRevision": self.revision}
        if parts.path == "/hawthornmast/kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query["PathPrefix"])
                and key > query.get("after", "")
            )
            return 200, {
                "items": [self.items[key] for key in keys[:500]],
                "Truncated": len(keys) > 500,
                "StoreRevision": self.revision,
            }
        return 404, {}


def make_configuration(services, version=7, timeout="4000ms"):
    """Return a configuration with two routes for each service.

    ``/read/NAME/`` is idempotent, ``/change/NAME/`` is not.
    """
    return {
        "Version": version,
        "Services": [
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConns": 390,
                "Protocol": "h1",
                "Tls": False,
            }
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeout": "3000ms",
            "IdleTimeout": "15000ms",
        },
        "VirtualHosts": [
            {
                "Host": "club.example",
                "Paths": [
                    {
                        "Name": f"r-{kind}-{name}",
                        "PathPrefix": f"/{kind}/{name}/",
                        "RouteType": route_type,
                        "Timeout": timeout,
                        "TargetLatency": "1500ms",
                        "Priority": 1,
                        "Service": name,
                        "MaxAttempts": 2,
                    }
                    for name in services
                    for kind, route_type in (
                        ("read", "idempotent"),
                        ("change", "non_idempotent"),
                    )
                ],
            }
        ],
    }


# --- HTTP on raw streams -----------------------------------------------------


@dataclasses.dataclass
class Request:
    method: str
    target: str
    headers: dict
    body: bytes = b""


async def read_head(reader):
    """Return start line and headers of a message, None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


async def read_request(reader, *, with_body=True):
    """Return the next request, None at the end."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ")
    headers = dict(head[1])
    if not with_body:
        return Request(method, target, headers)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


# --- back ends ---------------------------------------------------------------


@dataclasses.dataclass
class Run:
    """One request that a back end began to work on."""

    attempt: str
    backend: str
    method: str
    target: str
    body: bytes
    status: int = 0


class Backend:
    """A back end as PROTOCOL.md describes it.

    ``respond`` is a coroutine called with the connection, the request and its
    run; by default it answers 200 after ``work_s``.
    """

    def __init__(
        self,
        name,
        service,
        host,
        record,
        *,
        slots=8,
        work_s=0.05,
        respond=None,
        reads_body=True,
        window=0,
    ):
        self.name, self.service, self.host = name, service, host
        self.record = record
        self.slots, self.work_s = slots, work_s
        self.respond = respond or self.answer
        self.reads_body = reads_body
        self.window = window
        self.born = int(time.time() * 1000)
        self.runs = []
        self.port = 0
        self._server = None
        self._writers = set()

    async def start(self, port=0):
        sock = socket.socket()
        if self.window:
            # Links have small windows.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.window)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self.host, port))
        self._server = await asyncio.start_server(self._serve, sock=sock)
        self.port = sock.getsockname()[1]

    def stop(self):
        """End like a killed process."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        connection = Connection(self, reader, writer)
        self._writers.add(writer)
        try:
            while not connection.closed:
                request = await read_request(reader, with_body=self.reads_body)
                if request is None:
                    break
                await self._handle(connection, request)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, connection, request):
        connection.requests += 1
        if request.target == "/health":
            connection.send(200, [("Hawthornmast-Instance-Id", self.name)])
            return
        attempt = request.headers.get("hawthornmast-attempt-id", "")
        expected = request.headers.get("hawthornmast-expected-instance")
        if expected not in (None, self.name):
            self.record.write(f"{self.name} rejects {attempt} with 421")
            connection.send(421, [("Hawthornmast-Instance-Id", self.name)])
            return
        if not attempt:
            connection.send(400, [("Hawthornmast-Not-Executed", "1")])
            return
        run = Run(
            attempt, self.name, request.method, request.target, request.body
        )
        self.runs.append(run)
        self.record.write(f"{self.name} runs {attempt} {request.target}")
        await self.respond(connection, request, run)

    async def answer(self, connection, request, run):
        await asyncio.sleep(self.work_s)
        connection.answer(run)


class Connection:
    """Server side of one connection to a back end."""

    def __init__(self, backend, reader, writer):
        self.backend, self.reader, self.writer = backend, reader, writer
        self.requests = 0
        self.closed = False

    def build(self, run, status=200):
        """Return the head and the body of the answer to a run."""
        run.status = status
        body = f"answer to {run.attempt} status {status}\n".encode() * 4
        head = (
            f"HTTP/1.1 {status} X\r\n"
            f"Hawthornmast-Attempt-Id: {run.attempt}\r\n"
            "Hawthornmast-Response-Signature:"
            f" {run.backend}.{run.attempt}.{status}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        return head, body

    def answer(self, run, status=200):
        head, body = self.build(run, status)
        self.backend.record.write(
            f"{run.backend} answers {run.attempt} with {status}"
        )
        self.write(head + body)

    def send(self, status, headers, body=b""):
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
        self.write(
            f"HTTP/1.1 {status} X\r\n{lines}"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )

    def write(self, data):
        self.writer.write(data)

    def reset(self):
        self.closed = True
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
        )
        self.writer.transport.abort()

    def close(self):
        self.closed = True
        self.writer.close()


# --- clients -----------------------------------------------------------------


@dataclasses.dataclass
class Answer:
    """What a client saw; status 0 means no complete head."""

    attempt: str
    status: int = 0
    headers: list = dataclasses.field(default_factory=list)
    body: bytes = b""
    complete: bool = False

    def values(self, name):
        return [value for key, value in self.headers if key == name]

    def __str__(self):
        whole = "whole" if self.complete else "not whole"
        signatures = self.values("hawthornmast-response-signature")
        return (
            f"{self.attempt} gets {self.status or 'no answer'}, {whole},"
            f" signatures {signatures or 'none'}, body {self.body[:44]!r}"
        )


class Client:
    """One connection of a client to a member."""

    def __init__(self, host, record):
        self.host, self.record = host, record
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.host, FRONT), 1.0
        )

    def send(
        self, attempt, target, *, method="GET", body=b"", timeout_ms=4000
    ):
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        self.writer.write(
            f"{method} {target} HTTP/1.1\r\nHost: club.example\r\n"
            f"Hawthornmast-Attempt-Id: {attempt}\r\n"
            f"Hawthornmast-Request-Deadline: {timeout_ms}\r\n"
            f"{length}\r\n".encode()
            + body
        )
        self.record.write(f"client sends {attempt} {method} {target}")

    async def receive(self, attempt, timeout_s=5.0):
        answer = Answer(attempt)
        with contextlib.suppress(asyncio.TimeoutError, OSError):
            async with asyncio.timeout(timeout_s):
                await self._read(answer)
        self.record.write(str(answer))
        return answer

    async def _read(self, answer):
        while True:
            head = await read_head(self.reader)
            if head is None:
                return
            answer.status = int(head[0].split(" ")[1])
            answer.headers = head[1]
            if answer.status >= 200:
                break
        headers = dict(answer.headers)
        if headers.get("transfer-encoding") == "chunked":
            while True:
                line = await self.reader.readline()
                if not line.endswith(b"\r\n"):
                    return
                size = int(line.split(b";")[0], 16)
                try:
                    data = await self.reader.readexactly(size + 2)
                except asyncio.IncompleteReadError:
                    return
                answer.body += data[:-2]
                if size == 0:
                    answer.complete = True
                    return
        size = int(headers.get("content-length", 0))
        while len(answer.body) < size:
            data = await self.reader.read(size - len(answer.body))
            if not data:
                return
            answer.body += data
        answer.complete = True

    async def request(self, attempt, target, **options):
        if self.writer is None:
            await self.connect()
        self.send(attempt, target, **options)
        await self.writer.drain()
        return await self.receive(attempt)

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = self.reader = None


# --- members -----------------------------------------------------------------


class Member:
    """A member as a process, with the command of the deploy file."""

    def __init__(self, number, network, store, folder, record, *, grace="6s"):
        self.host = f"{network}.{number}"
        self.name = f"edge-{number}"
        self.record = record
        self.folder = folder
        self.settings = folder / f"{self.name}.conf"
        self.log_path = folder / f"{self.name}.log"
        self._network = network
        self._store = store
        self._grace = grace
        self.process = None
        self.write_settings()

    def write_settings(self, seeds=(1, 2, 3)):
        host = self.host
        seed_list = ",".join(f"{self._network}.{n}:{CONTROL}" for n in seeds)
        self.settings.write_text(
            f"Node={self.name}\nRole=member\nMachineClass=edge\n"
            "Serves=edge,control_plane,registry\n"
            f"Ip={host}\nZone=zone-a\nRegion=region-1\n"
            "Zones.zone-a=region-1\n"
            f"Listen.Front={host}:{FRONT}\nListen.Ready={host}:{READY}\n"
            f"Listen.Control={host}:{CONTROL}\n"
            f"Listen.Directory={host}:{DIRECTORY}\n"
            f"InternalPorts={PEER},{PEER + 15}\nSeeds={seed_list}\n"
            "Bootstrap=true\nInTolerance=false\nLimits.CpuShare=0.86\n"
            "Limits.Cores=1\nLimits.MemoryMb=300\nLimits.MaxFds=4100\n"
            "Limits.LinkMbps=1000.0\nLimits.DiskMb=0\nDiscovery=platform\n"
            "Entry=registry\nHeartbeat=1500ms\n"
            "Bounds.SeedLag=3s\nBounds.ReuseAfter=2s\nBounds.Contact=3000ms\n"
            "Bounds.Ack=4000ms\nBounds.Sync=4s\nBounds.Drain=2000ms\n"
            f"Bounds.Grace={self._grace}\nBounds.LossSlack=200ms\n"
            "Bounds.Config=2000ms\nBounds.RollbackSlack=250ms\n"
            "Bounds.MaxSkew=5000ms\nBounds.RetryBudgetRatio=0.2\n"
            "Bounds.BudgetWindow=10s\nBounds.BudgetSlack=62\n"
            "Bounds.Recovery=15s\nBounds.ttl_max=5s\nBounds.ProbesPerS=3\n"
            "Bounds.FloorShare=0.7\n"
            f"Platform.Address={self._store.host}:{self._store.port}\n"
            "Platform.form=read\nPlatform.WritesPerS=400\n"
            "Platform.ReadsPerS=2000\nPlatform.History=20s\n"
            "Platform.ValueBytes=1048576\nPlatform.TtlMin=1000ms\n",
            encoding="utf-8",
        )

    async def start(self):
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["HAWTHORNMAST_CONFIG"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = os.open(self.log_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        try:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "hawthornmast.platform",
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        finally:
            os.close(log)
        self.record.write(f"{self.name} started")

    def signal(self, number):
        self.process.send_signal(number)
        self.record.write(f"{self.name} gets {signal.Signals(number).name}")

    @property
    def running(self):
        return self.process is not None and self.process.returncode is None

    async def is_ready(self):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.host, READY
                )
                writer.write(
                    b"GET /hawthornmast/ready HTTP/1.1\r\nHost: x\r\n"
                    b"Connection: close\r\n\r\n"
                )
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_ready(self, timeout_s=15.0):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if self.running and await self.is_ready():
                self.record.write(f"{self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} isn't ready after {timeout_s} s")

    async def kill(self):
        if self.running:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


# --- one case ----------------------------------------------------------------


class Case:
    """Folder, record, store, back ends and members of one run."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.record.write(f"TROUBLE={int(self.trouble)}")
        self.network = allocate_network()
        self.store = Store("127.0.0.1")
        self.backends = []
        self.members = []
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)

    async def add_backend(self, name, service, **options):
        backend = Backend(name, service, "127.0.0.1", self.record, **options)
        await backend.start()
        self.backends.append(backend)
        self.store.list_backend(backend)
        return backend

    async def add_member(self, **options):
        member = Member(
            len(self.members) + 1,
            self.network,
            self.store,
            self.folder,
            self.record,
            **options,
        )
        self.members.append(member)
        await member.start()
        return member

    def runs_of(self, attempt):
        return [
            run
            for backend in self.backends
            for run in backend.runs
            if run.attempt == attempt
        ]

    async def close(self):
        for member in self.members:
            await member.kill()
        self._folder.cleanup()


def main(folder, play):
    """Play a case and exit with its result."""
    if not (ROOT / "target" / "deps").is_dir():
        print("the build of the deploy file is missing")
        sys.exit(NOT_RUN)

    async def run():
        case = Case(folder)
        try:
            async with asyncio.timeout(110):
                broken = await play(case)
        except (CannotRunError, TimeoutError, OSError) as error:
            case.record.write(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            await case.close()
        print(broken or "the rule held")
        return BROKEN if broken else HELD

    sys.exit(asyncio.run(run()))
