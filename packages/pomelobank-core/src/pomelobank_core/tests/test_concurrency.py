"""Tests of the adaptive limit of concurrent requests."""

from pomelobank_core import ConcurrencyLimit


def test_cold_start_grows_to_all_slots() -> None:
    """Guards against the full load on a target that has just started.

    The limit of such a cold target starts at a quarter of the slots and rises
    with each response.
    """
    limit = ConcurrencyLimit.start(20)
    assert (limit.current, limit.reason) == (5, "cold start")
    for _ in range(15):
        limit.on_response("r", 10, limit.current)
    assert (limit.current, limit.reason) == (20, "")


def test_limit_falls_for_a_shedding_target() -> None:
    """Guards against a limit above the capacity of a target.

    A target announces ten slots but sheds each request above four. Without the
    limit six of ten requests of every burst would fail.
    """
    limit = ConcurrencyLimit(10, 10, False)
    shed_count = 0
    for _ in range(200):
        sent = limit.current
        for index in range(sent):
            if index < 4:
                limit.on_response("r", 10, sent)
            else:
                limit.on_shed()
                shed_count += 1
    assert limit.current in (4, 5)
    assert shed_count <= 0.05 * 200 * 4


def test_one_burst_of_shed_requests_is_one_step() -> None:
    """Guards against a burst of shed requests that lowers the limit repeatedly.

    One overload sheds ten requests of a burst. If each of these requests
    lowered the limit, the limit would fall far below the target's capacity.
    """
    limit = ConcurrencyLimit(20, 20, False)
    for _ in range(10):
        limit.on_shed()
    assert limit.current == 18


def test_slow_target_keeps_half_and_recovers() -> None:
    """Guards against a limit that falls too far or stays low.

    A target's database stalls and all its responses take five times as long.
    """
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
    """Guards against a lower limit for a route with long and short work.

    One response in ten takes forty times as long as the other responses,
    although the target is not overloaded.
    """
    limit = ConcurrencyLimit(10, 10, False)
    for index in range(2000):
        limit.on_response("r", 200 if index % 10 == 0 else 5, limit.current)
    assert limit.current >= 9


def test_more_slots_are_approached_step_by_step() -> None:
    """Guards against a burst of load on new slots that are still cold."""
    limit = ConcurrencyLimit(4, 4, False)
    limit.set_slots(8)
    assert limit.current == 4
    for _ in range(4):
        limit.on_response("r", 10, limit.current)
    assert limit.current == 8
