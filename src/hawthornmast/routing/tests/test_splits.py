"""Tests of the division of a route's requests."""

import collections

from hawthornmast.routing import SplitBalancer
from hawthornmast.routing import Target
from hawthornmast.routing.tests.test_configuration import make_route


class TestSplitBalancer:
    """Each service gets its share, even over few requests."""

    def test_shares_are_exact_over_any_hundred(self) -> None:
        route = make_route(
            "split", "/", targets=(Target("a", 90.0), Target("b", 10.0))
        )
        balancer = SplitBalancer()
        chosen = [balancer.select(route) for _ in range(250)]
        for start in range(150):
            counts = collections.Counter(chosen[start : start + 100])
            assert counts["b"] == 10

    def test_zero_weight_gets_no_requests(self) -> None:
        route = make_route(
            "split", "/", targets=(Target("a", 0.0), Target("b", 1.0))
        )
        balancer = SplitBalancer()
        assert {balancer.select(route) for _ in range(20)} == {"b"}

    def test_reset_clears_the_state_of_old_weights(self) -> None:
        old = make_route(
            "split", "/", targets=(Target("a", 99.0), Target("b", 1.0))
        )
        new = make_route(
            "split", "/", targets=(Target("a", 1.0), Target("b", 1.0))
        )
        balancer = SplitBalancer()
        for _ in range(50):
            balancer.select(old)
        balancer.reset()
        chosen = [balancer.select(new) for _ in range(10)]
        assert chosen.count("a") == 5
