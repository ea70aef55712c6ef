"""Tests of the streams between daemons on loopback sockets."""

import struct
import zlib

import attrs
import msgpack
import pytest
import trio
import trio.testing

from hawthornmast import common
from hawthornmast import peers
from hawthornmast.peers import messages


@attrs.frozen(kw_only=True)
class Note:
    text: str
    number: int | None = None
    pairs: list[tuple[str, int]] = attrs.field(factory=list)


async def _free_port():
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    await listeners[0].aclose()
    return port


async def _make_instance(name):
    return common.Instance(
        instance_id=name,
        zone="z1",
        host="127.0.0.1",
        port=1,
        peer_port=await _free_port(),
    )


def _make_network(instance, secrets):
    network = peers.PeerNetwork(
        instance=instance, incarnation=7, secrets=secrets
    )
    received = []
    network.register(
        Note,
        lambda note, sender: (
            received.append((sender, note)) or Note(text="answer")
        ),
    )
    return network, received


async def _wait_until(condition):
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.01)


class TestPeerNetwork:
    async def test_post_and_ask(self, nursery):
        a, b = await _make_instance("a"), await _make_instance("b")
        network_a, _ = _make_network(a, ("s1",))
        network_b, received = _make_network(b, ("s1",))
        network_a.set_neighbours([b])
        await network_b.start(nursery)
        await network_a.start(nursery)
        await _wait_until(lambda: network_a.reachable("b"))
        note = Note(text="hello", pairs=[("x", 1)])
        assert network_a.post("b", note)
        answer = await network_a.ask("b", Note(text="question"), 2)
        assert answer.unwrap() == Note(text="answer")
        assert received[0] == ("a", note)
        await network_a.close()
        await network_b.close()
        nursery.cancel_scope.cancel()

    @pytest.mark.parametrize(
        ("dialer", "listener", "works"),
        [
            (("new", "old"), ("old", "new"), True),
            (("old",), ("new", "old"), True),
            (("new",), ("old",), False),
        ],
    )
    async def test_secret_rotation(self, nursery, dialer, listener, works):
        # Guards against a fleet that is partitioned during a rotation of
        # secrets, and against a daemon that accepts an unknown secret.
        a, b = await _make_instance("a"), await _make_instance("b")
        network_a, _ = _make_network(a, dialer)
        network_b, _ = _make_network(b, listener)
        network_a.set_neighbours([b])
        await network_b.start(nursery)
        await network_a.start(nursery)
        with trio.move_on_after(3 if works else 0.4):
            await _wait_until(lambda: network_b.reachable("a"))
        assert network_b.reachable("a") is works
        nursery.cancel_scope.cancel()

    async def test_failing_handler_keeps_the_stream_open(self, nursery):
        # Guards against a message whose handler raises and stops the daemon.
        a, b = await _make_instance("a"), await _make_instance("b")
        network_a, _ = _make_network(a, ("s",))
        network_b, _ = _make_network(b, ("s",))
        network_b.register(Note, lambda note, sender: {}[note.text])
        network_a.set_neighbours([b])
        await network_b.start(nursery)
        await network_a.start(nursery)
        await _wait_until(lambda: network_a.reachable("b"))
        assert network_a.post("b", Note(text="missing"))
        answer = await network_a.ask("b", Note(text="missing"), 2)
        assert answer.unwrap() is None
        assert network_b.failed_messages == 2
        assert network_a.reachable("b")
        nursery.cancel_scope.cancel()

    async def test_peer_that_closes_is_unreachable(self, nursery):
        a, b = await _make_instance("a"), await _make_instance("b")
        network_a, _ = _make_network(a, ("s",))
        network_b, _ = _make_network(b, ("s",))
        changes = []
        network_a.watch(lambda peer, up: changes.append((peer, up)))
        network_a.set_neighbours([b])
        await network_b.start(nursery)
        await network_a.start(nursery)
        await _wait_until(lambda: network_a.reachable("b"))
        await network_b.close()
        await _wait_until(lambda: not network_a.reachable("b"))
        assert changes[:2] == [("b", True), ("b", False)]
        assert not network_a.post("b", Note(text="lost"))
        nursery.cancel_scope.cancel()

    @pytest.mark.parametrize(
        "data",
        [
            b"\x00\x00\x00\x00",
            b"\xff\xff\xff\xff" + b"x" * 64,
            struct.pack(">I", 5) + b"xxxxx",
            b"GET / HTTP/1.1\r\n\r\n",
        ],
        ids=["empty", "too-long", "random", "http"],
    )
    async def test_bad_first_frame_is_refused(self, nursery, data):
        # Guards against memory or tasks held for input that isn't a frame.
        instance = await _make_instance("a")
        network, _ = _make_network(instance, ("s",))
        await network.start(nursery)
        stream = await trio.open_tcp_stream("127.0.0.1", instance.peer_port)
        await stream.send_all(data)
        with trio.fail_after(3):
            # The peer may reset the connection instead of closing it.
            try:
                assert await stream.receive_some(10) == b""
            except trio.BrokenResourceError:
                pass
        await _wait_until(lambda: network.refused_frames == 1)
        nursery.cancel_scope.cancel()


