"""Placing in turn, the baseline."""

from collections.abc import Set as AbstractSet

import attrs

from pomelobank_core._candidates import Candidates
from pomelobank_core._load_balancer import RequestOutcome
from pomelobank_schema.generated.peer import MemberEntry


@attrs.define
class RoundRobin:
    """Takes the targets of an upstream in turn.

    Kept as the baseline that better placing is measured against.

    Attributes:
        turns: How many requests each upstream was given.
    """

    turns: dict[str, int] = attrs.field(factory=dict)

    def pick(
        self,
        candidates: Candidates,
        tried: AbstractSet[str],
        traffic_class: str,
        now_ms: float,
    ) -> MemberEntry | None:
        """Returns the next target in turn, None where there is no candidate."""
        untried = [
            item for item in candidates.targets if item.node not in tried
        ]
        if not untried:
            return None
        upstream = untried[0].upstream
        turn = self.turns.get(upstream, 0)
        self.turns[upstream] = turn + 1
        return untried[turn % len(untried)]

    def pick_several(
        self, candidates: Candidates, count: int, now_ms: float
    ) -> list[MemberEntry]:
        """Returns the first targets, whatever their load."""
        return list(candidates.targets[:count])

    def on_sent(self, target: MemberEntry, now_ms: float) -> None:
        """Does nothing; the turn does not depend on it."""

    def on_ended(
        self,
        target: MemberEntry,
        candidates: Candidates,
        seen: RequestOutcome,
        now_ms: float,
    ) -> None:
        """Does nothing; the turn does not depend on it."""

    def has_capacity(
        self, target: MemberEntry, traffic_class: str, now_ms: float
    ) -> bool:
        """Returns True; round-robin knows no load."""
        return True

    def may_accept(
        self, target: MemberEntry, traffic_class: str, now_ms: float
    ) -> bool:
        """Returns True; it knows of no refusals."""
        return True

    def all_full_retry_after_ms(
        self, candidates: Candidates, traffic_class: str, now_ms: float
    ) -> int:
        """Returns 0; round-robin knows no load."""
        return 0
