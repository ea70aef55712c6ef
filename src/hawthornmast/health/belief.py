"""How likely an upstream fails its work right now.

An upstream alternates between two states: sound, in which few requests fail,
and failing, in which most do while its health endpoint says that all is
well. The state shows only in the outcomes of requests, so this is the forward
filter of a two-state hidden Markov model: the probability drifts towards its
long-term mean and is updated by Bayes' rule with each outcome. One failure
after a long success counts at once, one success after a failure does not
clear an upstream, and without any evidence both are forgotten.
"""

import enum
import math

import attrs


class Sign(enum.IntEnum):
    """What one request showed of its upstream."""

    SUCCEEDED = 0
    FAILED = 1
    FAILED_LATE = 2
    """It failed after about the time that its work takes. An upstream that
    fails most of its work does so sooner; requests that are bad themselves
    fail so everywhere."""


@attrs.frozen(kw_only=True)
class FailureModel:
    """Rates of the two states.

    Parameters
    ----------
    onset_per_s
        Changes per second of a sound upstream to the failing state.
    end_per_s
        Changes per second of a failing upstream to the sound state.
    failing_share, failing_late_share
        Shares of requests that fail early and late in the failing state.
    sound_share, sound_late_share
        Shares of requests that fail early and late in the sound state.
    """

    onset_per_s: float = 0.035
    end_per_s: float = 0.08
    failing_share: float = 0.75
    failing_late_share: float = 0.06
    sound_share: float = 0.005
    sound_late_share: float = 0.012

    @property
    def mean(self) -> float:
        """Share of time that an upstream spends in the failing state."""
        return self.onset_per_s / (self.onset_per_s + self.end_per_s)

    def drift(self, probability: float, seconds: float) -> float:
        """Return a probability after some time without evidence."""
        if seconds <= 0.0:
            return probability
        rate = self.onset_per_s + self.end_per_s
        return self.mean + (probability - self.mean) * math.exp(
            -rate * seconds
        )

    def update(self, probability: float, sign: Sign) -> float:
        """Return a probability after one request."""
        if sign is Sign.FAILED:
            failing, sound = self.failing_share, self.sound_share
        elif sign is Sign.FAILED_LATE:
            failing = self.failing_late_share
            sound = self.sound_late_share
        else:
            failing, sound = 1 - self.failing_share, 1 - self.sound_share
        weight = probability * failing
        return weight / (weight + (1.0 - probability) * sound)


MODEL = FailureModel()


class Belief:
    """The probability that one upstream is in the failing state.

    Parameters
    ----------
    now
        Monotonic time in seconds.
    model
        Rates of the two states.
    """

    __slots__ = ("_at", "_model", "_probability", "failed_at")

    def __init__(self, now: float, *, model: FailureModel = MODEL) -> None:
        self._model = model
        self._probability = model.mean
        self._at = now
        self.failed_at = -math.inf

    def at(self, now: float) -> float:
        """Return the probability at a time."""
        return self._model.drift(self._probability, now - self._at)

    def note(self, now: float, sign: Sign, *, sent_at: float) -> bool:
        """Apply what one request showed; tell whether it counts.

        Parameters
        ----------
        sent_at
            When the upstream got the request. A success of work that began
            before the last failure tells nothing of the time after it.
        """
        if sign is Sign.SUCCEEDED and sent_at < self.failed_at:
            return False
        self._probability = self._model.update(self.at(now), sign)
        self._at = now
        if sign is not Sign.SUCCEEDED:
            self.failed_at = now
        return True
