"""Tests of a node's attempt to claim a key."""

import pytest

from pomelobank_core import (
    ClaimAttempt,
    ClaimAttemptState,
    ClaimAttemptStep,
    ClaimId,
    RunState,
    abandon,
    on_claim_seen,
    on_run_ended,
)

PENDING = ClaimAttempt(ClaimId("x", 1), b"a", deadline_ms=100)
RUNNING, _ = on_claim_seen(PENDING, True, 0)
ABANDONED = abandon(PENDING)


@pytest.mark.parametrize(
    ("attempt", "won", "now_ms", "step"),
    [
        pytest.param(PENDING, True, 0, ClaimAttemptStep.RUN, id="won"),
        pytest.param(PENDING, False, 0, ClaimAttemptStep.LOST, id="lost"),
        pytest.param(PENDING, True, 100, ClaimAttemptStep.EXPIRED, id="paused"),
        pytest.param(
            ABANDONED, True, 0, ClaimAttemptStep.RELEASE, id="abandoned"
        ),
        pytest.param(
            ABANDONED,
            False,
            0,
            ClaimAttemptStep.NOTHING,
            id="abandoned-and-lost",
        ),
        pytest.param(RUNNING, True, 0, ClaimAttemptStep.NOTHING, id="repeated"),
    ],
)
def test_on_claim_seen(
    attempt: ClaimAttempt, won: bool, now_ms: int, step: ClaimAttemptStep
) -> None:
    assert on_claim_seen(attempt, won, now_ms)[1] is step


@pytest.mark.parametrize(
    ("run_state", "step"),
    [
        pytest.param(RunState.NOT_RUN, ClaimAttemptStep.RELEASE, id="not-run"),
        pytest.param(RunState.UNKNOWN, ClaimAttemptStep.COMPLETE, id="unknown"),
        pytest.param(RunState.RAN, ClaimAttemptStep.COMPLETE, id="ran"),
    ],
)
def test_on_run_ended(run_state: RunState, step: ClaimAttemptStep) -> None:
    ended, next_step = on_run_ended(RUNNING, run_state)
    assert (ended.state, next_step) == (ClaimAttemptState.ENDED, step)
    assert on_run_ended(ended, run_state)[1] is ClaimAttemptStep.NOTHING


def test_a_running_attempt_cannot_be_abandoned() -> None:
    assert abandon(RUNNING) is RUNNING
