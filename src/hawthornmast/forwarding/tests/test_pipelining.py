"""Tests of requests that a client sends before earlier ones are answered."""

import h11
import pytest
import trio
from trio.testing import MockClock

from hawthornmast.forwarding.pipeline import MAX_PIPELINED_REQUESTS
from hawthornmast.forwarding.pipeline import PIPELINE_BYTES
from hawthornmast.forwarding.tests.pipelines import make_request
from hawthornmast.forwarding.tests.pipelines import parse_responses
from hawthornmast.forwarding.tests.pipelines import read_to_end
from hawthornmast.forwarding.tests.pipelines import run_memory_server

_REQUESTS = {
    "a": make_request("/read/a/300"),
    "b": make_request("/read/b/100", method="PUT", body=b"body"),
    "c": make_request("/429/c"),
    "d": make_request("/once/d/50", method="POST", body=b"x"),
    "e": make_request("/stream/e/10"),
    "f": make_request("/read/f/20"),
}
_SCRIPT = b"".join(_REQUESTS.values())
_POSITIONS = range(len(_SCRIPT) + 1)
_LEAVE_S = 0.26
"""The longest interval in which the server polls, and a round of polling."""

_BAD = b"GET /read/bad HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n"


def run_mocked(function):
    """Run an async function with a clock that skips waiting times."""
    return trio.run(function, clock=MockClock(autojump_threshold=0))


def list_whole(count):
    """Return the names of requests that the first bytes hold completely."""
    names, end = [], 0
    for name, data in _REQUESTS.items():
        end += len(data)
        if end <= count:
            names.append(name)
    return names


def summarize(responses):
    """Return the name or the status of each response."""
    return [
        response.body.split(b":")[0].decode()[-1]
        if response.status == 200
        else response.status
        for response in responses
    ]


def check_answers(responses, handler):
    """Check what holds for each connection that its client reads to the end.

    Guards against answers out of order, cut or missing for what was
    forwarded, and against a close that is announced too early.
    """
    answered = summarize(responses)
    assert all(response.whole for response in responses)
    assert [response.close for response in responses[:-1]] == (
        [False] * len(responses[:-1])
    )
    assert set(handler.started) <= set(answered)
    assert answered == [
        429 if name == "c" else name for name in "abcdef"[: len(answered)]
    ] or answered[-1] in (400, 408, 503)
    assert not handler.overlaps.get("d")


class TestChunkings:
    @pytest.mark.parametrize("pause_s", [0.0, 0.03])
    def test_each_request_is_answered_for_each_split(self, pause_s):
        # Guards against a state of the reader in which bytes are lost or
        # requests are run twice.
        async def run():
            async with run_memory_server() as (server, nursery):
                for position in _POSITIONS:
                    handler = server.handler
                    handler.__init__()
                    client = server.connect(nursery)
                    await client.send(_SCRIPT[:position])
                    await trio.sleep(pause_s)
                    if _SCRIPT[position:]:
                        await client.send(_SCRIPT[position:])
                    await trio.sleep(1.0)
                    responses = parse_responses(await client.recv(65_536))
                    check_answers(responses, handler)
                    assert len(responses) == 6
                    assert sorted(handler.ended) == list("abdef")
                    assert not any(response.close for response in responses)
                    client.close()

        run_mocked(run)

    def test_requests_that_come_byte_by_byte(self):
        # Guards against a reader that needs a whole head in one piece.
        async def run():
            async with run_memory_server() as (server, nursery):
                client = server.connect(nursery)
                for position in range(len(_SCRIPT)):
                    await client.send(_SCRIPT[position : position + 1])
                    await trio.sleep(0.0005)
                await trio.sleep(1.0)
                responses = parse_responses(await client.recv(65_536))
                check_answers(responses, server.handler)
                assert len(responses) == 6
                client.close()

        run_mocked(run)


