"""What a caller has used on earlier attempts, told by the time it has left."""

import random

import pytest

from pomelobank_core import CallerTimeouts

FULL_MS = 800


def _learnt(back_part: float) -> CallerTimeouts:
    """Returns what is known after a thousand callers, some of them back."""
    rng = random.Random(1)
    patience = CallerTimeouts()
    for _ in range(1000):
        given_ms = FULL_MS * rng.uniform(0.85, 1.0)
        if rng.random() < back_part:
            given_ms -= 260
        patience.elapsed_ms("stock", round(given_ms))
    return patience


@pytest.mark.parametrize(
    "back_part",
    [
        pytest.param(0.0, id="nobody was refused"),
        pytest.param(0.2, id="some come back"),
        pytest.param(0.45, id="nearly half come back"),
    ],
)
def test_callers_that_come_back_are_told_apart(back_part: float) -> None:
    """Callers are refused and come back with a part of their time.

    Taken for newcomers, they get slots in which newcomers would have been in
    time, and their own answers are late all the same.
    """
    patience = _learnt(back_part)
    back = patience.elapsed_ms("stock", round(0.92 * FULL_MS - 260))
    new = patience.elapsed_ms("stock", round(0.92 * FULL_MS))
    assert back > 150
    assert new == 0


def test_a_few_patient_callers_change_nothing() -> None:
    """One caller in twenty waits ten times as long as the others.

    Measured against the most patient one, everybody else would seem to have
    come back and nobody would be served first.
    """
    rng = random.Random(1)
    patience = CallerTimeouts()
    for _ in range(2000):
        given_ms = FULL_MS * (10 if rng.random() < 0.05 else 1)
        patience.elapsed_ms("stock", given_ms)
    assert patience.elapsed_ms("stock", FULL_MS) < 0.1 * FULL_MS


def test_routes_are_kept_apart() -> None:
    patience = CallerTimeouts()
    patience.elapsed_ms("slow", 20_000)
    assert patience.elapsed_ms("fast", 200) == 0
    assert patience.elapsed_ms("fast", 100) == pytest.approx(100, abs=5)


def test_a_newcomer_who_is_less_patient_is_no_returning_caller() -> None:
    """Callers of one route differ in their patience by a sixth.

    With a deadline of four times the objective, the least patient would seem
    to have used half of it, and would be served after everybody else.
    """
    patience = _learnt(0.0)
    assert patience.elapsed_ms("stock", round(0.85 * FULL_MS)) == 0
