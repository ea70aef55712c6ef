"""Messages of the peer protocol itself."""

import attrs


@attrs.frozen(kw_only=True)
class Hello:
    """First frame of each side, which is not signed.

    Later frames are signed; no frame is encrypted.

    Parameters
    ----------
    instance_id
        Sender's instance.
    incarnation
        Random number generated when the sender's process started.
    nonce
        Random bytes of this session; both nonces enter the session keys.
    secret_id
        Short digest that identifies the shared secret in use.
    """

    instance_id: str
    incarnation: int
    nonce: bytes
    secret_id: str


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Keep-alive of an idle stream, so that silence indicates a failure.

    Parameters
    ----------
    incarnation
        Random number of the sender's process.
    interval_s
        Maximum time for which the sender leaves the stream idle.
    """

    incarnation: int
    interval_s: float = 0.5


@attrs.frozen(kw_only=True)
class Question:
    """Message that expects an answer, which carries the same number."""

    number: int
    body: object


@attrs.frozen(kw_only=True)
class Answer:
    """Answer to a question.

    ``body`` is None without a handler or a result, or when the handler
    failed.
    """

    number: int
    body: object
