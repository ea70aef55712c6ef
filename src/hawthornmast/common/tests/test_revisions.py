"""Tests of the order of revisions."""

import random

from hawthornmast.common import EraRevision


class TestOrder:
    """The era comes first, whatever the numbers are."""

    def test_newer_era_is_newer_at_a_lower_number(self) -> None:
        # Guards against a counter that went back and counts as older.
        assert EraRevision(2, 3) > EraRevision(1, 900)

    def test_numbers_order_one_era(self) -> None:
        # Guards against any change where the platform has no eras.
        numbers = random.Random(1).sample(range(1000), 20)
        ordered = sorted(EraRevision(0, number) for number in numbers)
        assert [item.number for item in ordered] == sorted(numbers)

    def test_same_number_of_another_era_differs(self) -> None:
        # Guards against a number that was assigned again.
        assert EraRevision(1, 5) != EraRevision(2, 5)
