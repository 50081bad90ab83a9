"""Votes that an authority holds, and the buckets that depend on them."""

import attrs

from pomelobank_core.workspaces._cap_voters import CapVoters

_MS_PER_S = 1000.0


@attrs.define
class TokenBucket:
    """Bucket of one workspace.

    Attributes:
        tokens: Tokens at `credit_ms`.
        credit_ms: `ShardSupport.credit_ms` of the last update.
        rate_per_s: Rate of the workspace at the last update.
        depth: Most tokens that the bucket holds with all votes.
        used_ms: Time of the last request.
        room_ms: Time at which the last refused request may try again.
    """

    tokens: float
    credit_ms: float
    rate_per_s: float
    depth: float
    used_ms: int = 0
    room_ms: float = 0.0

    def refill(self, credit_ms: float, fraction: float) -> None:
        """Adds the tokens since the last update.

        Args:
            credit_ms: `ShardSupport.credit_ms` now.
            fraction: Smallest part of the cap since the last update.
        """
        elapsed_ms = credit_ms - self.credit_ms
        self.credit_ms = credit_ms
        self.tokens += self.rate_per_s * elapsed_ms / _MS_PER_S
        self.tokens = min(self.tokens, self.depth * fraction)

    def set_cap(self, rate_per_s: float, depth: float) -> None:
        """Applies the cap of the configuration in force."""
        self.rate_per_s = rate_per_s
        self.depth = depth


@attrs.define
class ShardSupport:
    """Votes for one node as the authority of one shard of the workspaces.

    The buckets of the shard fill and hold tokens in proportion to the part of
    the caps that the votes allow. Votes that end take their part of the stored
    tokens along, so the parts of all authorities together hold at most one
    bucket, and fill at most as fast as one.

    Attributes:
        voters: The voters; None before they are known.
        voters_end_ms: Time until which the voters may be relied on.
        votes: End of each vote, by node.
        fraction: Part of each cap that this node may grant at `at_ms`.
        at_ms: Time of the last update.
        credit_ms: Integral of `fraction` over the time since the start.
        cut_credit_ms: The integral when `fraction` last fell. A new bucket
            holds what it would have got since then.
        next_end_ms: Time before which no vote ends.
        buckets: Buckets by workspace, the least recently used first.
    """

    at_ms: int
    voters: CapVoters | None = None
    voters_end_ms: int = 0
    votes: dict[str, int] = attrs.field(factory=dict)
    fraction: float = 0.0
    credit_ms: float = 0.0
    cut_credit_ms: float = 0.0
    next_end_ms: int = 0
    buckets: dict[str, TokenBucket] = attrs.field(factory=dict)

    def advance(self, now_ms: int) -> bool:
        """Updates the part of the caps; returns whether it fell."""
        before = self.fraction
        if now_ms >= min(self.next_end_ms, self.voters_end_ms):
            self._end_votes(now_ms)
        self._integrate(now_ms)
        return self._cut_if_fallen(before)

    def _integrate(self, now_ms: int) -> None:
        self.credit_ms += self.fraction * max(0, now_ms - self.at_ms)
        self.at_ms = max(self.at_ms, now_ms)

    def _end_votes(self, now_ms: int) -> None:
        ends_ms = {
            node: min(end_ms, self.voters_end_ms)
            for node, end_ms in self.votes.items()
        }
        for node, end_ms in sorted(ends_ms.items(), key=lambda item: item[1]):
            if end_ms > now_ms:
                break
            self._integrate(end_ms)
            del self.votes[node]
            self._update_fraction()
        self.next_end_ms = min(self.votes.values(), default=now_ms)

    def _update_fraction(self) -> None:
        self.fraction = 0.0
        if self.voters is not None:
            self.fraction = self.voters.fraction(self.votes.keys())

    def _cut_if_fallen(self, before: float) -> bool:
        if self.fraction >= before:
            return False
        self.cut_credit_ms = self.credit_ms
        for bucket in self.buckets.values():
            bucket.refill(self.credit_ms, self.fraction)
        return True

    def add_vote(self, node: str, ends_ms: int, now_ms: int) -> None:
        """Adds or prolongs a vote.

        Args:
            node: The voter.
            ends_ms: Time until which the voter supports no other node.
            now_ms: Monotonic time.
        """
        self.advance(now_ms)
        if ends_ms <= now_ms:
            return
        is_new = node not in self.votes
        self.votes[node] = max(ends_ms, self.votes.get(node, 0))
        self.next_end_ms = min(self.next_end_ms, ends_ms)
        if is_new:
            self._update_fraction()

    def set_voters(self, voters: CapVoters, end_ms: int, now_ms: int) -> None:
        """Counts the votes by other voters from now on.

        Args:
            voters: The voters.
            end_ms: Time until which they may be relied on.
            now_ms: Monotonic time.
        """
        self.advance(now_ms)
        before = self.fraction
        self.voters, self.voters_end_ms = voters, end_ms
        self._update_fraction()
        self._cut_if_fallen(before)

    def drop_votes(self, now_ms: int) -> bool:
        """Counts no votes any more; returns whether there were any."""
        self.advance(now_ms)
        before, had_votes = self.fraction, bool(self.votes)
        self.votes.clear()
        self._update_fraction()
        self._cut_if_fallen(before)
        return had_votes

    def remove_bucket(self, workspace: str) -> None:
        """Removes a bucket that is not full; new ones then start empty."""
        del self.buckets[workspace]
        self.cut_credit_ms = self.credit_ms
