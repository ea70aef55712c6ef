"""Hold-off after an ejection and the ramp on return or first use."""

import attrs

FIRST_S = 5.0
LONGEST_S = 300.0
FORGET_S = 600.0
"""Each such period without an ejection halves the next hold-off."""

RAMP_S = 10.0
RAMP_FIRST = 0.1
COLD_START_S = 5.0


@attrs.define(kw_only=True)
class HoldOff:
    """Ejections of one upstream over time, and its share of work."""

    strikes: int = 0
    until: float = 0.0
    ramp_from: float = -RAMP_S
    last: float = 0.0

    def start(self, now: float) -> None:
        """Record an ejection."""
        quiet = int((now - self.last) / FORGET_S)
        self.strikes = max(0, self.strikes - quiet)
        self.until = now + min(LONGEST_S, FIRST_S * 2**self.strikes)
        # 2 ** 6 exceeds the longest hold-off; more would only be forgotten
        # more slowly.
        self.strikes = min(self.strikes + 1, 6)
        self.last = now

    def start_ramp(self, now: float) -> None:
        """Begin with a small share of work."""
        self.ramp_from = now

    def get_weight(self, now: float) -> float:
        """Return the share of slots that may be used."""
        age = now - self.ramp_from
        if age >= RAMP_S:
            return 1.0
        return RAMP_FIRST + (1.0 - RAMP_FIRST) * max(0.0, age) / RAMP_S
