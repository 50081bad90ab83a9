"""Decides when a roll-out moves all requests, and when that is done."""

from collections.abc import Iterable

import attrs

from pomelobank_core.rollouts._rollouts import RolloutState
from pomelobank_schema.generated.records import RolloutRecord

# Part of a roll-out's duration that is kept for its last step, with the limits
# of that time. The requests that run at the old targets end within a second or
# two. A late step leaves a revision that turns bad the most time to show it.
STEP_PART = 0.15
MIN_STEP_MS = 2500
MAX_STEP_MS = 10_000
# Minimum number of answers of the new revision.
MIN_ANSWERS = 50
# Doubt of the judge, from 0 to 1 (a verdict), up to which a step may begin.
MAX_DOUBT = 0.5
# Minimum slots of the new targets, as a part of those of the old ones, which
# end all at once.
MIN_SLOTS_PART = 0.9


@attrs.frozen
class Evidence:
    """What is known of a revision that was not found bad.

    Attributes:
        answers: Number of its answers.
        doubt: How near the judge is to a verdict, 0 to 1.
        old_slots: Slots of the ready targets of other revisions.
        new_slots: Slots of its ready targets.
    """

    answers: int
    doubt: float
    old_slots: int
    new_slots: int


def step_ms(rollout: RolloutRecord) -> int:
    """Returns the time that is kept for the last step of a roll-out."""
    planned_ms = int(STEP_PART * rollout.duration_ms)
    return min(MAX_STEP_MS, max(MIN_STEP_MS, planned_ms))


def obstacle(rollout: RolloutRecord, evidence: Evidence, wall_ms: int) -> str:
    """Returns why a roll-out cannot move all requests now; empty if it can.

    Args:
        rollout: The roll-out.
        evidence: What is known of its revision.
        wall_ms: Time since the Unix epoch.
    """
    if rollout.state != RolloutState.RUNNING.value or not rollout.duration_ms:
        return "not running"
    if not rollout.ordered_at_ms:
        return "order not dated"
    elapsed_ms = wall_ms - rollout.ordered_at_ms
    if elapsed_ms < rollout.duration_ms - step_ms(rollout):
        return "too early"
    if evidence.answers < MIN_ANSWERS:
        return "too few answers"
    if evidence.doubt > MAX_DOUBT:
        return "in doubt"
    if evidence.new_slots < MIN_SLOTS_PART * evidence.old_slots:
        return "too few targets"
    return ""


@attrs.define(eq=False)
class DrainWatch:
    """Waits until no request is left at the targets of other revisions.

    Attributes:
        reports: Number of requests there and the time of the report, by the
            member that has reported it in this step.
    """

    reports: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def add(self, node: str, outstanding: int, now_ms: float) -> None:
        """Records a member's report."""
        self.reports[node] = (outstanding, now_ms)

    def is_drained(self, members: Iterable[str], since_ms: float) -> bool:
        """Returns whether all members take part and none has a request there.

        Args:
            members: The members that can send requests.
            since_ms: Time of the oldest report that counts. A member that has
                not got the leader's frames for longer sends requests to the
                old targets again.
        """
        for node in members:
            outstanding, at_ms = self.reports.get(node, (1, 0.0))
            if outstanding or at_ms < since_ms:
                return False
        return True
