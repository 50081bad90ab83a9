"""Limits the requests that this node sends to unproven revisions."""

from collections import Counter

import attrs

from pomelobank_core import (
    ERROR_RESPONSES,
    Candidates,
    Clock,
    ErrorKind,
    RunState,
)
from pomelobank_core.rollouts import (
    ExposureCredit,
    Revisions,
    RevisionSplit,
    Rollouts,
)
from pomelobank_node._forwarding_state import was_served
from pomelobank_node._requests import ForwardReply, reply_error
from pomelobank_schema.generated.peer import MemberEntry

# Part of the number of proven targets to which the requests for an unproven
# revision go at a time. These few targets then get about as much load as the
# proven ones, so that a revision that is bad under load only shows it.
_CONCENTRATION = 0.08
# Time after which other targets of the revision get these requests.
_ROTATION_MS = 4000
# Errors with which a target itself refuses a request. The request has reached
# the target, so it counts as exposed.
_REFUSED_BY_TARGET = frozenset(
    {ErrorKind.TARGET_REFUSED, ErrorKind.TARGET_REPLACED}
)


@attrs.define(eq=False)
class Exposure:
    """Bounds the share of requests at unproven revisions, for all upstreams.

    Every attempt of a request goes through this node's forwarder, so retries,
    hedges and calls of running work are all counted. Only first attempts go to
    an unproven revision: a request that fails there is retried at a proven one.

    Attributes:
        clock: The node's clock.
        share: Maximum share of an upstream's requests at unproven revisions; 0
            if revisions are not told apart.
        revisions: Tells revisions apart.
        splits: Targets by revision at the last look, by upstream.
        split_changes: Changes of roll-outs and revisions at that time.
        credits: Credit by upstream; only while a revision is limited.
        exposed: Requests sent to unproven revisions, for the metrics.
        outstanding: Attempts in progress, by upstream and revision.
    """

    clock: Clock
    share: float = 0.0
    revisions: Revisions = attrs.field(factory=lambda: Revisions(Rollouts()))
    splits: dict[str, RevisionSplit] = attrs.field(factory=dict)
    split_changes: tuple[int, int] = (0, 0)
    credits: dict[str, ExposureCredit] = attrs.field(factory=dict)
    exposed: int = 0
    outstanding: Counter[tuple[str, str]] = attrs.field(factory=Counter)

    @property
    def limited_targets(self) -> int:
        """Number of targets that get requests by credit only, or none."""
        return sum(len(item.limited_nodes) for item in self.splits.values())

    def on_sent(self, target: MemberEntry) -> None:
        """Records that an attempt begins."""
        if self.share:
            self.outstanding[target.upstream, target.revision] += 1

    def on_ended(self, target: MemberEntry) -> None:
        """Records that an attempt has ended."""
        if self.share:
            key = (target.upstream, target.revision)
            self.outstanding[key] -= 1
            if not self.outstanding[key]:
                del self.outstanding[key]

    def outstanding_elsewhere(self, upstream: str, revision: str) -> int:
        """Returns the attempts at an upstream's other revisions."""
        return sum(
            count
            for key, count in self.outstanding.items()
            if key[0] == upstream and key[1] != revision
        )

    def split(self, upstream: str, candidates: Candidates) -> RevisionSplit:
        """Returns the upstream's targets by revision.

        Args:
            upstream: Name of the upstream.
            candidates: Its targets; the same object while they do not change.
        """
        if not self.share:
            return RevisionSplit(candidates, candidates)
        if self.revisions.promoted:
            self.revisions.expire(self.clock.now_ms())
        changes = (self.revisions.rollouts.changes, self.revisions.changes)
        if changes != self.split_changes:
            self.splits.clear()
            self.split_changes = changes
        split = self.splits.get(upstream)
        if split is None or split.all_targets is not candidates:
            split = self.revisions.split(candidates, self.clock.now_ms())
            self.splits[upstream] = split
            self._update_credit(upstream, split)
        return split

    def _update_credit(self, upstream: str, split: RevisionSplit) -> None:
        if not split.limited_nodes:
            # Credit that was earned before a roll-out began must not be spent
            # in it.
            self.credits.pop(upstream, None)
        elif upstream not in self.credits:
            self.credits[upstream] = ExposureCredit(self.share)

    def exposed_targets(
        self, upstream: str, split: RevisionSplit
    ) -> frozenset[str]:
        """Returns the nodes of the unproven targets that may get a request.

        Returns:
            The nodes; empty without enough credit or without such targets.
        """
        credit = self.credits.get(upstream)
        if credit is None or not credit.available or not split.unproven:
            return frozenset()
        targets = split.unproven
        count = max(1, round(_CONCENTRATION * len(split.proven.targets)))
        # The wall clock lets all nodes use the same targets.
        turn = self.clock.wall_ms() // _ROTATION_MS * count
        return frozenset(
            targets[(turn + step) % len(targets)].node
            for step in range(min(count, len(targets)))
        )

    def is_limited(self, target: MemberEntry) -> bool:
        """Returns whether a target gets requests by credit only."""
        split = self.splits.get(target.upstream)
        return split is not None and target.node in split.limited_nodes

    def spend(self, upstream: str) -> None:
        """Records that a request is sent to an unproven revision."""
        if self.credits[upstream].try_spend():
            self.exposed += 1

    def on_reply(self, target: MemberEntry, reply: ForwardReply) -> None:
        """Records the reply to an attempt."""
        credit = self.credits.get(target.upstream)
        if credit is None or target.upstream in self.revisions.promoted:
            return
        if not self.is_limited(target):
            if was_served(reply):
                credit.on_response()
            return
        if _is_unsent(reply):
            credit.refund()
            self.exposed -= 1


def _is_unsent(reply: ForwardReply) -> bool:
    """Returns whether a request has certainly not reached its target."""
    error = reply_error(reply)
    if error is None or error.kind in _REFUSED_BY_TARGET:
        return False
    return ERROR_RESPONSES[error.kind].run_state is RunState.NOT_RUN