class TestSession:
    @pytest.mark.parametrize("change", ["flip", "replay"])
    async def test_changed_frame_is_refused(self, nursery, change):
        # Guards against modified and replayed frames.
        codec = peers.MessageCodec(Note)
        codec.register(messages.Heartbeat)
        left, right = trio.testing.memory_stream_pair()
        a, b = peers.Session(left, codec), peers.Session(right, codec)

        async def join(session, name, initiator):
            await session.authenticate(
                instance_id=name,
                incarnation=1,
                secrets=("s",),
                initiator=initiator,
            )

        async with trio.open_nursery() as inner:
            inner.start_soon(join, a, "a", True)
            inner.start_soon(join, b, "b", False)
        frames = []
        send_all = left.send_all

        async def capture(data):
            frames.append(data)

        left.send_all = capture
        await a.send(Note(text="x"))
        frame = frames[0]
        if change == "flip":
            frame = frame[:-1] + bytes([frame[-1] ^ 1])
            await send_all(frame)
        else:
            await send_all(frame + frame)
            assert await b.receive() == Note(text="x")
        with pytest.raises(peers.FrameError, match="not signed"):
            await b.receive()


class TestOneStream:
    """Guards against the cost of two streams per pair of daemons."""

    async def test_daemons_that_dial_each_other_keep_one_stream(self, nursery):
        a, b = await _make_instance("a"), await _make_instance("b")
        network_a, _ = _make_network(a, ("s1",))
        network_b, _ = _make_network(b, ("s1",))
        network_a.set_neighbours([b])
        network_b.set_neighbours([a])
        await network_a.start(nursery)
        await network_b.start(nursery)
        await _wait_until(lambda: network_a.reachable("b"))
        await trio.sleep(0.3)
        assert network_a.count_streams("b") == 1
        assert network_b.count_streams("a") == 1
        assert network_b.reachable("a")
        await network_a.close()
        await network_b.close()
        nursery.cancel_scope.cancel()

    async def test_dials_when_stream_of_peer_closes(self, nursery):
        # Guards against a daemon that keeps waiting for a peer that has
        # stopped dialing.
        a, b = await _make_instance("a"), await _make_instance("b")
        network_a, _ = _make_network(a, ("s1",))
        network_b, _ = _make_network(b, ("s1",))
        network_a.set_neighbours([b])
        await network_a.start(nursery)
        await network_b.start(nursery)
        await _wait_until(lambda: network_b.reachable("a"))
        network_b.set_neighbours([a])
        await trio.sleep(0.1)
        network_a.set_neighbours([])
        await _wait_until(lambda: not network_a.reachable("b"))
        await _wait_until(lambda: network_a.reachable("b"))
        await network_a.close()
        await network_b.close()
        nursery.cancel_scope.cancel()


class TestHeartbeatIntervals:
    """Guards against a peer that counts as lost between two heartbeats."""

    @pytest.mark.parametrize("fast_detection", [None, ("b",), ()])
    async def test_idle_stream_stays_reachable(self, nursery, fast_detection):
        a, b = await _make_instance("a"), await _make_instance("b")
        network_a, _ = _make_network(a, ("s1",))
        network_b, _ = _make_network(b, ("s1",))
        network_a.set_neighbours([b], fast_detection=fast_detection)
        network_b.set_neighbours(
            [], fast_detection=() if fast_detection == () else None
        )
        await network_b.start(nursery)
        await network_a.start(nursery)
        await _wait_until(lambda: network_a.reachable("b"))
        for _ in range(25):
            await trio.sleep(0.1)
            assert network_a.reachable("b")
            assert network_b.reachable("a")
        await network_a.close()
        await network_b.close()
        nursery.cancel_scope.cancel()


class TestCodec:
    """Guards against malformed bodies and bodies that exhaust memory."""

    def test_repeated_names_compress_well(self):
        codec = peers.MessageCodec(Note)
        compressor, decompressor = peers.Compressor(), peers.Decompressor()
        sizes = []
        for number in range(20):
            note = Note(
                text="report",
                pairs=[(f"upstream-{n}", number + n) for n in range(19)],
            )
            content = compressor.compress(codec.encode(note))
            sizes.append(len(content))
            assert (
                codec.decode(decompressor.decompress(content)).unwrap() == note
            )
        assert sizes[-1] < len(codec.encode(note)) / 2

    @pytest.mark.parametrize(
        "content",
        [
            b"\xff\xff\xff\xff",
            zlib.compress(b"x"),
            peers.Compressor().compress(bytes(peers.MAX_FRAME_BYTES + 1)),
            zlib.compress(b"x", wbits=-12),
        ],
    )
    def test_malformed_stream_is_rejected(self, content):
        with pytest.raises(peers.FrameError):
            peers.Decompressor().decompress(content)

    @pytest.mark.parametrize(
        "body",
        [
            b"\x92\xa4Note\x93\xa1x\xc0",
            msgpack.packb(["Note", ["x"]]),
            msgpack.packb(["Note", {"text": "x"}]),
            msgpack.packb(["Note", ["x", None, [], "more"]]),
        ],
    )
    def test_malformed_body_is_rejected(self, body):
        decoded = peers.MessageCodec(Note).decode(body)
        assert decoded.unwrap_err().step == "decode-frame"
