"""Compares what clients were told with what upstreams executed."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

import attrs

from standins.client import CallRecord
from standins.client import Verdict


@attrs.frozen(kw_only=True)
class Findings:
    """Counts over one run, and the keys that broke a promise.

    Parameters
    ----------
    requests
        Requests that clients sent.
    complete, not_run, unknown, wrong
        Requests by their end, as the clients saw them.
    doubled
        Keys of non-idempotent requests that ran more than once.
    ran_though_refused
        Keys that ran though their client was told that they did not.
    lost
        Keys of complete requests that no upstream executed.
    wrong_keys
        Keys whose client received another answer than its own, or a part.
    ordered, ordered_unknown
        Non-idempotent requests, and those of them that ended unknown.
    """

    requests: int
    complete: int
    not_run: int
    unknown: int
    wrong: int
    doubled: tuple[str, ...] = ()
    ran_though_refused: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()
    wrong_keys: tuple[str, ...] = ()
    ordered: int = 0
    ordered_unknown: int = 0

    @property
    def violations(self) -> int:
        """Number of broken promises."""
        return (
            self.wrong
            + len(self.doubled)
            + len(self.ran_though_refused)
            + len(self.lost)
        )


def judge_calls(
    calls: Iterable[CallRecord], runs: Iterable[Mapping[str, Any]]
) -> Findings:
    """Judge the calls of a run by the execution logs of the upstreams."""
    listed = list(calls)
    counts = collections.Counter(run["key"] for run in runs)
    verdicts = collections.Counter(call.verdict for call in listed)
    return Findings(
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
        ran_though_refused=tuple(
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
        ordered=sum(not call.idempotent for call in listed),
        ordered_unknown=sum(
            not call.idempotent and call.verdict is Verdict.UNKNOWN
            for call in listed
        ),
    )
