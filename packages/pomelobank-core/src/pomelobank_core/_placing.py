"""Chooses the target that runs a request."""

import attrs

from pomelobank_schema.generated.peer import MemberEntry


@attrs.define
class RoundRobin:
    """Takes the targets of an upstream in turn.

    Kept as the baseline that better placing is measured against.

    Attributes:
        turns: How many requests each upstream was given.
    """

    turns: dict[str, int] = attrs.field(factory=dict)

    def place(
        self, upstream: str, candidates: list[MemberEntry]
    ) -> MemberEntry | None:
        """Returns the next target in turn, None where there is no candidate."""
        if not candidates:
            return None
        turn = self.turns.get(upstream, 0)
        self.turns[upstream] = turn + 1
        ordered = sorted(candidates, key=lambda entry: entry.node)
        return ordered[turn % len(ordered)]
