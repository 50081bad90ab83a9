"""Tests of the fraction of slots that better ranks leave to a request."""

import pytest

from pomelobank_core import Rank, RankLoad
from pomelobank_core._rank_load import DECAY_TIME_MS, MIN_AVAILABLE_FRACTION

URGENT = Rank(0, past_objective=False)
NORMAL = Rank(2, past_objective=False)
PAST_OBJECTIVE = Rank(2, past_objective=True)
SLOTS = 10


@pytest.mark.parametrize(
    ("slot_time_ms", "rank", "available"),
    [
        pytest.param({}, PAST_OBJECTIVE, 1.0, id="no load"),
        pytest.param({URGENT: 5000}, NORMAL, 0.5, id="urgent work takes half"),
        pytest.param({NORMAL: 5000}, URGENT, 1.0, id="worse ranks wait"),
        pytest.param({NORMAL: 5000}, NORMAL, 1.0, id="own rank is not counted"),
        pytest.param(
            {NORMAL: 5000},
            PAST_OBJECTIVE,
            0.5,
            id="requests within objective go first",
        ),
        pytest.param(
            {URGENT: 50_000},
            NORMAL,
            MIN_AVAILABLE_FRACTION,
            id="minimum fraction",
        ),
    ],
)
def test_available_fraction(
    slot_time_ms: dict[Rank, float], rank: Rank, available: float
) -> None:
    load = RankLoad()
    for other, work_ms in slot_time_ms.items():
        load.add(other, work_ms, now_ms=0)
    assert load.available_fraction(rank, SLOTS, now_ms=0) == pytest.approx(
        available
    )


def test_a_burst_of_urgent_work_decays() -> None:
    """Guards against rejections long after a burst of urgent requests.

    Urgent requests fill a target for a second, then stop. Without decay their
    slot time would cause every later look-up to be rejected.
    """
    load = RankLoad()
    load.add(URGENT, 9000, now_ms=0)
    assert load.available_fraction(NORMAL, SLOTS, now_ms=0) < 0.2
    assert (
        load.available_fraction(NORMAL, SLOTS, now_ms=5 * DECAY_TIME_MS) > 0.9
    )
