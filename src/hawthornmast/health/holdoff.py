"""Hold-off after an ejection, and slow start of new or returning upstreams."""

import attrs

INITIAL_HOLD_OFF_S = 5.0
MAX_HOLD_OFF_S = 300.0
QUIET_PERIOD_S = 600.0
"""Period without an ejection that halves the next hold-off."""

SLOW_START_S = 10.0
"""Time in which the usable slots rise to the full number."""

SLOW_START_INITIAL_WEIGHT = 0.1
COLD_START_S = 5.0
"""Time after listing or reinstatement in which slow responses of an upstream
do not count as evidence."""


@attrs.define(kw_only=True)
class HoldOff:
    """Exponential hold-off and slow start of one upstream."""

    backoff_exponent: int = 0
    until: float = 0.0
    slow_start_at: float = -SLOW_START_S
    last_ejection: float = 0.0

    def start(self, now: float) -> None:
        """Record an ejection."""
        quiet_periods = int((now - self.last_ejection) / QUIET_PERIOD_S)
        self.backoff_exponent = max(0, self.backoff_exponent - quiet_periods)
        self.until = now + min(
            MAX_HOLD_OFF_S, INITIAL_HOLD_OFF_S * 2**self.backoff_exponent
        )
        # 5 s * 2 ** 6 exceeds MAX_HOLD_OFF_S. A larger exponent would only
        # take longer to decay.
        self.backoff_exponent = min(self.backoff_exponent + 1, 6)
        self.last_ejection = now

    def begin_slow_start(self, now: float) -> None:
        """Begin a slow start."""
        self.slow_start_at = now

    def get_weight(self, now: float) -> float:
        """Return the fraction of slots that may be used."""
        age = now - self.slow_start_at
        if age >= SLOW_START_S:
            return 1.0
        return (
            SLOW_START_INITIAL_WEIGHT
            + (1.0 - SLOW_START_INITIAL_WEIGHT) * max(0.0, age) / SLOW_START_S
        )
