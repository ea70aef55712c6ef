"""Retry budget of an entry."""

_INITIAL_TOKENS = 3.0
"""Retries available to a new entry."""

_MAX_TOKENS = 20.0
"""Capacity of the bucket, which bounds the load of a burst of retries."""


class RetryBudget:
    """Token bucket of one entry, filled by completed first attempts.

    Parameters
    ----------
    ratio
        Retries allowed per completed first attempt, from 0 to 1; 0 allows no
        retries.
    """

    def __init__(self, ratio: float) -> None:
        if not 0.0 <= ratio <= 1.0:
            raise ValueError(f"ratio must be from 0 to 1, got {ratio}")
        self.ratio = ratio
        self._tokens = _INITIAL_TOKENS if ratio > 0.0 else 0.0

    @property
    def tokens(self) -> float:
        """Number of retries available."""
        return self._tokens

    def record_completion(self) -> None:
        """Add the credit of a completed first attempt."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self.ratio)

    def take(self) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        # Ten additions of 0.1 fall short of 1 by a rounding error.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True
