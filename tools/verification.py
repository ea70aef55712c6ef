"""Checks client outcomes against the execution logs of the upstreams."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

import attrs

from standins.client import CallRecord
from standins.client import Verdict


@attrs.frozen(kw_only=True)
class VerificationResult:
    """Request counts of one run and the keys of violating requests.

    Parameters
    ----------
    requests
        Requests that clients sent.
    complete, not_run, unknown, wrong
        Requests by the outcome that their clients observed.
    doubled
        Keys of non-idempotent requests that were executed more than once.
    executed_though_refused
        Keys of requests that were executed although their client was told
        that they were not.
    lost
        Keys of complete requests that no upstream executed.
    wrong_keys
        Keys of requests whose client received the response to another
        request, or a truncated one.
    non_idempotent, non_idempotent_unknown
        Number of non-idempotent requests, and of those with an unknown
        outcome.
    """

    requests: int
    complete: int
    not_run: int
    unknown: int
    wrong: int
    doubled: tuple[str, ...] = ()
    executed_though_refused: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()
    wrong_keys: tuple[str, ...] = ()
    non_idempotent: int = 0
    non_idempotent_unknown: int = 0

    @property
    def violations(self) -> int:
        """Number of violations of the invariants."""
        return (
            self.wrong
            + len(self.doubled)
            + len(self.executed_though_refused)
            + len(self.lost)
        )


def verify_calls(
    calls: Iterable[CallRecord], runs: Iterable[Mapping[str, Any]]
) -> VerificationResult:
    """Check the calls of a run against the upstreams' execution logs."""
    listed = list(calls)
    counts = collections.Counter(run["key"] for run in runs)
    verdicts = collections.Counter(call.verdict for call in listed)
    return VerificationResult(
        requests=len(listed),
        complete=verdicts[Verdict.COMPLETE],
        not_run=verdicts[Verdict.NOT_RUN],
        unknown=verdicts[Verdict.UNKNOWN],
        wrong=verdicts[Verdict.WRONG],
        doubled=tuple(
            call.key
            for call in listed
            if not call.idempotent and counts[call.key] > 1
        ),
        executed_though_refused=tuple(
            call.key
            for call in listed
            if call.verdict is Verdict.NOT_RUN and counts[call.key]
        ),
        lost=tuple(
            call.key
            for call in listed
            if call.verdict is Verdict.COMPLETE and not counts[call.key]
        ),
        wrong_keys=tuple(
            call.key for call in listed if call.verdict is Verdict.WRONG
        ),
        non_idempotent=sum(not call.idempotent for call in listed),
        non_idempotent_unknown=sum(
            not call.idempotent and call.verdict is Verdict.UNKNOWN
            for call in listed
        ),
    )
