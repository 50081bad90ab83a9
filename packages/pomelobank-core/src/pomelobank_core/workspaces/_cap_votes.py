"""Votes of one node: for each shard it supports one authority at a time."""

import attrs

from pomelobank_core._rendezvous import rendezvous_order
from pomelobank_core.workspaces._cap_members import shard_salt

# Validity of a vote from the sending of its request. After the loss of an
# authority the next one waits so long, unless the votes were released.
VOTE_MS = 1000
# Longest validity that a voter accepts. A voter that starts gives no vote for
# so long, because it does not know which it gave before.
MAX_VOTE_MS = 1300
# Time for which a voter keeps a vote longer than its authority counts it, for
# rounding and clocks that run at different rates.
_MARGIN_MS = 20
# Time after which a voter that gives no votes any more has none outstanding.
VOTES_OVER_MS = MAX_VOTE_MS + _MARGIN_MS


@attrs.frozen
class VoteClaim:
    """A request for a vote.

    Attributes:
        node: Id of the node that wants to be the authority.
        incarnation: Its incarnation.
        request_id: Number of the request, growing in an incarnation.
        valid_ms: Time for which the vote is wanted; 0 to release it.
        is_whole: Whether the node has enough votes to grant whole caps.
    """

    node: str
    incarnation: int
    request_id: int
    valid_ms: int
    is_whole: bool = False

    @property
    def order(self) -> tuple[int, int]:
        """Position among the requests of the node."""
        return self.incarnation, self.request_id


@attrs.frozen
class Vote:
    """A vote that was given.

    Attributes:
        claim: The newest request that it was given for.
        ends_ms: Time until which no other node gets it.
    """

    claim: VoteClaim
    ends_ms: int


@attrs.define
class VoteBook:
    """The votes of one node.

    A voter never supports two authorities of a shard at once. A node that has
    enough votes keeps them as long as it asks in time. Of several nodes
    without, the first by the hash of the shard is preferred, which is the same
    one at all voters, whatever they know about the members.

    Attributes:
        started_ms: Time of the node's start.
        votes: Votes by shard.
        claims: Time of the last request of each node, by shard.
        is_leaving: Whether this node gives no votes any more.
    """

    started_ms: int
    votes: dict[int, Vote] = attrs.field(factory=dict)
    claims: dict[int, dict[str, int]] = attrs.field(factory=dict)
    is_leaving: bool = False

    def handle(self, shard: int, claim: VoteClaim, now_ms: int) -> bool:
        """Decides about a request; returns whether the sender has the vote.

        Args:
            shard: Number of the shard.
            claim: The request.
            now_ms: Monotonic time.
        """
        vote = self.votes.get(shard)
        if vote is not None and now_ms >= vote.ends_ms:
            vote = None
        if claim.valid_ms <= 0:
            self._release(shard, claim, vote)
            return False
        is_preferred = self._preferred(shard, claim.node, now_ms) == claim.node
        if not (is_preferred or (vote is not None and claim.is_whole)):
            return False
        if claim.valid_ms > MAX_VOTE_MS or now_ms < self.gives_from_ms:
            return False
        if self.is_leaving:
            return False
        ends_ms = now_ms + claim.valid_ms + _MARGIN_MS
        if vote is not None:
            if vote.claim.node != claim.node:
                return False
            # A frame that was overtaken must not look like the newest one.
            claim = max(claim, vote.claim, key=lambda item: item.order)
            ends_ms = max(ends_ms, vote.ends_ms)
        self.votes[shard] = Vote(claim, ends_ms)
        return True

    @property
    def gives_from_ms(self) -> int:
        """Time from which this node gives votes."""
        return self.started_ms + VOTES_OVER_MS

    def holder(self, shard: int, now_ms: int) -> str:
        """Returns the id of the node that has the vote; empty if none."""
        vote = self.votes.get(shard)
        return vote.claim.node if vote and now_ms < vote.ends_ms else ""

    def _release(self, shard: int, claim: VoteClaim, vote: Vote | None) -> None:
        self.claims.get(shard, {}).pop(claim.node, None)
        if vote is None or vote.claim.node != claim.node:
            return
        # A release that was overtaken, or one of an earlier process, must not
        # free a vote that the present process counts.
        is_same_process = vote.claim.incarnation == claim.incarnation
        if is_same_process and claim.order > vote.claim.order:
            del self.votes[shard]

    def _preferred(self, shard: int, node: str, now_ms: int) -> str:
        claims = self.claims.setdefault(shard, {})
        claims[node] = now_ms
        if len(claims) == 1:
            return node
        for other, at_ms in list(claims.items()):
            if now_ms - at_ms >= VOTE_MS:
                del claims[other]
        return rendezvous_order(claims, shard_salt(shard))[0]
