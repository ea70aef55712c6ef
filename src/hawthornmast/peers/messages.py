"""Messages of the peer streams themselves."""

import attrs


@attrs.frozen(kw_only=True)
class Hello:
    """First frame of each side, in the clear.

    Parameters
    ----------
    instance_id
        Sender's instance.
    incarnation
        Random number that the sender made when its process started.
    nonce
        Fresh random bytes; both nonces enter the session keys.
    secret_id
        Short digest that names the shared secret which the sender uses.
    """

    instance_id: str
    incarnation: int
    nonce: bytes
    secret_id: str


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Sent when a stream has been idle, so that silence means trouble.

    Parameters
    ----------
    incarnation
        Random number of the sender's process.
    interval_s
        Longest time that the sender leaves the stream idle.
    """

    incarnation: int
    interval_s: float = 0.5


@attrs.frozen(kw_only=True)
class Question:
    """A message that expects an answer with the same number."""

    number: int
    body: object


@attrs.frozen(kw_only=True)
class Answer:
    """The answer to a question; ``body`` is None when none was found."""

    number: int
    body: object
