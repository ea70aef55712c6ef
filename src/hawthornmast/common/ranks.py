"""Priority classes of requests."""

import enum


class Rank(enum.IntEnum):
    """Priority class of a catalogue entry; lower values are served first."""

    URGENT = 0
    STANDARD = 1
    BACKGROUND = 2

    @property
    def label(self) -> str:
        """Name used in the catalogue, in logs and in metrics."""
        return self.name.lower()

    @classmethod
    def labels(cls) -> list[str]:
        """Return the names allowed in the catalogue, most urgent first."""
        return [rank.label for rank in cls]
