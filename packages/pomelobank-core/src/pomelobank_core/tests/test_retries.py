"""Tests of retry decisions and of the load that retries add."""

import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomelobank_core import ErrorKind, FailedAttempt, RetryBudget, RetryPolicy
from pomelobank_core._retries import MAX_ATTEMPTS, MAX_TRANSPARENT_RETRIES
from pomelobank_core._retry_budget import MAX_BUDGET
from pomelobank_core.tests.fleet_support import Fleet, member

FAILED = FailedAttempt(
    error=ErrorKind.UPSTREAM_UNREACHABLE,
    idempotent=False,
    attempts=1,
    transparent_retries=0,
    remaining_ms=1000,
)


@pytest.mark.parametrize(
    ("changes", "retried"),
    [
        pytest.param({}, True, id="not_run"),
        pytest.param({"error": ErrorKind.PEER_LOST}, False, id="unknown"),
        pytest.param(
            {"error": ErrorKind.PEER_LOST, "idempotent": True},
            True,
            id="idempotent_unknown",
        ),
        pytest.param({"error": None}, False, id="shed"),
        pytest.param(
            {"error": None, "idempotent": True}, True, id="idempotent_shed"
        ),
        pytest.param({"error": ErrorKind.OVERLOADED}, True, id="other_room"),
        pytest.param(
            {"error": ErrorKind.OVERLOADED, "other_has_capacity": False},
            False,
            id="all_full",
        ),
        pytest.param({"error": ErrorKind.QUARANTINED}, False, id="quarantined"),
        pytest.param(
            {"error": ErrorKind.DEADLINE_NOT_RUN}, False, id="deadline"
        ),
        pytest.param({"error": ErrorKind.CLAIM_UNAVAILABLE}, False, id="claim"),
        pytest.param({"is_retry": True}, False, id="part_of_a_retry"),
        pytest.param({"attempts": MAX_ATTEMPTS}, False, id="tries_used_up"),
        pytest.param({"remaining_ms": 5}, False, id="no_time_left"),
        pytest.param({"expected_ms": 999}, False, id="would_end_too_late"),
        pytest.param(
            {
                "error": ErrorKind.DRAINING,
                "transparent_retries": 1,
                "is_retry": True,
            },
            True,
            id="redirect",
        ),
        pytest.param(
            {
                "error": ErrorKind.DRAINING,
                "transparent_retries": MAX_TRANSPARENT_RETRIES,
            },
            False,
            id="redirected_too_often",
        ),
    ],
)
def test_which_failures_are_retried(
    changes: dict[str, object], retried: bool
) -> None:
    attempt = attrs.evolve(FAILED, **changes)
    retry = RetryPolicy(random.Random(1)).decide("stock", attempt, 0)
    assert (retry is not None) is retried


def test_failing_upstream_gets_ten_percent_more_load() -> None:
    """Guards against retries that multiply the load of a failing upstream.

    Every target of the upstream refuses each connection. Without a budget the
    retries would triple the upstream's load while the upstream cannot serve
    even its normal load.
    """
    retries = RetryPolicy(random.Random(1))
    attempts = 0
    for now_ms in range(0, 10_000, 2):
        retries.on_first_attempt("stock", now_ms)
        attempts += 1
        for attempt_number in range(1, 4):
            attempt = attrs.evolve(FAILED, attempts=attempt_number)
            if retries.decide("stock", attempt, now_ms) is None:
                break
            attempts += 1
    assert attempts <= 5000 * 1.1 + MAX_BUDGET + 10


def test_runs_stay_bounded_when_targets_die_one_by_one() -> None:
    """Guards against requests that run on too many targets.

    Under load, three of four targets die, 200 ms apart, so the target of a
    retry may die as well. Without a limit of the attempts, a request could run
    on every target.
    """
    fleet = Fleet([member(f"t{number}") for number in range(4)])
    fleet.load(400, 3000)
    for number in range(3):
        fleet.events.schedule(
            500 + 200 * number,
            lambda n=number: fleet.kill(f"t{n}"),
        )
    fleet.events.run()
    outcomes = fleet.outcomes()
    assert len(outcomes["answered"]) > 0.98 * len(fleet.calls)
    assert max(fleet.runs.values()) <= MAX_ATTEMPTS


STEPS = st.lists(
    st.tuples(st.sampled_from(["first", "take"]), st.integers(0, 5000)),
    max_size=200,
)


@given(steps=STEPS)
def test_budget_is_never_exceeded(steps: list[tuple[str, int]]) -> None:
    budget = RetryBudget()
    now_ms = 0
    firsts = 0
    for action, pause_ms in steps:
        now_ms += pause_ms
        if action == "first":
            budget.on_first_attempt(now_ms)
            firsts += 1
        else:
            budget.try_acquire(now_ms)
        allowed = MAX_BUDGET + 0.1 * firsts + 0.5 * now_ms / 1000
        assert budget.spent <= allowed + 1e-6
        assert 0 <= budget.tokens <= MAX_BUDGET
