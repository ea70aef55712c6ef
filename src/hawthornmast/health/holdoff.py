"""Hold-off after an ejection, and slow start of new or returning upstreams."""

import attrs

INITIAL_HOLD_OFF_S = 5.0
MAX_HOLD_OFF_S = 300.0
QUIET_PERIOD_S = 600.0
"""Period without an ejection that halves the next hold-off."""

RAMP_S = 10.0
RAMP_INITIAL_WEIGHT = 0.1
COLD_START_S = 5.0


@attrs.define(kw_only=True)
class HoldOff:
    """Exponential hold-off and slow start of one upstream."""

    backoff_exponent: int = 0
    until: float = 0.0
    ramp_started: float = -RAMP_S
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

    def start_ramp(self, now: float) -> None:
        """Begin a slow start."""
        self.ramp_started = now

    def get_weight(self, now: float) -> float:
        """Return the fraction of slots that may be used."""
        age = now - self.ramp_started
        if age >= RAMP_S:
            return 1.0
        return (
            RAMP_INITIAL_WEIGHT
            + (1.0 - RAMP_INITIAL_WEIGHT) * max(0.0, age) / RAMP_S
        )
