"""Connections of one daemon to its peers."""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import itertools
import logging
import random
from typing import Any

from result import Result
import trio
import trio.lowlevel

from hawthornmast.audit import log_event
from hawthornmast.common import Instance
from hawthornmast.common import StepError
from hawthornmast.peers import codec
from hawthornmast.peers import messages
from hawthornmast.peers.handling import Handler
from hawthornmast.peers.handling import MessageHandlers
from hawthornmast.peers.links import BACKOFF_RESET_S
from hawthornmast.peers.links import FAST_HEARTBEAT_S
from hawthornmast.peers.links import PeerLink
from hawthornmast.peers.links import SLOW_HEARTBEAT_S
from hawthornmast.peers.session import Session

_LOG = logging.getLogger("hawthornmast.peers")

HANDSHAKE_TIMEOUT_S = 2.0
MAX_QUEUED_MESSAGES = 512
MAX_BATCH_MESSAGES = 64
"""Messages per write at most; larger batches would delay heartbeats behind
large messages."""

MAX_CONCURRENT_HANDSHAKES = 64
"""Concurrent handshakes at which new inbound connections are closed."""

_MIN_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 2.0
_MAX_STREAMS_PER_PEER = 2


class PeerNetwork:
    """Maintains authenticated streams to a set of neighbours.

    Both sides may dial, and a daemon doesn't dial a peer that has already
    opened a stream. Of several streams to one peer, the one that received
    last carries outgoing messages; messages from any of them are handled.

    Parameters
    ----------
    instance
        This daemon; it listens on ``instance.host:instance.peer_port``.
    incarnation
        Random number generated when this process started.
    secrets
        Shared secrets: the first is used to dial, all are accepted.
    """

    def __init__(
        self,
        *,
        instance: Instance,
        incarnation: int,
        secrets: tuple[str, ...],
    ) -> None:
        if not secrets or not all(secrets):
            raise ValueError("secrets is empty, allowed: one or more strings")
        self._instance = instance
        self._incarnation = incarnation
        self._secrets = secrets
        self._codec = codec.MessageCodec(messages.Heartbeat)
        self._handlers = MessageHandlers()
        self._links: dict[str, list[PeerLink]] = {}
        self._neighbours: dict[str, Instance] = {}
        self._fast_detection: frozenset[str] | None = None
        self._dialers: dict[str, trio.CancelScope] = {}
        self._handshake_count = 0
        self._nursery: trio.Nursery | None = None
        self._listeners: list[trio.SocketListener] = []
        self._listen_scope = trio.CancelScope()
        self._watchers: list[Callable[[str, bool], None]] = []
        # Totals of the closed streams; ``count_bytes`` adds the open ones.
        self._closed_bytes_sent = 0
        self._closed_bytes_received = 0
        self.refused_frames = 0

    def register(self, message_type: type, handler: Handler | None) -> None:
        """Register a message type and its ``handler(message, sender)``.

        The handler may be async; its return value is the answer to a
        question. The handler is None for a type that occurs only in answers.
        """
        self._codec.register(message_type)
        if handler is not None:
            self._handlers.register(message_type, handler)

    def watch(self, callback: Callable[[str, bool], None]) -> None:
        """Call ``callback(instance_id, reachable)`` for each change."""
        self._watchers.append(callback)

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen for peers and dial the neighbours set so far."""
        self._listeners = await trio.open_tcp_listeners(
            self._instance.peer_port, host=self._instance.host
        )
        self._nursery = nursery
        nursery.start_soon(self._listen)
        self.set_neighbours(list(self._neighbours.values()))

    async def _listen(self) -> None:
        with self._listen_scope:
            await trio.serve_listeners(self._accept, self._listeners)

    async def close(self) -> None:
        """Stop dialing and close all streams."""
        self._listen_scope.cancel()
        for scope in self._dialers.values():
            scope.cancel()
        for link in list(itertools.chain(*self._links.values())):
            link.scope.cancel()
        # Yields so that the cancelled tasks close their sockets.
        await trio.lowlevel.checkpoint()

    @property
    def neighbours(self) -> list[str]:
        """Identifiers of the peers that this daemon dials."""
        return sorted(self._neighbours)

    def reachable_peers(self) -> list[str]:
        """Return the identifiers of all reachable peers."""
        return sorted(filter(self.reachable, self._links))

    def set_neighbours(
        self,
        instances: Iterable[Instance],
        *,
        fast_detection: Iterable[str] | None = None,
    ) -> None:
        """Dial exactly these peers; streams opened by peers stay open.

        Parameters
        ----------
        instances
            Peers to dial.
        fast_detection
            Identifiers of the peers with fast failure detection, that is
            with the shorter heartbeat interval; None for all.
        """
        self._fast_detection = (
            None if fast_detection is None else frozenset(fast_detection)
        )
        wanted = {
            instance.instance_id: instance
            for instance in instances
            if instance.instance_id != self._instance.instance_id
        }
        for peer_id, scope in list(self._dialers.items()):
            if wanted.get(peer_id) != self._neighbours.get(peer_id):
                scope.cancel()
                del self._dialers[peer_id]
        self._neighbours = wanted
        if self._nursery is None:
            return
        for peer_id, instance in wanted.items():
            if peer_id not in self._dialers:
                scope = trio.CancelScope()
                self._dialers[peer_id] = scope
                self._nursery.start_soon(self._dial, instance, scope)

    def reachable(self, instance_id: str) -> bool:
        """Return whether a peer is connected and not silent."""
        if instance_id == self._instance.instance_id:
            return True
        return self._live_link(instance_id) is not None

    def count_streams(self, instance_id: str) -> int:
        """Return the number of open streams to a peer."""
        return len(self._links.get(instance_id, ()))

    def incarnation_of(self, instance_id: str) -> int | None:
        """Return the incarnation of a connected peer."""
        link = self._live_link(instance_id)
        return link.session.peer_incarnation if link else None

    def post(self, instance_id: str, message: Any) -> bool:
        """Queue a message; return False when it can't be sent."""
        link = self._live_link(instance_id)
        if link is None:
            return False
        try:
            link.send_queue.send_nowait(message)
        except (trio.WouldBlock, trio.BrokenResourceError):
            return False
        return True

    async def ask(
        self, instance_id: str, message: Any, timeout: float
    ) -> Result[Any, StepError]:
        """Send a question; wait up to ``timeout`` seconds for the answer."""
        return await self._handlers.ask(
            instance_id, message, timeout, post=self.post
        )

    def _live_link(self, instance_id: str) -> PeerLink | None:
        links = self._links.get(instance_id)
        if not links:
            return None
        link = max(links, key=lambda candidate: candidate.last_heard_at)
        return None if link.is_silent else link

    async def _dial(self, peer: Instance, scope: trio.CancelScope) -> None:
        backoff = _MIN_BACKOFF_S
        with scope:
            while True:
                started = trio.current_time()
                link = self._live_link(peer.instance_id)
                if link is not None:
                    # One stream is enough: it carries both directions.
                    await link.ended.wait()
                else:
                    await self._dial_once(peer)
                if trio.current_time() - started > BACKOFF_RESET_S:
                    backoff = _MIN_BACKOFF_S
                # The jitter spreads the connections of a fleet to a
                # restarted peer.
                await trio.sleep(backoff * random.uniform(0.5, 1.5))
                backoff = min(backoff * 2, _MAX_BACKOFF_S)

    async def _dial_once(self, peer: Instance) -> None:
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                stream = await trio.open_tcp_stream(peer.host, peer.peer_port)
        except (OSError, trio.TooSlowError):
            return
        await self._run(stream, expected=peer.instance_id)

    async def _accept(self, stream: trio.SocketStream) -> None:
        if self._handshake_count >= MAX_CONCURRENT_HANDSHAKES:
            await trio.aclose_forcefully(stream)
            return
        await self._run(stream, expected=None)

    async def _run(
        self, stream: trio.SocketStream, *, expected: str | None
    ) -> None:
        """Authenticate a stream and serve it until it is closed.

        ``expected`` is the identifier of the dialed peer, or None for an
        inbound stream.
        """
        session = Session(stream, self._codec)
        try:
            if not await self._authenticate(session, expected):
                return
            await self._serve(session, dialed=expected is not None)
        except* codec.FrameError as group:
            self.refused_frames += 1
            log_event(
                _LOG,
                "peer-frame-refused",
                level=logging.WARNING,
                step="receive-frame",
                peer=session.peer_id
                or expected
                or _format_remote_address(stream),
                detail=_first_exception(group),
            )
        except* (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.EndOfChannel,
        ):
            pass
        finally:
            with trio.CancelScope(shield=True):
                await session.close()

    async def _authenticate(
        self, session: Session, expected: str | None
    ) -> bool:
        self._handshake_count += 1
        try:
            with trio.move_on_after(HANDSHAKE_TIMEOUT_S) as scope:
                await session.authenticate(
                    instance_id=self._instance.instance_id,
                    incarnation=self._incarnation,
                    secrets=self._secrets,
                    initiator=expected is not None,
                )
        finally:
            self._handshake_count -= 1
        if scope.cancelled_caught:
            return False
        if expected is not None and session.peer_id != expected:
            raise codec.FrameError(
                f"peer is {session.peer_id!r}, expected {expected!r}"
            )
        return True

    async def _serve(self, session: Session, *, dialed: bool) -> None:
        send_channel, receive_channel = trio.open_memory_channel[Any](
            MAX_QUEUED_MESSAGES
        )
        link = PeerLink(
            session=session,
            send_queue=send_channel,
            last_heard_at=trio.current_time(),
            dialed=dialed,
        )
        peer_id = session.peer_id
        links = self._links.setdefault(peer_id, [])
        while len(links) >= _MAX_STREAMS_PER_PEER:
            links.pop(0).scope.cancel()
        links.append(link)
        self._close_redundant(links)
        if len(links) == 1:
            self._notify(peer_id, True)
        try:
            with link.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._send_all, link, receive_channel)
                    nursery.start_soon(self._close_when_silent, link)
                    await self._receive_all(link)
        finally:
            self._remove_link(peer_id, link)
            link.ended.set()
            send_channel.close()

    def _close_redundant(self, links: list[PeerLink]) -> None:
        """Close this daemon's stream when both sides dialed each other.

        Only the side with the higher identifier does so, so that one stream
        remains.
        """
        session = links[-1].session
        if self._instance.instance_id < session.peer_id:
            return
        same = [
            link
            for link in links
            if link.session.peer_incarnation == session.peer_incarnation
        ]
        if not all(link.dialed for link in same):
            for link in same:
                if link.dialed:
                    link.scope.cancel()

    def _remove_link(self, peer_id: str, link: PeerLink) -> None:
        self._closed_bytes_sent += link.session.bytes_sent
        self._closed_bytes_received += link.session.bytes_received
        link.session.bytes_sent = link.session.bytes_received = 0
        links = self._links.get(peer_id, [])
        if link in links:
            links.remove(link)
        if not links and self._links.pop(peer_id, None) is not None:
            self._notify(peer_id, False)

    def _notify(self, peer_id: str, reachable: bool) -> None:
        for callback in self._watchers:
            callback(peer_id, reachable)

    async def _send_all(
        self, link: PeerLink, receiver: trio.MemoryReceiveChannel[Any]
    ) -> None:
        peer_id = link.session.peer_id
        announced_interval = 0.0
        while True:
            interval = self._heartbeat_interval(peer_id)
            batch: list[Any] = []
            if interval == announced_interval:
                with trio.move_on_after(interval):
                    batch.append(await receiver.receive())
                while batch and len(batch) < MAX_BATCH_MESSAGES:
                    try:
                        batch.append(receiver.receive_nowait())
                    except trio.WouldBlock:
                        break
            if not batch:
                announced_interval = interval
                heartbeat = messages.Heartbeat(
                    incarnation=self._incarnation, interval_s=interval
                )
                batch.append(heartbeat)
            await link.session.send_batch(batch)

    def _heartbeat_interval(self, peer_id: str) -> float:
        if self._fast_detection is None or peer_id in self._fast_detection:
            return FAST_HEARTBEAT_S
        return SLOW_HEARTBEAT_S

    async def _close_when_silent(self, link: PeerLink) -> None:
        while True:
            silence_s = trio.current_time() - link.last_heard_at
            if silence_s > link.silence_timeout_s:
                link.scope.cancel()
                return
            # A timeout that is shortened during the sleep is checked here
            # only when the old one has passed; ``reachable`` applies it at
            # once.
            await trio.sleep(link.silence_timeout_s - silence_s + 0.01)

    async def _receive_all(self, link: PeerLink) -> None:
        async with trio.open_nursery() as nursery:
            with contextlib.suppress(trio.EndOfChannel):
                while True:
                    message = await link.session.receive()
                    link.last_heard_at = trio.current_time()
                    self._dispatch(link, message, nursery)
            link.scope.cancel()

    def _dispatch(
        self, link: PeerLink, message: Any, nursery: trio.Nursery
    ) -> None:
        if isinstance(message, messages.Heartbeat):
            link.apply_heartbeat(message)
            return

        def send_answer(answer: messages.Answer) -> None:
            with contextlib.suppress(
                trio.WouldBlock, trio.BrokenResourceError
            ):
                link.send_queue.send_nowait(answer)

        self._handlers.dispatch(
            message,
            link.session.peer_id,
            send_answer=send_answer,
            nursery=nursery,
        )

    @property
    def failed_messages(self) -> int:
        """Number of messages whose handler failed."""
        return self._handlers.failures

    def count_bytes(self) -> tuple[int, int]:
        """Return the total of bytes sent and received on all streams."""
        links = list(itertools.chain(*self._links.values()))
        sent = self._closed_bytes_sent + sum(
            k.session.bytes_sent for k in links
        )
        received = self._closed_bytes_received + sum(
            k.session.bytes_received for k in links
        )
        return sent, received


def _first_exception(error: BaseException) -> BaseException:
    """Return the first exception inside nested groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _format_remote_address(stream: trio.SocketStream) -> str:
    try:
        host, port = stream.socket.getpeername()[:2]
    except OSError:
        return "unknown"
    return f"{host}:{port}"
