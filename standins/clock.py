"""A clock for tests that advances only when it is set."""


class ManualClock:
    """A callable clock; tests advance it by setting ``now``."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now
