"""A node's try to claim a key."""

import pytest

from pomelobank_core import (
    Attempt,
    AttemptState,
    AttemptStep,
    ClaimId,
    RunState,
    claim_seen,
    give_up,
    run_ended,
)

PENDING = Attempt(ClaimId("x", 1), b"a", deadline_ms=100)
RUNNING, _ = claim_seen(PENDING, True, 0)
ABANDONED = give_up(PENDING)


@pytest.mark.parametrize(
    ("attempt", "won", "now_ms", "step"),
    [
        pytest.param(PENDING, True, 0, AttemptStep.RUN, id="won"),
        pytest.param(PENDING, False, 0, AttemptStep.LOST, id="lost"),
        pytest.param(PENDING, True, 100, AttemptStep.EXPIRED, id="paused"),
        pytest.param(ABANDONED, True, 0, AttemptStep.RELEASE, id="given-up"),
        pytest.param(ABANDONED, False, 0, AttemptStep.NOTHING, id="both"),
        pytest.param(RUNNING, True, 0, AttemptStep.NOTHING, id="repeated"),
    ],
)
def test_claim_seen(
    attempt: Attempt, won: bool, now_ms: int, step: AttemptStep
) -> None:
    assert claim_seen(attempt, won, now_ms)[1] is step


@pytest.mark.parametrize(
    ("run_state", "step"),
    [
        pytest.param(RunState.NOT_RUN, AttemptStep.RELEASE, id="not-run"),
        pytest.param(RunState.UNKNOWN, AttemptStep.COMPLETE, id="unknown"),
        pytest.param(RunState.RAN, AttemptStep.COMPLETE, id="ran"),
    ],
)
def test_run_ended(run_state: RunState, step: AttemptStep) -> None:
    ended, found = run_ended(RUNNING, run_state)
    assert (ended.state, found) == (AttemptState.ENDED, step)
    assert run_ended(ended, run_state)[1] is AttemptStep.NOTHING


def test_a_running_attempt_cannot_be_given_up() -> None:
    assert give_up(RUNNING) is RUNNING
