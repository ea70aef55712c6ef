"""Tests of the HTTP server and client over loopback sockets."""

import functools

import pytest
import trio

from hawthornmast import http


async def _echo(request):
    return http.json_response(
        {"path": request.path, "query": request.query, "n": len(request.body)}
    )


async def _start(nursery, **options):
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    serve = functools.partial(http.serve_connection, handler=_echo, **options)
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    return listeners[0].socket.getsockname()[1]


class TestServeConnection:
    async def test_persistent_connection_serves_several_requests(
        self, nursery
    ):
        port = await _start(nursery)
        client = http.Client("127.0.0.1", port)
        for body in (b"", b"abc"):
            result = await client.request("POST", "/a%20b?x=1", body=body)
            assert result.unwrap().json() == {
                "path": "/a b",
                "query": {"x": "1"},
                "n": len(body),
            }
        await client.close()
        nursery.cancel_scope.cancel()

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (b"\x00\x01\x02\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\nX: " + b"a" * 40000, b"431"),
            (
                b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
                b"Content-Length: 2\r\n\r\n",
                b"400",
            ),
            (
                b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\n\r\n"
                + b"x" * 99,
                b"413",
            ),
            (b"GET / HTTP/1.1\r\nHo", b"408"),
        ],
        ids=["bytes", "long-header", "two-lengths", "long-body", "half"],
    )
    async def test_invalid_request_is_rejected(self, nursery, data, status):
        # Guards against invalid or incomplete requests that keep a connection
        # open or reach the handler.
        port = await _start(nursery, max_body_bytes=10, read_timeout_s=0.1)
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        await stream.send_all(data)
        with trio.fail_after(5):
            received = b""
            while chunk := await stream.receive_some(1000):
                received += chunk
        assert received.split()[1] == status
        nursery.cancel_scope.cancel()


class TestFetch:
    async def test_refused_connection_names_step_and_peer(self):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        await listeners[0].aclose()
        error = (await http.fetch("127.0.0.1", port, "GET", "/")).unwrap_err()
        assert (error.step, error.peer) == ("connect", f"127.0.0.1:{port}")

    async def test_error_states_that_the_connection_was_closed(self, nursery):
        # Guards against errors that describe states of the HTTP parser
        # instead of the cause.
        async def close_without_response(stream):
            await stream.receive_some(1000)

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(
            trio.serve_listeners, close_without_response, listeners
        )
        port = listeners[0].socket.getsockname()[1]
        result = await http.fetch("127.0.0.1", port, "GET", "/")
        expected = "connection closed before the response"
        assert expected in result.unwrap_err().detail
        nursery.cancel_scope.cancel()

    async def test_timeout_is_an_error(self, nursery):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        result = await http.fetch("127.0.0.1", port, "GET", "/", timeout=0.05)
        assert result.unwrap_err().step == "exchange"
        await listeners[0].aclose()
