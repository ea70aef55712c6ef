"""Retry budgets."""

_MINIMUM = 3.0
"""Retries that a new or quiet entry may start with."""

_CAP = 20.0
"""Most retries kept for later; a burst of them adds this much load."""


class RetryBudget:
    """Token bucket of one entry, filled by completed first attempts.

    Parameters
    ----------
    ratio
        Retries allowed per completed first attempt, from 0 to 1. With 0 no
        retry is allowed.
    """

    def __init__(self, ratio: float) -> None:
        if not 0.0 <= ratio <= 1.0:
            raise ValueError(f"ratio must be from 0 to 1, got {ratio}")
        self.ratio = ratio
        self._tokens = _MINIMUM if ratio > 0.0 else 0.0

    @property
    def tokens(self) -> float:
        """Retries available."""
        return self._tokens

    def record_completion(self) -> None:
        """Credit a first attempt that completed."""
        self._tokens = min(_CAP, self._tokens + self.ratio)

    def take(self) -> bool:
        """Spend one retry; False when the budget is empty."""
        # Sums of 0.1 fall short of 1 by rounding.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True
