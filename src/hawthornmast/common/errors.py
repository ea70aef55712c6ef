"""Expected failures, returned in ``result.Err``."""

import attrs


@attrs.frozen(kw_only=True)
class StepError:
    """An expected failure with the operation and the peer concerned.

    Parameters
    ----------
    step
        Name of the operation that failed, such as ``"connect"``.
    detail
        Cause of the failure, with the value received and the values allowed.
    peer
        Remote side as ``host:port`` or an identifier; empty for a local
        failure.
    """

    step: str
    detail: str
    peer: str = ""

    def __str__(self) -> str:
        where = f" (peer {self.peer})" if self.peer else ""
        return f"{self.step}: {self.detail}{where}"
