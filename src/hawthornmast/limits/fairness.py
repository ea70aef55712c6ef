"""Order in which teams get the slots of a service.

Teams with waiting requests of one rank take turns. The team with the fewest
running requests goes first, as long as no other team that waits falls behind
by more than ``MAX_LEAD`` turns. Without that limit, a team with long requests
would wait while one with short requests is served many times.
"""

from collections.abc import Iterable

import attrs

MAX_LEAD = 2
"""Turns by which a team with few running requests may be ahead of another one
that waits as well."""


@attrs.define(kw_only=True, eq=False)
class TeamUse:
    """Requests of one team and rank at one service.

    Parameters
    ----------
    running, waiting
        Number of its running and of its waiting requests.
    turns
        Number of its turns while other requests waited; only differences
        between teams that wait at the same time have a meaning.
    last_turn
        Number of the service's admission that was its latest.
    """

    running: int = 0
    waiting: int = 0
    turns: int = 0
    last_turn: int = 0


def find_least_turns(uses: Iterable[TeamUse]) -> int | None:
    """Return the turns of the waiting team that has had the fewest.

    Parameters
    ----------
    uses
        The teams of one rank. None is returned if none of them waits.
    """
    return min((use.turns for use in uses if use.waiting), default=None)


def order_team(use: TeamUse, least_turns: int) -> tuple[bool, int, int, int]:
    """Return the sort key of a team among the waiting ones of its rank."""
    is_ahead = use.turns - least_turns > MAX_LEAD
    return is_ahead, use.running, use.turns, use.last_turn


def join(use: TeamUse, least_turns: int | None) -> None:
    """Let a team take part whose first request begins to wait.

    It gets no turns for the time in which it didn't wait, and loses none.
    """
    if least_turns is not None:
        use.turns = min(max(use.turns, least_turns), least_turns + MAX_LEAD)


def take_turn(use: TeamUse, least_turns: int) -> None:
    """Count a turn of a waiting team.

    Not counted for a team that is too far ahead, which gets a slot only if
    the others can't use it. They make up for a bounded number of turns.
    """
    if use.turns - least_turns <= MAX_LEAD:
        use.turns += 1


def count_turns_before(
    own: TeamUse,
    others: Iterable[TeamUse],
    *,
    queued: int,
    least_turns: int,
) -> int:
    """Return how often other teams go before a new request of a team.

    Parameters
    ----------
    own
        The team of the request.
    others
        The teams of its rank; itself is left out.
    queued
        Number of waiting requests of the own team that go first.
    least_turns
        As returned by ``find_least_turns``.
    """
    expected = attrs.evolve(own)
    join(expected, least_turns)
    turn = expected.turns, expected.last_turn
    count = 0
    for other in others:
        if not other.waiting or other is own:
            continue
        goes_first_in_tie = (other.turns, other.last_turn) <= turn
        by_use = own.running - other.running + goes_first_in_tie
        by_turns = expected.turns + MAX_LEAD + 1 - other.turns
        count += min(other.waiting, max(0, min(by_use, by_turns)) + queued)
    return count
