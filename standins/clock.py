"""Time that tests set."""


class Clock:
    """A clock that tests move."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now
