"""The limit that follows what a target does with its requests."""

from pomelobank_core import ConcurrencyLimit


def test_cold_start_grows_to_all_slots() -> None:
    limit = ConcurrencyLimit.start(20)
    assert (limit.current, limit.reason) == (5, "cold start")
    for _ in range(15):
        limit.on_response("r", 10, limit.current)
    assert (limit.current, limit.reason) == (20, "")


def test_shedding_target_gets_less() -> None:
    """A target announces ten slots but turns away what is above four.

    Without the limit every burst would cost callers six errors of ten.
    """
    limit = ConcurrencyLimit(10, 10, False)
    shed = 0
    for _ in range(200):
        tried = limit.current
        for place in range(tried):
            if place < 4:
                limit.on_response("r", 10, tried)
            else:
                limit.on_shed()
                shed += 1
    assert limit.current in (4, 5)
    assert shed <= 0.05 * 200 * 4


def test_one_burst_of_sheds_is_one_step() -> None:
    limit = ConcurrencyLimit(20, 20, False)
    for _ in range(10):
        limit.on_shed()
    assert limit.current == 18


def test_slow_target_keeps_half_and_recovers() -> None:
    """A target's data base stalls; all its answers take five times as long."""
    limit = ConcurrencyLimit(10, 10, False)
    for _ in range(200):
        limit.on_response("r", 10, limit.current)
    lowest = 10
    for _ in range(60):
        limit.on_response("r", 50, limit.current)
        lowest = min(lowest, limit.current)
    assert 5 <= lowest < 10
    assert limit.reason == "slower than usual"
    for _ in range(400):
        limit.on_response("r", 10, limit.current)
    assert (limit.current, limit.reason) == (10, "")


def test_mixed_work_does_not_look_slow() -> None:
    limit = ConcurrencyLimit(10, 10, False)
    for index in range(2000):
        limit.on_response("r", 200 if index % 10 == 0 else 5, limit.current)
    assert limit.current >= 9


def test_more_slots_are_approached_step_by_step() -> None:
    limit = ConcurrencyLimit(4, 4, False)
    limit.set_slots(8)
    assert limit.current == 4
    for _ in range(4):
        limit.on_response("r", 10, limit.current)
    assert limit.current == 8