class TestClosePoints:
    def test_client_that_stops_sending_gets_what_it_sent_answered(self):
        # Guards against waiting requests that are dropped when the next one
        # is too slow.
        async def run():
            async with run_memory_server(header_s=0.5, body_s=0.5) as (
                server,
                nursery,
            ):
                for position in _POSITIONS:
                    server.handler.__init__()
                    client = server.connect(nursery)
                    await client.send(_SCRIPT[:position])
                    await trio.sleep(2.0)
                    data = b""
                    with trio.move_on_after(0.01):
                        data = await client.recv(65_536)
                    responses = parse_responses(data)
                    check_answers(responses, server.handler)
                    whole = list_whole(position)
                    assert len(responses) >= len(whole)
                    # Nothing, or one refusal of the part that came last.
                    extra = responses[len(whole) :]
                    rest = position - sum(len(_REQUESTS[n]) for n in whole)
                    assert [one.status for one in extra] == [408] * bool(rest)
                    assert all(one.close for one in extra)
                    client.close()

        run_mocked(run)

    @pytest.mark.parametrize("delay_s", [0.0, 0.02, 0.12, 0.32])
    @pytest.mark.parametrize("how", ["close", "half-close", "reset"])
    def test_client_that_leaves_cancels_all_its_requests(self, how, delay_s):
        # Guards against work, memory and tasks that a client leaves behind.
        async def run():
            async with run_memory_server() as (server, nursery):
                for position in _POSITIONS[::3]:
                    server.handler.__init__()
                    client = server.connect(nursery)
                    await client.send(_SCRIPT[:position])
                    await trio.sleep(delay_s)
                    if how == "half-close":
                        client.shutdown(trio.socket.SHUT_WR)
                    else:
                        # Closing with unread data resets the connection.
                        if how == "close":
                            with trio.move_on_after(0.001):
                                await client.recv(65_536)
                        client.close()
                    await trio.sleep(_LEAVE_S)
                    assert not server.handler.running
                    assert not server.connections
                    if how == "half-close":
                        responses = parse_responses(await read_to_end(client))
                        # The stream that ran when the poll noticed that the
                        # client had left is cut, and is the last response.
                        if server.handler.streams and responses:
                            *responses, last = responses
                            assert last.whole or last.body.startswith(b"4\r\n")
                        assert all(one.whole for one in responses)
                        client.close()

        run_mocked(run)

    def test_client_that_leaves_cancels_requests_ahead_of_their_turn(self):
        # Guards against only the first request being cancelled.
        async def run():
            async with run_memory_server() as (server, nursery):
                client = server.connect(nursery)
                await client.send(
                    make_request("/read/a/9000") + make_request("/read/b/9000")
                )
                await trio.sleep(0.1)
                assert server.handler.running == {"a", "b"}
                client.close()
                await trio.sleep(0.1)
                assert sorted(server.handler.left) == ["a", "b"]
                assert not server.connections

        run_mocked(run)


class TestExpectation:
    def test_no_100_within_an_earlier_response(self):
        # Guards against "100 Continue" in the middle of a response, which its
        # client would take for a part of the body.
        async def run():
            async with run_memory_server() as (server, nursery):
                client = server.connect(nursery)
                await client.send(
                    make_request("/stream/a/100")
                    + make_request(
                        "/read/b/10", headers="Expect: 100-continue\r\n"
                    )
                )
                await trio.sleep(1.0)
                data = b""
                with trio.move_on_after(0.5):
                    while piece := await client.recv(65_536):
                        data += piece
                assert b"HTTP/1.1 100" not in data
                assert data.count(b"HTTP/1.1 200") == 2
                client.close()

        run_mocked(run)


class TestBadInput:
    @pytest.mark.parametrize("count", range(5))
    def test_requests_before_bad_input_are_answered_first(self, count):
        # Guards against a refusal that overtakes the answers before it or
        # closes the connection under them.
        async def run():
            async with run_memory_server() as (server, nursery):
                names = list(_REQUESTS)[:count]
                data = b"".join(_REQUESTS[name] for name in names)
                client = server.connect(nursery)
                await client.send(data + _BAD + _REQUESTS["f"])
                responses = parse_responses(await read_to_end(client))
                check_answers(responses, server.handler)
                assert len(responses) == count + 1
                assert responses[-1].status == 400
                assert responses[-1].close
                assert server.bad_inputs == ["folded-header"]
                assert "f" not in server.handler.started
                client.close()

        run_mocked(run)

    @pytest.mark.parametrize("status", [401, 429, 503])
    def test_refusal_in_the_middle_keeps_order_and_connection(self, status):
        # Guards against refusals that are sent as soon as they are known.
        async def run():
            async with run_memory_server() as (server, nursery):
                client = server.connect(nursery)
                await client.send(
                    _REQUESTS["a"]
                    + make_request(f"/{status}/x")
                    + _REQUESTS["f"]
                )
                await trio.sleep(1.0)
                responses = parse_responses(await client.recv(65_536))
                assert summarize(responses) == ["a", status, "f"]
                assert not any(response.close for response in responses)
                client.close()

        run_mocked(run)

    def test_request_refused_before_its_body_is_the_last(self):
        # Guards against an unread body that is taken for a request.
        async def run():
            async with run_memory_server() as (server, nursery):
                client = server.connect(nursery)
                refused = make_request(
                    "/refuse/x", method="POST", body=make_request("/read/z")
                )
                await client.send(_REQUESTS["a"] + refused + _REQUESTS["f"])
                responses = parse_responses(await read_to_end(client))
                assert summarize(responses) == ["a", 401]
                assert [one.close for one in responses] == [False, True]
                assert server.handler.started == ["a"]
                client.close()

        run_mocked(run)


