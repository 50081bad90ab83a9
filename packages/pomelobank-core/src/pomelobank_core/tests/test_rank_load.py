"""How much of a target better ranks leave to a request that waits."""

import pytest

from pomelobank_core import Rank, RankLoad
from pomelobank_core._rank_load import DECAY_TIME_MS, MIN_AVAILABLE_FRACTION

URGENT = Rank(0, past_objective=False)
USUAL = Rank(2, past_objective=False)
LATE = Rank(2, past_objective=True)
SLOTS = 10


@pytest.mark.parametrize(
    ("taken", "rank", "rest"),
    [
        pytest.param({}, LATE, 1.0, id="nothing runs"),
        pytest.param({URGENT: 5000}, USUAL, 0.5, id="half is overtaken"),
        pytest.param({USUAL: 5000}, URGENT, 1.0, id="worse ranks wait"),
        pytest.param({USUAL: 5000}, USUAL, 1.0, id="own rank is in the queue"),
        pytest.param({USUAL: 5000}, LATE, 0.5, id="what is in time goes first"),
        pytest.param(
            {URGENT: 50_000}, USUAL, MIN_AVAILABLE_FRACTION, id="never endless"
        ),
    ],
)
def test_rest(taken: dict[Rank, float], rank: Rank, rest: float) -> None:
    load = RankLoad()
    for other, work_ms in taken.items():
        load.add(other, work_ms, now_ms=0)
    assert load.available_fraction(rank, SLOTS, now_ms=0) == pytest.approx(rest)


def test_a_burst_of_urgent_work_is_forgotten() -> None:
    """Urgent requests fill a target for a second, then stop.

    Remembered for good they would have every look-up refused from then on.
    """
    load = RankLoad()
    load.add(URGENT, 9000, now_ms=0)
    assert load.available_fraction(USUAL, SLOTS, now_ms=0) < 0.2
    assert load.available_fraction(USUAL, SLOTS, now_ms=5 * DECAY_TIME_MS) > 0.9
