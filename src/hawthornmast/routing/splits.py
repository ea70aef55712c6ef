"""Division of a route's requests among its services."""

from hawthornmast.routing.configuration import Route


class SplitBalancer:
    """Selects services in proportion to their weights.

    Smooth weighted round robin keeps each service's share exact over short
    spans as well, which a random choice doesn't.
    """

    def __init__(self) -> None:
        self._credits: dict[str, dict[str, float]] = {}

    def select(self, route: Route) -> str:
        """Return the service of the next request of a route."""
        if len(route.targets) == 1:
            return route.targets[0].service
        credits = self._credits.setdefault(route.name, {})
        total = 0.0
        best = route.targets[0].service
        for target in route.targets:
            total += target.weight
            credit = credits.get(target.service, 0.0) + target.weight
            credits[target.service] = credit
            if credit > credits.get(best, 0.0):
                best = target.service
        credits[best] -= total
        return best

    def forget_all(self) -> None:
        """Start anew, because the weights have changed."""
        self._credits.clear()
