"""Tests of the estimated time that callers have used on earlier attempts."""

import random

import pytest

from pomelobank_core import CallerTimeouts
from pomelobank_core._caller_timeouts import FIRST_CALLERS

FULL_MS = 800


def _trained_timeouts(retry_fraction: float) -> CallerTimeouts:
    """Returns the estimator after a thousand callers, some of them retries."""
    rng = random.Random(1)
    timeouts = CallerTimeouts()
    for _ in range(1000):
        given_ms = FULL_MS * rng.uniform(0.85, 1.0)
        if rng.random() < retry_fraction:
            given_ms -= 260
        timeouts.elapsed_ms("stock", round(given_ms))
    return timeouts


@pytest.mark.parametrize(
    "retry_fraction",
    [
        pytest.param(0.0, id="no retries"),
        pytest.param(0.2, id="some retries"),
        pytest.param(0.45, id="nearly half are retries"),
    ],
)
def test_retries_are_distinguished_from_first_attempts(
    retry_fraction: float,
) -> None:
    """Guards against retries that are treated as first attempts.

    Rejected callers retry with the remainder of their time. Treated as first
    attempts, the retries would get slots in which first attempts could meet
    their objective, and would still miss their own.
    """
    timeouts = _trained_timeouts(retry_fraction)
    retry_ms = timeouts.elapsed_ms("stock", round(0.92 * FULL_MS - 260))
    first_attempt_ms = timeouts.elapsed_ms("stock", round(0.92 * FULL_MS))
    assert retry_ms > 150
    assert first_attempt_ms == 0


def test_a_few_long_timeouts_do_not_change_the_typical_one() -> None:
    """Guards against a typical time-out that follows a few long time-outs.

    One caller in twenty waits ten times as long as the others. Against the
    longest time-out all other requests would look like retries, and none would
    be served as a first attempt.
    """
    rng = random.Random(1)
    timeouts = CallerTimeouts()
    for _ in range(2000):
        given_ms = FULL_MS * (10 if rng.random() < 0.05 else 1)
        timeouts.elapsed_ms("stock", given_ms)
    assert timeouts.elapsed_ms("stock", FULL_MS) < 0.1 * FULL_MS


def test_routes_are_kept_apart() -> None:
    """Guards against time-outs of one route that affect another route.

    Callers of one route wait for 20 s, callers of another route for 200 ms.
    Compared with the longer time-out, every request with the shorter one would
    look like a retry.
    """
    timeouts = CallerTimeouts()
    timeouts.elapsed_ms("slow", 20_000)
    assert timeouts.elapsed_ms("fast", 200) == 0
    assert timeouts.elapsed_ms("fast", 100) == pytest.approx(100, abs=5)


def test_a_shorter_timeout_alone_is_not_a_retry() -> None:
    """Guards against first attempts that are treated as retries.

    The time-outs of a route's callers differ by a sixth. With a deadline of
    four times the objective, the callers with the shortest time-outs would seem
    to have used half of their objective and would be served last.
    """
    timeouts = _trained_timeouts(0.0)
    assert timeouts.elapsed_ms("stock", round(0.85 * FULL_MS)) == 0


def test_callers_that_return_to_a_restarted_node_are_recognised() -> None:
    """Guards against a typical time-out that starts from a returning caller.

    After a power loss a node's first callers are those that were cut off. If
    the first of them set the typical time-out, it would grow for a hundred
    callers, and meanwhile all that return would rank as first attempts.
    """
    timeouts = CallerTimeouts()
    for given_ms in (300, 500, 200, 1000):
        timeouts.elapsed_ms("find", given_ms)
    assert timeouts.elapsed_ms("find", 300) == 700
    assert timeouts.elapsed_ms("find", 950) == 0


def test_one_patient_first_caller_does_not_stay_the_measure() -> None:
    """Guards against first attempts ranked as retries of a longer time-out."""
    timeouts = CallerTimeouts()
    timeouts.elapsed_ms("find", 10_000)
    for _ in range(FIRST_CALLERS):
        timeouts.elapsed_ms("find", 1000)
    assert timeouts.elapsed_ms("find", 1000) == 0
