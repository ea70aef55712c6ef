"""Validation of the statuses of received responses."""

import h11

MIN_FINAL_STATUS = 200
MAX_STATUS = 599
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


def check_status(head: h11.Response | h11.InformationalResponse) -> None:
    """Refuse a response whose status is not one that HTTP defines.

    h11 refuses statuses below 100, those that are not three digits, and 101.
    It passes on statuses above 599, which clients can't interpret. It takes
    each status from 100 to 199 for an informational response, after which it
    waits for another one; a head that declares a body is a final response
    with an invalid status instead, and its body must not be parsed as the
    next response.

    Raises
    ------
    h11.RemoteProtocolError
        If the status is invalid.
    """
    status = head.status_code
    if status > MAX_STATUS:
        raise h11.RemoteProtocolError(
            f"status is {status}, allowed: {MIN_FINAL_STATUS} to {MAX_STATUS}"
        )
    if status < MIN_FINAL_STATUS:
        for name, _ in head.headers:
            if name in _FRAMING_HEADERS:
                raise h11.RemoteProtocolError(
                    f"informational response {status} with a body"
                )
