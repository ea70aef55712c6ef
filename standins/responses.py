"""Faulty responses of an upstream stand-in, as bytes."""

import trio

from standins.faults import Faults

_ENDLESS_CHUNKED = {
    "chunk-size": b"1;",
    "small-chunks": b"",
    "trailer": b"1\r\nx\r\n0\r\nX-Endless: ",
}
"""Begin of the body of endless responses in chunked encoding."""


_SMALL_CHUNK = b"1\r\nx\r\n"


def format_faulty_response(
    status: int,
    headers: list[tuple[bytes, bytes]],
    content: bytes,
    faults: Faults,
) -> bytes:
    """Return a response with truncated, HTTP/1.0 or ambiguous framing."""
    version = b"1.0" if faults.old else b"1.1"
    lines = [b"HTTP/%s %d Answer" % (version, status)]
    lines += [name + b": " + value for name, value in headers]
    body = content
    if faults.cut == "short":
        lines.append(b"Content-Length: %d" % (len(content) + 10))
    elif faults.cut == "chunked":
        lines.append(b"Transfer-Encoding: chunked")
        body = b"%x\r\n%s\r\n" % (len(content), content)
    elif faults.cut != "close":
        lines.append(b"Content-Length: %d" % len(content))
    if faults.two_lengths:
        lines.append(b"Transfer-Encoding: chunked")
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(content), content)
    response = b"\r\n".join(lines) + b"\r\n\r\n" + body
    # 30 bytes end within the head.
    return response[:30] if faults.cut == "head" else response


def replace_status(response: bytes, text: str) -> bytes:
    """Return a response with another text in place of its status."""
    version, _, rest = response.partition(b" ")
    return b"%s %s %s" % (version, text.encode(), rest[len(b"200 ") :])


async def send_endless(
    stream: trio.SocketStream,
    status: int,
    headers: list[tuple[bytes, bytes]],
    faults: Faults,
) -> None:
    """Send bytes without end, until the peer closes the connection."""
    lines = [b"HTTP/1.1 %d Answer" % status]
    piece = b"x" * faults.endless_piece_bytes
    if faults.endless == "small-chunks":
        piece = _SMALL_CHUNK * (
            faults.endless_piece_bytes // len(_SMALL_CHUNK)
        )
    if faults.endless == "header":
        head = b"\r\n".join([*lines, b"X-Endless: "])
    elif faults.endless == "informational":
        head = b""
        hint = b"HTTP/1.1 103 Early Hints\r\n\r\n"
        piece = hint * (faults.endless_piece_bytes // len(hint))
    else:
        if faults.endless != "unsigned":
            lines += [name + b": " + value for name, value in headers]
        if faults.endless in _ENDLESS_CHUNKED:
            lines.append(b"Transfer-Encoding: chunked")
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        head += _ENDLESS_CHUNKED.get(faults.endless, b"")
    await stream.send_all(head)
    while True:
        await stream.send_all(piece)
        await trio.sleep(faults.endless_pause_s)


def make_late_copy(
    response: bytes, faults: Faults, names: tuple[bytes, ...]
) -> bytes:
    """Return a second copy of a response as ``faults.late_copy`` states.

    Parameters
    ----------
    names
        Headers that name the request.
    """
    if faults.late_copy == "half":
        return response[len(response) // 2 :]
    if faults.late_copy == "broken-off":
        return response[: faults.late_copy_bytes]
    if faults.late_copy != "unnamed":
        return response
    lower_names = [name.lower() for name in names]
    head, _, body = response.partition(b"\r\n\r\n")
    lines = [
        line
        for line in head.split(b"\r\n")
        if line.partition(b":")[0].lower() not in lower_names
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
