"""Round-robin load balancing, kept as a baseline."""

from collections.abc import Set as AbstractSet

import attrs

from pomelobank_core._candidates import Candidates
from pomelobank_core._load_balancer import RequestOutcome
from pomelobank_schema.generated.peer import MemberEntry


@attrs.define
class RoundRobin:
    """Load balancer that picks the targets of an upstream in turn.

    Other load balancers are measured against this baseline.

    Attributes:
        turns: Number of picks for each upstream.
    """

    turns: dict[str, int] = attrs.field(factory=dict)

    def pick(
        self,
        candidates: Candidates,
        attempted: AbstractSet[str],
        traffic_class: str,
        now_ms: float,
    ) -> MemberEntry | None:
        """Returns the next target in turn, None without any."""
        remaining = [
            item for item in candidates.targets if item.node not in attempted
        ]
        if not remaining:
            return None
        upstream = remaining[0].upstream
        turn = self.turns.get(upstream, 0)
        self.turns[upstream] = turn + 1
        return remaining[turn % len(remaining)]

    def pick_several(
        self, candidates: Candidates, count: int, now_ms: float
    ) -> list[MemberEntry]:
        """Returns the first targets; round-robin ignores load."""
        return list(candidates.targets[:count])

    def on_sent(self, target: MemberEntry, now_ms: float) -> None:
        """Does nothing; the order does not depend on requests in flight."""

    def on_ended(
        self,
        target: MemberEntry,
        candidates: Candidates,
        outcome: RequestOutcome,
        now_ms: float,
    ) -> None:
        """Does nothing; the order does not depend on outcomes."""

    def has_capacity(
        self, target: MemberEntry, traffic_class: str, now_ms: float
    ) -> bool:
        """Returns True; round-robin ignores load."""
        return True

    def may_accept(
        self, target: MemberEntry, traffic_class: str, now_ms: float
    ) -> bool:
        """Returns True; round-robin ignores refusals."""
        return True

    def all_full_retry_after_ms(
        self, candidates: Candidates, traffic_class: str, now_ms: float
    ) -> int:
        """Returns 0; round-robin ignores load."""
        return 0
