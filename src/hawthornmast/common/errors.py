"""Expected failures, which travel in ``result.Err``."""

import attrs


@attrs.frozen(kw_only=True)
class StepError:
    """An expected failure with the step and the peer at which it arose.

    Parameters
    ----------
    step
        Name of the operation that failed, such as ``"connect"``.
    detail
        What went wrong, with the value received and the values allowed.
    peer
        The remote party as ``host:port`` or an identifier; empty when the
        failure is local.
    """

    step: str
    detail: str
    peer: str = ""

    def __str__(self) -> str:
        where = f" (peer {self.peer})" if self.peer else ""
        return f"{self.step}: {self.detail}{where}"
