"""Estimates which part of the mesh an authority can reach."""

import random
from collections import deque

import attrs

from pomelobank_core.workspaces._cap_members import CapMembers

# Members that a node asks in one round. The estimate's error is about 0.15 for
# a third of the nodes that is cut off, and evens out over the rounds of a
# window; the number does not grow with the mesh.
REACH_SAMPLE = 10
# Interval of the rounds. A partition is noticed after one round and its
# time-out, 0.55 s; meanwhile both sides may grant the whole rate.
REACH_INTERVAL_MS = 400
# Time in which a member replies to a request or counts as unreachable. Messages
# take 1.4 ms at most; the rest is for a busy node.
GRANT_TIMEOUT_MS = 150
# Rounds whose average bounds the estimate. One round alone would often give the
# sides of a partition more than the cap together.
_AVERAGED_ROUNDS = 3


@attrs.define
class CapReach:
    """Part of the cap that this node may grant as an authority.

    The nodes of a partition choose an authority on each side. Each side may
    grant only its part of the cap, so the sides together stay within it.

    Attributes:
        members: Members that may be an authority.
        rng: Source of randomness.
        asked: Members asked in the current round.
        replied: Those that replied.
        rounds: Parts that replied in the last rounds.
        largest_count: Highest number of members that a reply of the last rounds
            reported.
        share: Part of the cap; 0 before the first round.
    """

    members: CapMembers
    rng: random.Random
    asked: tuple[str, ...] = ()
    replied: set[str] = attrs.field(factory=set)
    rounds: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=_AVERAGED_ROUNDS)
    )
    largest_count: int = 0
    share: float = 0.0

    def start_round(self) -> tuple[str, ...]:
        """Returns the members to ask in a new round."""
        others = [
            entry.node
            for entry in self.members.table.present()
            if entry.peer_address
        ]
        size = min(REACH_SAMPLE, len(others))
        self.asked = tuple(self.rng.sample(others, size))
        self.replied = set()
        self.largest_count = 0
        return self.asked

    def on_reply(self, node: str, member_count: int) -> None:
        """Notes the reply of a member.

        Args:
            node: The member.
            member_count: Number of members that it knows; 0 if it does not
                regard this node as a possible authority.
        """
        if node in self.asked and member_count:
            self.replied.add(node)
            self.largest_count = max(self.largest_count, member_count)

    def end_round(self, now_ms: int) -> None:
        """Evaluates the replies of the current round."""
        if not self.asked:
            self.share = 0.0
            return
        self.rounds.append(len(self.replied) / len(self.asked))
        replying = min(self.rounds[-1], sum(self.rounds) / len(self.rounds))
        present = len(self.members.table.present())
        count = max(self.members.count(now_ms), self.largest_count)
        self.share = min(1.0, (1 + present * replying) / count)

    def reset(self) -> None:
        """Forgets all rounds, after a pause of this process."""
        self.asked = ()
        self.replied = set()
        self.rounds.clear()
        self.share = 0.0
