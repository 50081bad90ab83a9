"""Expected service times of routes, from few samples and from many."""

import pytest

from pomelobank_core._route_times import (
    DEFAULT_EXPECTED_MS,
    PLAIN_MEAN_SAMPLES,
    RouteTimes,
)


def _times(*samples_ms: float) -> RouteTimes:
    times = RouteTimes()
    for number, sample_ms in enumerate(samples_ms):
        times.add("find", sample_ms, now_ms=10.0 * number)
    return times


@pytest.mark.parametrize(
    ("samples_ms", "expected_ms"),
    [
        pytest.param((300.0,), 200.0, id="one sample"),
        pytest.param((300.0,) * 4, 260.0, id="four samples"),
        pytest.param((60.0,) * 4, 68.0, id="a fast target"),
    ],
)
def test_few_samples_measure_a_target(
    samples_ms: tuple[float, ...], expected_ms: float
) -> None:
    """Guards against a restarted node that plans with the default time."""
    expected = _times(*samples_ms).expected_ms("find", now_ms=100.0)
    assert expected == pytest.approx(expected_ms)


def test_one_long_request_among_the_first_does_not_mark_a_target_slow() -> None:
    """Guards against one request of seven times the work as the measure."""
    times = _times(50.0, 350.0, 50.0, 50.0, 50.0, 50.0)
    assert times.expected_ms("find", now_ms=100.0) < 2 * 50.0


def test_one_long_request_does_not_mark_a_measured_target_slow() -> None:
    """Guards against a weight of the first samples that never falls."""
    times = _times(*(50.0,) * 30, 350.0)
    assert times.expected_ms("find", now_ms=400.0) < 1.5 * 50.0


def test_a_target_whose_speed_changes_is_measured_again() -> None:
    """Guards against a plain mean, which would follow a change too slowly."""
    times = _times(*(50.0,) * 200, *(100.0,) * 20)
    assert times.expected_ms("find", now_ms=2200.0) > 90.0


def test_a_warm_target_is_measured_as_before() -> None:
    """Guards against an effect of the first samples on a measured target."""
    times = _times(*(DEFAULT_EXPECTED_MS,) * PLAIN_MEAN_SAMPLES, 200.0)
    assert times.expected_ms("find", now_ms=200.0) == pytest.approx(110.0)
