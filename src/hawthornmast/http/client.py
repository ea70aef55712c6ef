"""HTTP client for control traffic."""

import h11
from result import Err
from result import Ok
from result import Result
import trio

from hawthornmast.common import StepError
from hawthornmast.http.messages import Headers
from hawthornmast.http.messages import Response
from hawthornmast.http.statuses import check_status

MAX_RESPONSE_BYTES = 8_388_608
_RECEIVE_BYTES = 65536


class Client:
    """HTTP client with one persistent connection and no concurrent requests.

    Parameters
    ----------
    host
        IP address.
    port
        TCP port.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._stream: trio.SocketStream | None = None
        self._connection: h11.Connection | None = None

    @property
    def peer(self) -> str:
        """Address of the server as ``host:port``."""
        return f"{self._host}:{self._port}"

    async def request(
        self,
        method: str,
        target: str,
        *,
        headers: Headers = (),
        body: bytes = b"",
        timeout: float = 5.0,
    ) -> Result[Response, StepError]:
        """Send a request and return the complete response.

        GET and HEAD requests that fail on a reused connection are retried
        once on a new one, since the server may have closed the connection
        while it was idle.

        Parameters
        ----------
        timeout
            Time limit of one attempt in seconds.
        """
        reused = self._stream is not None
        result = await self._attempt(method, target, headers, body, timeout)
        if result.is_err() and reused and method in ("GET", "HEAD"):
            result = await self._attempt(
                method, target, headers, body, timeout
            )
        return result

    async def close(self) -> None:
        """Close the connection."""
        stream, self._stream = self._stream, None
        if stream is not None:
            await trio.aclose_forcefully(stream)

    async def _attempt(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        timeout: float,
    ) -> Result[Response, StepError]:
        step = "connect"
        response: Response | None = None
        detail = f"no response within {timeout} s"
        try:
            with trio.move_on_after(timeout):
                if self._stream is None:
                    self._stream = await trio.open_tcp_stream(
                        self._host, self._port
                    )
                    self._connection = h11.Connection(
                        h11.CLIENT, max_incomplete_event_size=65536
                    )
                step = "exchange"
                response = await self._exchange(method, target, headers, body)
        except (OSError, trio.BrokenResourceError) as error:
            detail = f"{type(error).__name__}: {error}"
        except (h11.RemoteProtocolError, h11.LocalProtocolError) as error:
            detail = f"protocol error: {error}"
        finally:
            if response is None:
                with trio.CancelScope(shield=True):
                    await self.close()
        if response is None:
            return Err(StepError(step=step, detail=detail, peer=self.peer))
        return Ok(response)

    async def _exchange(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> Response:
        stream, connection = self._stream, self._connection
        assert stream is not None and connection is not None
        names = {name.lower() for name, _ in headers}
        header_pairs = list(headers)
        if "host" not in names:
            header_pairs.insert(0, ("Host", self.peer))
        if body or method in ("POST", "PUT", "PATCH"):
            header_pairs.append(("Content-Length", str(len(body))))
        request = h11.Request(
            method=method, target=target, headers=header_pairs
        )
        data = connection.send(request) or b""
        if body:
            data += connection.send(h11.Data(data=body)) or b""
        data += connection.send(h11.EndOfMessage()) or b""
        await stream.send_all(data)
        return await self._read_response(stream, connection)

    async def _read_response(
        self, stream: trio.SocketStream, connection: h11.Connection
    ) -> Response:
        head: h11.Response | None = None
        content = bytearray()
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some(_RECEIVE_BYTES)
                if not data and head is None:
                    # h11's own error describes the states of its parser
                    # instead of the cause.
                    raise h11.RemoteProtocolError(
                        "connection closed before the response"
                    )
                connection.receive_data(bytes(data))
            elif isinstance(event, h11.InformationalResponse):
                check_status(event)
            elif isinstance(event, h11.Response):
                check_status(event)
                head = event
            elif isinstance(event, h11.Data):
                content += event.data
                if len(content) > MAX_RESPONSE_BYTES:
                    raise h11.RemoteProtocolError("response is too long")
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("connection closed early")
        assert head is not None
        if connection.our_state is connection.their_state is h11.DONE:
            connection.start_next_cycle()
        else:
            await self.close()
        return Response(
            status=head.status_code,
            headers=tuple(
                (name.decode("ascii"), value.decode("latin-1"))
                for name, value in head.headers
            ),
            body=bytes(content),
        )


async def fetch(
    host: str,
    port: int,
    method: str,
    target: str,
    *,
    headers: Headers = (),
    body: bytes = b"",
    timeout: float = 5.0,
) -> Result[Response, StepError]:
    """Send one request on a new connection and close it.

    Parameters
    ----------
    timeout
        Time limit of the request in seconds.
    """
    client = Client(host, port)
    try:
        return await client.request(
            method, target, headers=headers, body=body, timeout=timeout
        )
    finally:
        with trio.CancelScope(shield=True):
            await client.close()