class TestOrder:
    def test_repeatable_requests_overlap_up_to_the_bound(self):
        # Guards against requests that are run one after another, and against
        # a client that starts any number of them.
        async def run():
            async with run_memory_server() as (server, nursery):
                client = server.connect(nursery)
                names = "abcdefghijkl"
                await client.send(
                    b"".join(make_request(f"/read/{n}/200") for n in names)
                )
                await trio.sleep(0.1)
                assert len(server.handler.running) == MAX_PIPELINED_REQUESTS
                await trio.sleep(0.35)
                responses = parse_responses(await client.recv(65_536))
                assert summarize(responses) == list(names)
                client.close()

        run_mocked(run)

    def test_later_requests_start_while_earlier_ones_run(self):
        # Guards against requests that only overlap if they come at once.
        async def run():
            async with run_memory_server() as (server, nursery):
                client = server.connect(nursery)
                for name in "abc":
                    await client.send(make_request(f"/read/{name}/200"))
                    await trio.sleep(0.01)
                await trio.sleep(0.2)
                responses = parse_responses(await client.recv(65_536))
                assert summarize(responses) == list("abc")
                client.close()

        run_mocked(run)

    def test_request_that_must_not_be_repeated_starts_in_its_turn(self):
        # Guards against a request that runs and can't be answered because an
        # earlier answer ends the connection.
        async def run():
            async with run_memory_server() as (server, nursery):
                client = server.connect(nursery)
                await client.send(
                    make_request("/read/a/200")
                    + make_request("/read/b/100")
                    + make_request("/once/c/100", method="POST")
                    + make_request("/read/d/100")
                )
                await trio.sleep(0.19)
                assert server.handler.started == ["a", "b"]
                await trio.sleep(0.05)
                assert server.handler.started == ["a", "b", "c"]
                await trio.sleep(1.0)
                responses = parse_responses(await client.recv(65_536))
                assert summarize(responses) == list("abcd")
                client.close()

        run_mocked(run)

    def test_stream_is_held_back_until_its_turn(self):
        # Guards against streamed bytes between the parts of another answer,
        # and against an upstream that is read while nothing can be sent.
        async def run():
            async with run_memory_server() as (server, nursery):
                client = server.connect(nursery)
                await client.send(
                    make_request("/read/a/300") + make_request("/stream/b/10")
                )
                await trio.sleep(0.2)
                assert server.handler.streams[0].reads == 0
                await trio.sleep(0.2)
                responses = parse_responses(await client.recv(65_536))
                assert summarize(responses) == ["a", "b"]
                assert responses[1].whole
                client.close()

        run_mocked(run)

    @pytest.mark.parametrize(
        "error", [OSError("reset"), h11.RemoteProtocolError("cut")]
    )
    def test_broken_stream_ends_the_connection(self, error):
        # Guards against a cut response that looks whole because another one
        # follows it.
        async def run():
            async with run_memory_server() as (server, nursery):
                server.handler.stream_pieces = [b"x" * 100, error]
                client = server.connect(nursery)
                await client.send(
                    make_request("/read/a/100")
                    + make_request("/stream/b/10")
                    + make_request("/read/c/10")
                )
                responses = parse_responses(await read_to_end(client))
                assert [one.whole for one in responses] == [True, False]
                client.close()

        run_mocked(run)


