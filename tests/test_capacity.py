"""Tests of the fitted lines of the capacity measurement."""

import pytest

from benchmarks.capacity import Slope


class TestSlope:
    """Guards against a target figure that the points don't support."""

    @pytest.mark.parametrize(
        ("points", "slope", "at_target"),
        [
            ([(1, 3), (2, 5), (10, 21)], 2, 201),
            ([(1, 4), (10, 4)], 0, 4),
            ([(0, 1), (1, 0), (2, 2)], 0.5, 50.5),
            # One size gives no slope; the value itself is all there is.
            ([(5, 7)], 0, 7),
        ],
    )
    def test_fits_least_squares(
        self,
        points: list[tuple[float, float]],
        slope: float,
        at_target: float,
    ) -> None:
        line = Slope(resource="x", per="n", points=points, at=100)
        assert line.slope == pytest.approx(slope)
        assert line.at_target == pytest.approx(at_target)

    def test_prints_what_is_compared(self) -> None:
        line = Slope(
            resource="x_s", per="n", points=[(1, 2), (2, 4)], at=8, budget=9
        )
        assert line.describe() == (
            "resource=x_s per=n slope=2 at_target=16 budget=9 at=8 "
            "points=1:2,2:4"
        )
