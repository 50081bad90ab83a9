"""Counts what the node's target answers while its upstream has a roll-out."""

import os
from typing import Protocol

import attrs

from pomelobank_core import ErrorKind
from pomelobank_core.rollouts import AnswerCounts, Rollouts, RolloutState
from pomelobank_schema.generated.peer import AnswerReport

_SERVER_ERRORS = range(500, 600)
# Errors that the target has caused after it may have begun to run the request.
_TARGET_FAILURES = frozenset(
    {
        ErrorKind.UPSTREAM_LOST,
        ErrorKind.ANSWER_TRUNCATED,
        ErrorKind.DEADLINE_UNKNOWN,
    }
)
_ID_BYTES = 7


class ReportedTarget(Protocol):
    """The fields of a target that its reports name."""

    @property
    def upstream(self) -> str:
        """Name of the upstream."""

    @property
    def revision(self) -> str:
        """Revision of the target's software."""


@attrs.define(eq=False)
class TargetAnswers:
    """The answers of the node's target, by revision, in the newest roll-out.

    Attributes:
        node: Id of the node.
        rollouts: The known roll-outs.
        warming_up: Whether the target has just started and is still slow, so
            that its service times do not count.
        process: Random number that identifies this process in reports.
        position: Position of the order that the counts belong to.
        counts: The counts by upstream and revision.
    """

    node: str
    rollouts: Rollouts
    warming_up: bool = False
    process: int = attrs.field(
        factory=lambda: int.from_bytes(os.urandom(_ID_BYTES), "big")
    )
    position: int = -1
    counts: dict[tuple[str, str], AnswerCounts] = attrs.field(factory=dict)

    def on_response(
        self, target: ReportedTarget, route: str, status: int, took_ms: float
    ) -> None:
        """Counts a response of the target."""
        counts = self._counts(target)
        if counts is None:
            return
        if status in _SERVER_ERRORS:
            counts.add_failure(route)
        elif self.warming_up:
            counts.add_untimed(route)
        else:
            counts.add_success(route, took_ms)

    def on_error(
        self, target: ReportedTarget, route: str, kind: ErrorKind
    ) -> None:
        """Counts an error if the target has caused it."""
        counts = self._counts(target)
        if counts is not None and kind in _TARGET_FAILURES:
            counts.add_failure(route)

    def on_cancelled(
        self, target: ReportedTarget, route: str, took_ms: float
    ) -> None:
        """Counts a request that was cancelled while the target ran it."""
        counts = self._counts(target)
        if counts is not None and not self.warming_up:
            counts.add_cancelled(route, took_ms)

    def _counts(self, target: ReportedTarget) -> AnswerCounts | None:
        if not self.rollouts.records:
            return None
        rollout = self.rollouts.newest(target.upstream)
        if rollout is None or rollout.state != RolloutState.RUNNING.value:
            return None
        if rollout.position != self.position:
            self.position = rollout.position
            self.counts.clear()
        key = (target.upstream, target.revision)
        return self.counts.setdefault(key, AnswerCounts())

    def reports(self) -> list[AnswerReport]:
        """Returns a report for each revision that the target had."""
        return [
            AnswerReport(
                node=self.node,
                process=self.process,
                upstream=upstream,
                revision=revision,
                position=self.position,
                routes=counts.report(),
            )
            for (upstream, revision), counts in self.counts.items()
            if counts.total
        ]
