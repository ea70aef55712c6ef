"""Tests of the least-squares fits of the capacity benchmark."""

import pytest

from benchmarks.capacity import LinearFit


class TestLinearFit:
    """Guards against a target figure that the points don't support."""

    @pytest.mark.parametrize(
        ("points", "slope", "at_target"),
        [
            ([(1, 3), (2, 5), (10, 21)], 2, 201),
            ([(1, 4), (10, 4)], 0, 4),
            ([(0, 1), (1, 0), (2, 2)], 0.5, 50.5),
            # A single size has no slope, so the value is constant.
            ([(5, 7)], 0, 7),
        ],
    )
    def test_fits_least_squares(
        self,
        points: list[tuple[float, float]],
        slope: float,
        at_target: float,
    ) -> None:
        fit = LinearFit(resource="x", per="n", points=points, target_size=100)
        assert fit.slope == pytest.approx(slope)
        assert fit.at_target == pytest.approx(at_target)

    def test_describes_fit_and_budget(self) -> None:
        fit = LinearFit(
            resource="x_s",
            per="n",
            points=[(1, 2), (2, 4)],
            target_size=8,
            budget=9,
        )
        assert fit.describe() == (
            "resource=x_s per=n slope=2 at_target=16 budget=9 at=8 "
            "points=1:2,2:4"
        )
