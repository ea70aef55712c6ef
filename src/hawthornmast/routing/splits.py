"""Weighted division of a route's requests among its services."""

from hawthornmast.routing.configuration import Route


class SplitBalancer:
    """Selects services in proportion to their weights.

    Uses smooth weighted round robin, which unlike random selection keeps the
    shares exact even over few requests.
    """

    def __init__(self) -> None:
        self._current_weights: dict[str, dict[str, float]] = {}

    def select(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.targets) == 1:
            return route.targets[0].service
        current_weights = self._current_weights.setdefault(route.name, {})
        total = 0.0
        best = route.targets[0].service
        for target in route.targets:
            total += target.weight
            current_weight = (
                current_weights.get(target.service, 0.0) + target.weight
            )
            current_weights[target.service] = current_weight
            if current_weight > current_weights.get(best, 0.0):
                best = target.service
        current_weights[best] -= total
        return best

    def reset(self) -> None:
        """Clear the state of all routes after a change of weights."""
        self._current_weights.clear()
