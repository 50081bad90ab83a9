"""Decides which targets of an upstream run an unproven revision."""

import math
from collections import Counter
from collections.abc import Iterable

import attrs

from pomelobank_core._candidates import Candidates
from pomelobank_core.rollouts._rollouts import RevisionStatus, Rollouts
from pomelobank_schema.generated.peer import MemberEntry

# Time by which knowledge of the source must be newer than the first sight of a
# revision. The age in a peer's frame does not contain the frame's own delay.
CONFIRMATION_MARGIN_MS = 500


@attrs.frozen
class RevisionSplit:
    """The targets of an upstream, by what is known of their revisions.

    Attributes:
        all_targets: All targets, as the index holds them.
        proven: Targets that get requests without limit.
        unproven: Targets that get requests by credit only.
        limited_nodes: Nodes of the targets that are not among `proven`.
    """

    all_targets: Candidates
    proven: Candidates
    unproven: tuple[MemberEntry, ...] = ()
    limited_nodes: frozenset[str] = frozenset()


@attrs.define(eq=False)
class Revisions:
    """Tells the revisions of each upstream apart.

    A revision with a running roll-out is unproven, one that was rolled back
    gets nothing. A revision that no roll-out names is an ordinary replacement,
    unless its order has not reached this node yet. So a second revision of an
    upstream counts as unproven until the node knows the state of the source as
    of a time after the first sight of the revision. Of several revisions that
    nothing explains, the one with the most targets counts as proven. Targets
    that do not state a revision, such as those of nodes of an earlier version,
    are not limited.

    Attributes:
        rollouts: The known roll-outs.
        known_as_of_ms: Time as of which the node knows all roll-outs of the
            source; minus infinity if it never did.
        first_seen_ms: When this node first saw each revision that is not
            confirmed, by upstream and revision.
        confirmed: Revisions without a roll-out at a time after the first sight.
        superseded: Revisions that another one has replaced in a roll-out.
        promoted: Revision that gets all requests of an upstream in the last
            step of its roll-out, and the end of that step.
        changes: Counter of the changes of these.
    """

    rollouts: Rollouts
    known_as_of_ms: float = -math.inf
    first_seen_ms: dict[tuple[str, str], float] = attrs.field(factory=dict)
    confirmed: set[tuple[str, str]] = attrs.field(factory=set)
    superseded: set[tuple[str, str]] = attrs.field(factory=set)
    promoted: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    changes: int = 0

    def confirm(self, as_of_ms: float) -> None:
        """Records that the node knows all roll-outs as of a time."""
        if as_of_ms <= self.known_as_of_ms:
            return
        self.known_as_of_ms = as_of_ms
        found = [
            key
            for key, seen_ms in self.first_seen_ms.items()
            if as_of_ms >= seen_ms + CONFIRMATION_MARGIN_MS
        ]
        for key in found:
            del self.first_seen_ms[key]
            self.confirmed.add(key)
            self.changes += 1

    def promote(self, upstream: str, revision: str, until_ms: float) -> None:
        """Gives a revision all requests of its upstream until a time."""
        known = self.promoted.get(upstream)
        self.promoted[upstream] = (revision, until_ms)
        if known is None or known[0] != revision:
            self.changes += 1

    def end_promotion(self, upstream: str) -> None:
        """Ends the promotion of an upstream's revision."""
        if self.promoted.pop(upstream, None) is not None:
            self.changes += 1

    def expire(self, now_ms: float) -> None:
        """Ends the promotions whose time is over."""
        for upstream, (_, until_ms) in list(self.promoted.items()):
            if now_ms >= until_ms:
                self.end_promotion(upstream)

    def supersede(self, upstream: str, revision: str) -> None:
        """Records that a revision has replaced all others seen so far."""
        seen = [
            key
            for key in (*self.first_seen_ms, *self.confirmed)
            if key[0] == upstream and key[1] != revision
        ]
        for key in seen:
            self.first_seen_ms.pop(key, None)
            self.confirmed.discard(key)
            self.superseded.add(key)
            self.changes += 1

    @property
    def has_unexplained(self) -> bool:
        """Whether an upstream has several revisions, one not confirmed."""
        counts = Counter(
            upstream for upstream, _ in (*self.first_seen_ms, *self.confirmed)
        )
        return any(counts[upstream] > 1 for upstream, _ in self.first_seen_ms)

    def split(self, candidates: Candidates, now_ms: float) -> RevisionSplit:
        """Splits the targets of an upstream by their revisions.

        Args:
            candidates: The upstream's ready targets.
            now_ms: Current time.
        """
        targets = candidates.targets
        counts = Counter(item.revision for item in targets)
        if not counts:
            return RevisionSplit(candidates, candidates)
        upstream = targets[0].upstream
        for revision in filter(None, counts):
            self._note_seen(upstream, revision, now_ms)
        statuses = {
            revision: self.rollouts.status(upstream, revision)
            for revision in counts
        }
        proven = self._proven(upstream, counts, statuses)
        promoted, _ = self.promoted.get(upstream, ("", 0.0))
        if statuses.get(promoted) is RevisionStatus.UNPROVEN:
            proven = {promoted}
        if len(proven) == len(counts):
            return RevisionSplit(candidates, candidates)
        usable = {
            revision
            for revision, status in statuses.items()
            if status is not RevisionStatus.CONDEMNED
        }
        if not proven:
            # Callers get a better answer from an unproven revision than from
            # none.
            proven = usable
        return RevisionSplit(
            candidates,
            Candidates(
                _with_revision(candidates.local, proven),
                _with_revision(candidates.remote, proven),
            ),
            _with_revision(
                targets,
                {
                    revision
                    for revision in usable - proven
                    if (upstream, revision) not in self.superseded
                },
            ),
            frozenset(
                item.node for item in targets if item.revision not in proven
            ),
        )

    def _note_seen(self, upstream: str, revision: str, now_ms: float) -> None:
        key = (upstream, revision)
        if key not in self.confirmed and key not in self.superseded:
            self.first_seen_ms.setdefault(key, now_ms)

    def _proven(
        self,
        upstream: str,
        counts: Counter[str],
        statuses: dict[str, RevisionStatus],
    ) -> set[str]:
        unknown = {
            revision
            for revision, status in statuses.items()
            if status is RevisionStatus.UNKNOWN
        }
        proven = {
            revision
            for revision, status in statuses.items()
            if status is RevisionStatus.PROVEN
        }
        proven |= {
            item for item in unknown if (upstream, item) in self.confirmed
        }
        unknown = {
            item
            for item in unknown
            if item and (upstream, item) not in self.superseded
        }
        if not proven and unknown:
            proven = {max(unknown, key=lambda item: (counts[item], item))}
        if "" in counts:
            proven.add("")
        return proven


def _with_revision(
    targets: Iterable[MemberEntry], revisions: set[str]
) -> tuple[MemberEntry, ...]:
    return tuple(item for item in targets if item.revision in revisions)
