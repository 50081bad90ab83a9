"""One attempt of a node to claim a key and run the key's request."""

import enum

import attrs

from pomelobank_core._claims import ClaimId
from pomelobank_core._errors import RunState


class ClaimAttemptState(enum.Enum):
    """State of an attempt.

    Attributes:
        PENDING: The node has not yet read the claim in the stream.
        RUNNING: The claim holds the key and the request may be at a target.
        ABANDONED: The node gave the attempt up before it read the claim, so
            the request must never run.
        ENDED: The attempt needs no further step.
    """

    PENDING = "pending"
    RUNNING = "running"
    ABANDONED = "abandoned"
    ENDED = "ended"


class ClaimAttemptStep(enum.Enum):
    """Next step that the node has to take for an attempt.

    Attributes:
        NOTHING: The node takes no step.
        RUN: The node runs the request once.
        LOST: Another claim holds the key; the node responds to the caller with
            the outcome of that claim.
        EXPIRED: The node releases the claim and responds that the deadline
            passed and the request was not run.
        RELEASE: The node releases the claim.
        COMPLETE: The node records the outcome of the request in the log.
    """

    NOTHING = "nothing"
    RUN = "run"
    LOST = "lost"
    EXPIRED = "expired"
    RELEASE = "release"
    COMPLETE = "complete"


@attrs.frozen
class ClaimAttempt:
    """An attempt to claim a key.

    Attributes:
        claim_id: Identity of the attempt's claim.
        key: The claim key.
        deadline_ms: Deadline of the request, on the node's clock.
        state: State of the attempt.
    """

    claim_id: ClaimId
    key: bytes
    deadline_ms: int
    state: ClaimAttemptState = ClaimAttemptState.PENDING


def on_claim_seen(
    attempt: ClaimAttempt, won: bool, now_ms: int
) -> tuple[ClaimAttempt, ClaimAttemptStep]:
    """Handles the attempt's claim when the node reads it in the stream.

    Args:
        attempt: The attempt.
        won: Whether the claim holds the key.
        now_ms: Current time on the node's clock.

    Returns:
        The updated attempt and the next step.
    """
    ended = attrs.evolve(attempt, state=ClaimAttemptState.ENDED)
    if attempt.state is ClaimAttemptState.ABANDONED:
        # The caller was told that the request did not run, but the append took
        # effect after all. Without a release, a retry by the caller would find
        # the key held by a request that never runs.
        return (
            ended,
            ClaimAttemptStep.RELEASE if won else ClaimAttemptStep.NOTHING,
        )
    if attempt.state is not ClaimAttemptState.PENDING:
        return attempt, ClaimAttemptStep.NOTHING
    if not won:
        return ended, ClaimAttemptStep.LOST
    if now_ms >= attempt.deadline_ms:
        # The node was paused or the log was slow, so the caller no longer
        # waits for the response.
        return ended, ClaimAttemptStep.EXPIRED
    return attrs.evolve(
        attempt, state=ClaimAttemptState.RUNNING
    ), ClaimAttemptStep.RUN


def abandon(attempt: ClaimAttempt) -> ClaimAttempt:
    """Abandons an attempt whose wait timed out or whose caller disconnected.

    A running attempt continues, because its request may be at a target and
    must not be reported as not run.
    """
    if attempt.state is not ClaimAttemptState.PENDING:
        return attempt
    return attrs.evolve(attempt, state=ClaimAttemptState.ABANDONED)


def on_run_ended(
    attempt: ClaimAttempt, run_state: RunState
) -> tuple[ClaimAttempt, ClaimAttemptStep]:
    """Handles the end of the request of a running attempt.

    Args:
        attempt: The attempt.
        run_state: Whether the request ran.

    Returns:
        The updated attempt and the next step. The step is RELEASE only if the
        request certainly did not run.
    """
    if attempt.state is not ClaimAttemptState.RUNNING:
        return attempt, ClaimAttemptStep.NOTHING
    ended = attrs.evolve(attempt, state=ClaimAttemptState.ENDED)
    if run_state is RunState.NOT_RUN:
        return ended, ClaimAttemptStep.RELEASE
    return ended, ClaimAttemptStep.COMPLETE


def combine_run_states(first: RunState, second: RunState) -> RunState:
    """Combines the run states of two sendings of one request.

    The second sending may be rejected as not run while the first sending is
    still queued at a paused node. The request therefore counts as not run only
    if neither sending ran.

    >>> combine_run_states(RunState.UNKNOWN, RunState.NOT_RUN)
    <RunState.UNKNOWN: 'unknown'>
    """
    if RunState.RAN in (first, second):
        return RunState.RAN
    if first is second:
        return first
    return RunState.UNKNOWN
