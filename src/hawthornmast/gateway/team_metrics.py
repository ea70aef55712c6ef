"""Metrics of the teams' rates on one member."""

from collections.abc import Callable
from collections.abc import Iterator

import attrs
from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.core import Metric
from prometheus_client.registry import Collector

from hawthornmast.gateway.allowances import name_allowance
from hawthornmast.gateway.credit import TeamCounts
from hawthornmast.gateway.credit import TeamCredit
from hawthornmast.limits import AllowanceLedger
from hawthornmast.routing import Team

MAX_TEAMS = 200
"""Teams with samples of their own."""

OTHER_TEAMS = "other"
"""Label value of the sum of all other teams."""


@attrs.frozen(eq=False)
class TeamCollector(Collector):
    """Reads the state of each team with a rate at each scrape.

    Label values come from the configuration and are bounded in number.

    Parameters
    ----------
    ledger
        Shares and tokens of this member.
    credit
        Admission of requests.
    list_teams
        Returns the teams of the configuration in force.
    """

    ledger: AllowanceLedger
    credit: TeamCredit
    list_teams: Callable[[], tuple[Team, ...]]

    def describe(self) -> Iterator[Metric]:
        """Return the metrics without samples."""
        yield from self._make_families().values()

    def collect(self) -> Iterator[Metric]:
        """Return the metrics with one sample for each team."""
        families = self._make_families()
        totals: dict[str, list[float]] = {}
        rated = [t for t in self.list_teams() if t.rate_per_s is not None]
        for index, team in enumerate(rated):
            label = team.name if index < MAX_TEAMS else OTHER_TEAMS
            total = totals.setdefault(label, [0.0] * len(families))
            for position, value in enumerate(self._read(team)):
                total[position] += value
        for label, total in totals.items():
            for family, value in zip(families.values(), total, strict=True):
                family.add_metric([label], value)
        yield from families.values()

    def _read(self, team: Team) -> tuple[float, ...]:
        name = name_allowance(team)
        counts = self.credit.counts.get(team.name, TeamCounts())
        return (
            self.ledger.share_of(name),
            self.ledger.tokens_of(name),
            float(self.credit.count_waiting(team)),
            float(counts.admitted),
            float(counts.refused),
        )

    @staticmethod
    def _make_families() -> dict[str, GaugeMetricFamily | CounterMetricFamily]:
        gauges = {
            "hawthornmast_team_share": "Share of a team's rate held here.",
            "hawthornmast_team_tokens": "Requests that may be admitted now.",
            "hawthornmast_team_waiting": "Requests that wait for a token.",
        }
        counters = {
            "hawthornmast_team_admitted": "Requests admitted at the rate.",
            "hawthornmast_team_refused": "Requests refused over the rate.",
        }
        return {
            name: GaugeMetricFamily(name, text, labels=["team"])
            for name, text in gauges.items()
        } | {
            name: CounterMetricFamily(name, text, labels=["team"])
            for name, text in counters.items()
        }
