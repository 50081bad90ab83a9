"""One try of a node to claim a key and run its request."""

import enum

import attrs

from pomelobank_core._claims import ClaimId
from pomelobank_core._errors import RunState


class ClaimAttemptState(enum.Enum):
    """How far an attempt has come.

    Attributes:
        PENDING: The claim was not seen in the stream yet.
        RUNNING: The claim holds the key and the request may be at a target.
        ABANDONED: Given up before the claim was seen; it must never run.
        ENDED: Nothing is left to do.
    """

    PENDING = "pending"
    RUNNING = "running"
    ABANDONED = "abandoned"
    ENDED = "ended"


class ClaimAttemptStep(enum.Enum):
    """What the node has to do next.

    Attributes:
        NOTHING: Nothing.
        RUN: Run the request, once.
        LOST: Answer by what the key's holder did.
        EXPIRED: Release the claim; answer that the deadline passed, not run.
        RELEASE: Release the claim.
        COMPLETE: Record how the request ended.
    """

    NOTHING = "nothing"
    RUN = "run"
    LOST = "lost"
    EXPIRED = "expired"
    RELEASE = "release"
    COMPLETE = "complete"


@attrs.frozen
class ClaimAttempt:
    """A try to claim a key.

    Attributes:
        claim_id: Identity of its claim.
        key: The claim key.
        deadline_ms: When the request must have ended, on the node's clock.
        state: How far it has come.
    """

    claim_id: ClaimId
    key: bytes
    deadline_ms: int
    state: ClaimAttemptState = ClaimAttemptState.PENDING


def on_claim_seen(
    attempt: ClaimAttempt, won: bool, now_ms: int
) -> tuple[ClaimAttempt, ClaimAttemptStep]:
    """The claim came by in the stream.

    Args:
        attempt: The attempt.
        won: Whether the claim holds the key.
        now_ms: Current time on the node's clock.

    Returns:
        The attempt afterwards and what to do.
    """
    ended = attrs.evolve(attempt, state=ClaimAttemptState.ENDED)
    if attempt.state is ClaimAttemptState.ABANDONED:
        # The caller was told that it did not run. The append took effect all
        # the same; unless the claim is released, the caller's next sending
        # would find the key held by a request that never runs.
        return (
            ended,
            ClaimAttemptStep.RELEASE if won else ClaimAttemptStep.NOTHING,
        )
    if attempt.state is not ClaimAttemptState.PENDING:
        return attempt, ClaimAttemptStep.NOTHING
    if not won:
        return ended, ClaimAttemptStep.LOST
    if now_ms >= attempt.deadline_ms:
        # The node was paused or the log slow: nobody waits for this answer.
        return ended, ClaimAttemptStep.EXPIRED
    return attrs.evolve(
        attempt, state=ClaimAttemptState.RUNNING
    ), ClaimAttemptStep.RUN


def abandon(attempt: ClaimAttempt) -> ClaimAttempt:
    """The wait for the claim is over, or the caller has gone.

    An attempt that already runs goes on: it cannot be called not run.
    """
    if attempt.state is not ClaimAttemptState.PENDING:
        return attempt
    return attrs.evolve(attempt, state=ClaimAttemptState.ABANDONED)


def on_run_ended(
    attempt: ClaimAttempt, run_state: RunState
) -> tuple[ClaimAttempt, ClaimAttemptStep]:
    """The request of a running attempt ended.

    Args:
        attempt: The attempt.
        run_state: Whether it ran.

    Returns:
        The attempt afterwards; RELEASE only where it did not run for certain.
    """
    if attempt.state is not ClaimAttemptState.RUNNING:
        return attempt, ClaimAttemptStep.NOTHING
    ended = attrs.evolve(attempt, state=ClaimAttemptState.ENDED)
    if run_state is RunState.NOT_RUN:
        return ended, ClaimAttemptStep.RELEASE
    return ended, ClaimAttemptStep.COMPLETE


def combine_run_states(first: RunState, second: RunState) -> RunState:
    """Returns what is known of a request that was sent on twice.

    The second sending may be refused as not run while the first still lies
    at a paused node; the two together are not run only where both were.

    >>> combine_run_states(RunState.UNKNOWN, RunState.NOT_RUN)
    <RunState.UNKNOWN: 'unknown'>
    """
    if RunState.RAN in (first, second):
        return RunState.RAN
    if first is second:
        return first
    return RunState.UNKNOWN
