"""Estimate of the probability that an upstream is failing.

An upstream is modelled as alternating between two hidden states: healthy, in
which few requests fail, and failing, in which most requests fail although the
health endpoint reports success. Only request outcomes reveal the state, so
the estimate is the forward filter of a two-state hidden Markov model. Between
observations the probability decays towards its stationary value; each
observation updates it by Bayes' rule. A single failure after many successes
takes effect immediately, a single success after a failure does not clear the
upstream, and the effect of both decays without further observations.
"""

import enum
import functools
import math

import attrs


class Observation(enum.IntEnum):
    """Outcome of one request, as input of the failure model.

    ``Belief`` and ``SharedPool`` use observations; the sequential test of
    ``HealthMonitor`` uses ``Evidence`` instead.
    """

    SUCCEEDED = 0
    FAILED = 1
    FAILED_LATE = 2
    """Failed after about the usual response time. A failing upstream fails
    sooner; a request that is itself invalid fails this late on every
    upstream."""


@attrs.frozen(kw_only=True)
class FailureModel:
    """Transition rates and failure probabilities of the two states.

    With the default rates, an upstream without observations is considered
    failing with probability 0.30, and the effect of an observation decays
    with a time constant of 8.7 s.

    Parameters
    ----------
    onset_per_s
        Transition rate from the healthy to the failing state.
    recovery_per_s
        Transition rate from the failing to the healthy state.
    failing_early_probability, failing_late_probability
        Probability that a request fails early or late in the failing state.
    healthy_early_probability, healthy_late_probability
        Probability that a request fails early or late in the healthy state.
    """

    onset_per_s: float = 0.035
    recovery_per_s: float = 0.08
    failing_early_probability: float = 0.75
    failing_late_probability: float = 0.06
    healthy_early_probability: float = 0.005
    healthy_late_probability: float = 0.012

    @functools.cached_property
    def stationary_probability(self) -> float:
        """Long-run fraction of time in the failing state."""
        return self.onset_per_s / (self.onset_per_s + self.recovery_per_s)

    def predict(self, probability: float, seconds: float) -> float:
        """Return the probability after a time without observations."""
        if seconds <= 0.0:
            return probability
        rate = self.onset_per_s + self.recovery_per_s
        return self.stationary_probability + (
            probability - self.stationary_probability
        ) * math.exp(-rate * seconds)

    def update(self, probability: float, observation: Observation) -> float:
        """Return the probability after one observation."""
        if observation is Observation.FAILED:
            failing, healthy = (
                self.failing_early_probability,
                self.healthy_early_probability,
            )
        elif observation is Observation.FAILED_LATE:
            failing = self.failing_late_probability
            healthy = self.healthy_late_probability
        else:
            failing, healthy = (
                1 - self.failing_early_probability,
                1 - self.healthy_early_probability,
            )
        weight = probability * failing
        return weight / (weight + (1.0 - probability) * healthy)


DEFAULT_MODEL = FailureModel()


class Belief:
    """Belief state: the probability that one upstream is failing.

    Parameters
    ----------
    now
        Monotonic time in seconds.
    model
        Parameters of the two states.
    """

    __slots__ = ("_model", "_probability", "_updated_at", "last_failure_at")

    def __init__(
        self, now: float, *, model: FailureModel = DEFAULT_MODEL
    ) -> None:
        self._model = model
        self._probability = model.stationary_probability
        self._updated_at = now
        self.last_failure_at = -math.inf

    def probability_at(self, now: float) -> float:
        """Return the probability at the given time."""
        return self._model.predict(self._probability, now - self._updated_at)

    def is_doubtful(self) -> bool:
        """Return whether a failure is likelier than without observations."""
        return self._probability > self._model.stationary_probability

    def observe(
        self, now: float, observation: Observation, *, sent_at: float
    ) -> bool:
        """Apply one observation; return False if it was ignored.

        Parameters
        ----------
        sent_at
            Time at which the upstream received the request. A success is
            ignored if this is before the last failure, since it says nothing
            about the state after that failure.
        """
        if (
            observation is Observation.SUCCEEDED
            and sent_at < self.last_failure_at
        ):
            return False
        self._probability = self._model.update(
            self.probability_at(now), observation
        )
        self._updated_at = now
        if observation is not Observation.SUCCEEDED:
            self.last_failure_at = now
        return True
