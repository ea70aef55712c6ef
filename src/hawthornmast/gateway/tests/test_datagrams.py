"""Tests of the receipt of datagrams by idle members."""

from collections.abc import AsyncIterator
import socket
from typing import Any

import msgpack
import pytest
import trio
import trio.testing

from hawthornmast.gateway.datagrams import DatagramTransport
from hawthornmast.gateway.datagrams import IDLE_RECEIVE_INTERVAL_S
from hawthornmast.gateway.datagrams import MAX_DATAGRAMS_PER_WAKEUP
from hawthornmast.gateway.datagrams import MessageKind


class Receiver:
    """A transport that records what it receives, and a sender."""

    def __init__(self) -> None:
        self.idle = True
        self.received: list[tuple[float, Any, float]] = []
        self._sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            self._port = probe.getsockname()[1]
        self.transport = DatagramTransport(
            "127.0.0.1",
            self._port,
            handle=self._handle,
            is_idle=lambda: self.idle,
        )

    def send(self, payload: Any) -> None:
        """Send a message to the transport."""
        data = msgpack.packb([int(MessageKind.HEARTBEAT), payload])
        self._sender.sendto(data, ("127.0.0.1", self._port))

    def close(self) -> None:
        """Close both sockets."""
        self.transport.close()
        self._sender.close()

    def _handle(
        self, kind: MessageKind, payload: Any, sender: str, waited_s: float
    ) -> None:
        self.received.append((trio.current_time(), payload, waited_s))


@pytest.fixture
async def receiver() -> AsyncIterator[Receiver]:
    """Return a receiver that isn't started."""
    receiver = Receiver()
    yield receiver
    receiver.close()


class TestIdle:
    async def test_datagrams_wait_for_the_next_interval(
        self,
        autojump_clock: trio.testing.MockClock,
        nursery: trio.Nursery,
        receiver: Receiver,
    ) -> None:
        # Guards against a wakeup for each datagram, and against heartbeats
        # that count as heard later than they arrived.
        await receiver.transport.start(nursery)
        await trio.sleep(0.001)
        receiver.send(0)
        for number in range(1, 13):
            await trio.sleep(0.01)
            receiver.send(number)
        sent_s = 0.001
        await trio.sleep(1.0)
        assert [item[1] for item in receiver.received] == list(range(13))
        times = sorted({round(at, 6) for at, _, _ in receiver.received})
        assert times == pytest.approx([0.001, 0.05, 0.1, 0.15])
        for at, number, waited_s in receiver.received:
            arrived_at = sent_s + 0.01 * number
            assert at - waited_s <= arrived_at + 1e-6
            assert waited_s <= IDLE_RECEIVE_INTERVAL_S

    async def test_busy_member_handles_each_at_once(
        self,
        autojump_clock: trio.testing.MockClock,
        nursery: trio.Nursery,
        receiver: Receiver,
    ) -> None:
        # Guards against evidence that reaches the members with traffic late.
        receiver.idle = False
        await receiver.transport.start(nursery)
        for number in range(5):
            await trio.sleep(0.007)
            receiver.send(number)
        await trio.sleep(1.0)
        assert [(round(at, 6), w) for at, _, w in receiver.received] == [
            (round(0.007 * (n + 1), 6), 0.0) for n in range(5)
        ]

    async def test_flood_is_received_without_waiting(
        self,
        autojump_clock: trio.testing.MockClock,
        nursery: trio.Nursery,
        receiver: Receiver,
    ) -> None:
        # Guards against a socket that overflows while an idle member waits.
        await receiver.transport.start(nursery)
        await trio.sleep(0.001)
        for number in range(2 * MAX_DATAGRAMS_PER_WAKEUP):
            receiver.send(number)
        await trio.sleep(0.001)
        assert len(receiver.received) == 2 * MAX_DATAGRAMS_PER_WAKEUP

    async def test_receives_again_after_a_silence(
        self,
        autojump_clock: trio.testing.MockClock,
        nursery: trio.Nursery,
        receiver: Receiver,
    ) -> None:
        # Guards against a member without peers that polls for no datagrams,
        # and against one that stops receiving after a silence.
        await receiver.transport.start(nursery)
        receiver.send(0)
        await trio.sleep(10.021)
        receiver.send(1)
        await trio.sleep(0.001)
        assert receiver.received[-1][1:] == (1, 0.0)

    async def test_close_ends_the_receipt(
        self,
        autojump_clock: trio.testing.MockClock,
        receiver: Receiver,
    ) -> None:
        # Guards against a use of the socket after it was closed.
        async with trio.open_nursery() as nursery:
            await receiver.transport.start(nursery)
            receiver.send(0)
            await trio.sleep(0.02)
            receiver.transport.close()
        assert len(receiver.received) == 1
