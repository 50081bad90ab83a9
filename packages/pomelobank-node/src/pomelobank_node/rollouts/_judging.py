"""Collects the reports of targets at a few nodes, which judge revisions."""

import logging
from collections.abc import Callable

import attrs

from pomelobank_core import Clock, MemberState, MemberTable, rendezvous_order
from pomelobank_core.rollouts import (
    Judge,
    RolloutKey,
    Rollouts,
    RolloutState,
    Verdict,
)
from pomelobank_schema.generated.peer import AnswerReport, MemberEntry
from pomelobank_schema.generated.records import RolloutRecord

_logger = logging.getLogger(__name__)
# Number of nodes that judge each roll-out. Every one of them may be lost, cut
# off or suspended, and any one of them suffices.
JUDGES = 3
_NOT_JUDGING = frozenset(
    {MemberState.SUSPECT.value, MemberState.DRAINING.value}
)


@attrs.define(eq=False)
class Judging:
    """The roll-outs that this node judges.

    All nodes choose the judges of a roll-out by the same order of the members.
    If the members change, reports go to the new judges; since reports are
    cumulative, those start with all earlier answers of the running targets.

    Attributes:
        table: The members known to this node.
        rollouts: The known roll-outs.
        clock: The node's clock.
        decide: Called with a roll-out in its new state.
        is_held: Returns whether only another node may decide about a roll-out
            for now.
        condemned: Roll-outs that this node has found bad, for the metrics.
        judges: Judges of roll-outs that reports have arrived for.
    """

    table: MemberTable
    rollouts: Rollouts
    clock: Clock
    decide: Callable[[RolloutRecord], None]
    is_held: Callable[[RolloutRecord], bool] = lambda _: False
    condemned: int = 0
    judges: dict[RolloutKey, Judge] = attrs.field(factory=dict)

    def running(self) -> list[RolloutRecord]:
        """Returns the newest roll-out of each upstream if it is running."""
        upstreams = {item.upstream for item in self.rollouts.records.values()}
        newest = (self.rollouts.newest(name) for name in sorted(upstreams))
        return [
            item
            for item in newest
            if item is not None and item.state == RolloutState.RUNNING.value
        ]

    def judging_nodes(self, rollout: RolloutRecord) -> list[MemberEntry]:
        """Returns the members that judge a roll-out."""
        members = {
            entry.node: entry
            for entry in (self.table.own, *self.table.present())
            if entry.state not in _NOT_JUDGING
        }
        salt = f"rollout {rollout.upstream} {rollout.position}"
        order = rendezvous_order(members, salt)
        return [members[node] for node in order[:JUDGES]]

    def add(self, report: AnswerReport) -> None:
        """Adds the report of a target."""
        for rollout in self.running():
            if (rollout.upstream, rollout.position) == (
                report.upstream,
                report.position,
            ):
                key = RolloutKey.of(rollout)
                judge = self.judges.setdefault(key, Judge(rollout.revision))
                judge.add(report)

    def evaluate(self) -> None:
        """Judges the running roll-outs."""
        running = {RolloutKey.of(item): item for item in self.running()}
        self.judges = {
            key: judge for key, judge in self.judges.items() if key in running
        }
        for key, judge in list(self.judges.items()):
            verdict = judge.evaluate(self.clock.now_ms())
            if verdict is not None and not self.is_held(running[key]):
                self._roll_back(running[key], judge, verdict)

    def _roll_back(
        self, rollout: RolloutRecord, judge: Judge, verdict: Verdict
    ) -> None:
        self.condemned += 1
        reason = verdict.describe()
        _logger.warning(
            "rollout.bad_revision",
            extra={
                "upstream": rollout.upstream,
                "revision": rollout.revision,
                "position": rollout.position,
                "reason": reason,
                "targets": len(judge.reports),
                "age_ms": self.clock.wall_ms() - rollout.ordered_at_ms,
            },
        )
        self.decide(
            attrs.evolve(
                rollout, state=RolloutState.REVERTED.value, reason=reason
            )
        )