class TestBounds:
    def test_long_held_answers_stop_further_reading(self):
        # Guards against a connection that holds any number of bytes.
        async def run():
            async with run_memory_server() as (server, nursery):
                server.handler.response_bytes = PIPELINE_BYTES // 2
                client = server.connect(nursery)
                await client.send(make_request("/read/a/500"))
                for name in "bcde":
                    await trio.sleep(0.05)
                    await client.send(make_request(f"/read/{name}/10"))
                await trio.sleep(0.1)
                assert server.handler.started == ["a", "b", "c"]
                received = b""
                while received.count(b"HTTP/1.1") < 5:
                    received += await client.recv(1_000_000)
                client.close()

        run_mocked(run)

    def test_long_body_is_read_in_its_turn(self):
        # Guards against bodies that are buffered before they can be used.
        async def run():
            size = 3 * PIPELINE_BYTES
            async with run_memory_server(body_bytes=size) as (server, nursery):
                client = server.connect(nursery)
                body = make_request("/read/b", method="PUT", body=b"x" * size)
                nursery.start_soon(
                    trio.SocketStream.send_all,
                    trio.SocketStream(client),
                    make_request("/read/a/500") + body,
                )
                await trio.sleep(0.3)
                assert server.buffered_body_bytes == 0
                await trio.sleep(1.0)
                responses = parse_responses(await client.recv(65_536))
                assert summarize(responses) == ["a", "b"]
                client.close()

        run_mocked(run)

    def test_continue_waits_for_earlier_answers(self):
        # Guards against an interim response that a client takes for the
        # answer to an earlier request.
        async def run():
            async with run_memory_server() as (server, nursery):
                client = server.connect(nursery)
                request = make_request(
                    "/read/b",
                    method="PUT",
                    headers="Expect: 100-continue\r\n",
                    body=b"x",
                )
                await client.send(make_request("/read/a/200") + request[:-1])
                received = await client.recv(65_536)
                assert trio.current_time() >= 0.2
                while b"HTTP/1.1 100" not in received:
                    received += await client.recv(65_536)
                assert received.startswith(b"HTTP/1.1 200")
                await client.send(b"x")
                assert b"b:1;" in await client.recv(65_536)
                client.close()

        run_mocked(run)


class TestStopping:
    def test_stopping_server_answers_what_was_forwarded(self):
        # Guards against forwarded requests whose connection closes before
        # their answers, and against requests that start behind a close.
        async def run():
            async with run_memory_server() as (server, nursery):
                client = server.connect(nursery)
                await client.send(
                    make_request("/read/a/200")
                    + make_request("/read/b/400")
                    + make_request("/once/c/10", method="POST")
                )
                await trio.sleep(0.1)
                server.begin_drain()
                responses = parse_responses(await read_to_end(client))
                assert summarize(responses) == ["a", "b"]
                assert [one.close for one in responses] == [False, True]
                assert server.handler.started == ["a", "b"]
                client.close()

        run_mocked(run)

    def test_end_of_the_stop_ends_all_requests(self):
        # Guards against requests behind the first that outlive the stop.
        async def run():
            async with run_memory_server() as (server, nursery):
                client = server.connect(nursery)
                await client.send(
                    make_request("/read/a/9000") + make_request("/read/b/9000")
                )
                await trio.sleep(0.1)
                server.begin_drain(end_at=trio.current_time() + 0.5)
                responses = parse_responses(await read_to_end(client))
                assert trio.current_time() < 1.0
                assert summarize(responses) == [504, 504]
                assert [one.close for one in responses] == [False, True]
                client.close()

        run_mocked(run)


class TestTimeouts:
    def test_idle_time_begins_with_the_last_answer(self):
        # Guards against a connection that is closed as idle while requests
        # run, or never after a pipeline.
        async def run():
            async with run_memory_server(idle_s=1.0) as (server, nursery):
                client = server.connect(nursery)
                await client.send(
                    make_request("/read/a/3000") + make_request("/read/b/10")
                )
                received = await read_to_end(client)
                assert summarize(parse_responses(received)) == ["a", "b"]
                assert 4.0 <= trio.current_time() <= 4.2
                client.close()

        run_mocked(run)

    def test_client_that_reads_nothing_is_cut(self):
        # Guards against answers that are held for a client without end.
        async def run():
            async with run_memory_server(write_s=1.0) as (server, nursery):
                server.handler.response_bytes = 1_000_000
                client = server.connect(nursery)
                await client.send(
                    make_request("/read/a/10") + make_request("/read/b/9000")
                )
                await trio.sleep(1.2)
                assert not server.connections
                assert not server.handler.running
                client.close()

        run_mocked(run)


class TestSequentialServers:
    def test_server_that_does_not_read_ahead_serves_in_turn(self):
        # Guards against overlapping requests on the native interface, whose
        # tickets are redeemed in the order of the requests.
        async def run():
            async with run_memory_server() as (server, nursery):
                server.reads_ahead = False
                client = server.connect(nursery)
                await client.send(_SCRIPT)
                await trio.sleep(2.0)
                responses = parse_responses(await client.recv(65_536))
                check_answers(responses, server.handler)
                assert len(responses) == 6
                assert not any(server.handler.overlaps.values())
                client.close()

        run_mocked(run)
