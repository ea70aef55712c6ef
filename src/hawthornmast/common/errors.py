"""Expected failures, returned in ``result.Err``."""

import attrs


@attrs.frozen(kw_only=True)
class StepError:
    """An expected failure with the operation and the peer concerned.

    A value to be returned in ``result.Err``, not an exception. A step is one
    operation, such as opening a connection or parsing a response.

    Parameters
    ----------
    step
        Name of the operation that failed, such as ``"connect"``.
    detail
        Cause of the failure, with the value received and the values allowed.
    peer
        Remote side as ``host:port`` or an identifier, or the source of the
        data, such as the path of a settings file; empty without either.
    """

    step: str
    detail: str
    peer: str = ""

    def __str__(self) -> str:
        where = f" (peer {self.peer})" if self.peer else ""
        return f"{self.step}: {self.detail}{where}"
