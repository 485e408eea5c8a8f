"""Guards reservations against idling without an end, and against useless suspension."""

import pytest

from flamingoway.core.hold import Hold, available_share
from flamingoway.model import Resources

# Share available at first and in the review, whether the reservation may last.
REVIEWS = {
    "progress": (0.25, 0.5, True),
    "no progress": (0.5, 0.5, False),
    "a step back": (0.5, 0.25, False),
    "complete but not used": (1.0, 1.0, False),
    "nothing kept idle": (0.0, 0.0, True),
}


@pytest.mark.parametrize("case", REVIEWS.values(), ids=REVIEWS.keys())
def test_reservation_lasts_only_with_progress_or_without_idle_capacity(case):
    before, available, lasts = case
    hold = Hold(30.0, 30.0, before)
    assert hold.review(available, 40.0) is lasts
    assert hold.review_at == (70.0 if lasts else 30.0)


def test_regained_capacity_is_not_taken_for_progress():
    hold = Hold(30.0, 30.0, 0.5)
    assert hold.review(0.0, 30.0)
    assert not hold.review(0.5, 60.0)


def test_time_until_a_suspension_doubles_each_time():
    assert Hold(30.0, 0.0, 0.0).next_duration_s == 60.0
    assert Hold(960.0, 0.0, 0.0).next_duration_s == 1920.0


def test_available_share_is_that_of_the_scarcest_resource_needed():
    need = Resources(2000, 1000)
    assert available_share(need, Resources(1000, 1000)) == 0.5
    assert available_share(need, Resources(4000, 250)) == 0.25
    assert available_share(need, Resources(-1000, 1000)) == 0.0
