"""HTTP server for control traffic."""

from collections.abc import Awaitable
from collections.abc import Callable

import h11
import trio

from hawthornmast.audit import log_failures
from hawthornmast.http.messages import json_response
from hawthornmast.http.messages import Request
from hawthornmast.http.messages import Response

Handler = Callable[[Request], Awaitable[Response]]

MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 1_048_576
IDLE_TIMEOUT_S = 60.0
READ_TIMEOUT_S = 10.0
"""Default time limit for reading a request; also limits writing a response."""

_RECEIVE_BYTES = 65536


class _RejectedRequestError(Exception):
    """A request that is rejected before the handler is called."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


async def open_server(
    nursery: trio.Nursery, handler: Handler, *, host: str, port: int
) -> None:
    """Listen on an address and serve connections in the nursery.

    Raises OSError if the port can't be opened.
    """
    listeners = await trio.open_tcp_listeners(port, host=host)

    async def serve(stream: trio.SocketStream) -> None:
        with log_failures("serve-control"):
            await serve_connection(stream, handler)

    nursery.start_soon(trio.serve_listeners, serve, listeners)


async def serve_connection(
    stream: trio.abc.Stream,
    handler: Handler,
    *,
    max_body_bytes: int = MAX_BODY_BYTES,
    idle_timeout_s: float = IDLE_TIMEOUT_S,
    read_timeout_s: float = READ_TIMEOUT_S,
) -> None:
    """Serve requests until the connection is closed.

    Parameters
    ----------
    stream
        Connected stream; closed before the function returns.
    handler
        Called with each complete request.
    max_body_bytes
        Longer bodies are rejected with status 413.
    idle_timeout_s
        Time for which a connection may be idle.
    read_timeout_s
        Maximum time from the first byte of a request to its end.
    """
    connection = h11.Connection(
        h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES
    )
    try:
        while await _serve_request(
            stream,
            connection,
            handler,
            max_body_bytes,
            idle_timeout_s,
            read_timeout_s,
        ):
            connection.start_next_cycle()
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass
    finally:
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
            await stream.aclose()


async def _serve_request(
    stream: trio.abc.Stream,
    connection: h11.Connection,
    handler: Handler,
    max_body_bytes: int,
    idle_timeout_s: float,
    read_timeout_s: float,
) -> bool:
    """Serve one request; return whether the connection can be reused."""
    try:
        request = await _read_request(
            stream, connection, max_body_bytes, idle_timeout_s, read_timeout_s
        )
    except h11.RemoteProtocolError as error:
        response = json_response(
            {"error": str(error)}, status=error.error_status_hint
        )
        await _write_response(stream, connection, response, close=True)
        return False
    except _RejectedRequestError as error:
        response = json_response({"error": str(error)}, status=error.status)
        await _write_response(stream, connection, response, close=True)
        return False
    if request is None:
        return False
    response = await handler(request)
    await _write_response(
        stream, connection, response, omit_body=request.method == "HEAD"
    )
    return (
        connection.our_state is h11.DONE and connection.their_state is h11.DONE
    )


async def _read_request(
    stream: trio.abc.Stream,
    connection: h11.Connection,
    max_body_bytes: int,
    idle_timeout_s: float,
    read_timeout_s: float,
) -> Request | None:
    head: h11.Request | None = None
    body = bytearray()
    with trio.move_on_after(idle_timeout_s) as scope:
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                if connection.they_are_waiting_for_100_continue:
                    continue_response = h11.InformationalResponse(
                        status_code=100, headers=[]
                    )
                    await _send(stream, connection, continue_response)
                data = await stream.receive_some(_RECEIVE_BYTES)
                if data and head is None:
                    # The read timeout starts with the first byte.
                    scope.deadline = min(
                        scope.deadline, trio.current_time() + read_timeout_s
                    )
                connection.receive_data(bytes(data))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > max_body_bytes:
                    raise _RejectedRequestError(
                        413, f"body exceeds {max_body_bytes} bytes"
                    )
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                return Request(
                    method=head.method.decode("ascii"),
                    target=head.target.decode("ascii"),
                    headers=tuple(
                        (name.decode("ascii"), value.decode("latin-1"))
                        for name, value in head.headers
                    ),
                    body=bytes(body),
                )
            else:
                return None
    if head is not None or connection.trailing_data[0]:
        raise _RejectedRequestError(
            408, f"request not complete within {read_timeout_s} s"
        )
    return None


async def _send(
    stream: trio.abc.Stream, connection: h11.Connection, event: h11.Event
) -> None:
    data = connection.send(event)
    if data:
        await stream.send_all(data)


async def _write_response(
    stream: trio.abc.Stream,
    connection: h11.Connection,
    response: Response,
    *,
    close: bool = False,
    omit_body: bool = False,
) -> None:
    if connection.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
        return
    headers = [*response.headers, ("Content-Length", str(len(response.body)))]
    if close:
        headers.append(("Connection", "close"))
    data = connection.send(
        h11.Response(status_code=response.status, headers=headers)
    )
    assert data is not None
    if not omit_body and response.body:
        data += connection.send(h11.Data(data=response.body)) or b""
        data += connection.send(h11.EndOfMessage()) or b""
    elif omit_body:
        connection.send(h11.EndOfMessage())
    else:
        data += connection.send(h11.EndOfMessage()) or b""
    with trio.fail_after(READ_TIMEOUT_S):
        await stream.send_all(data)
