"""Token buckets of the workspaces whose authority a node is."""

import attrs

from pomelobank_core.workspaces._cap_activity import CapActivity
from pomelobank_core.workspaces._cap_members import CapMembers, shard_of
from pomelobank_core.workspaces._cap_rules import CapRules
from pomelobank_core.workspaces._cap_support import ShardSupport, TokenBucket
from pomelobank_core.workspaces._cap_voters import VOTERS_VALID_MS, CapVoters
from pomelobank_core.workspaces._cap_votes import VOTE_MS
from pomelobank_core.workspaces._workspace import Workspace

# Maximum number of buckets, about 3 MB. A full bucket is removed when it has
# been unused for `IDLE_BUCKET_MS`; more are in use at once only if a small mesh
# serves more than 10,000 workspaces.
MAX_BUCKETS = 10_000
IDLE_BUCKET_MS = 60_000
# Longest time until there is room that a reply names.
MAX_WAIT_MS = 5000
_MS_PER_S = 1000.0


@attrs.frozen
class Grant:
    """Reply to a request for tokens.

    Attributes:
        tokens: Number of tokens granted.
        valid_ms: Time from the sending of the request after which the tokens
            are void; 0 if this node is not able to grant.
        wait_ms: Time until there is a token again; 0 where tokens were granted.
        authority: Id of the node that decided; empty if unknown.
    """

    tokens: int = 0
    valid_ms: int = 0
    wait_ms: int = 0
    authority: str = ""

    @property
    def is_able(self) -> bool:
        """Whether the node that replied is able to grant tokens."""
        return self.valid_ms > 0


UNABLE = Grant()


@attrs.define
class CapAuthority:
    """Grants tokens for the workspaces whose authority this node is.

    Attributes:
        rules: How far windows may exceed the cap.
        members: Members that may be an authority.
        activity: Counts of the tokens of each workspace.
        voters: The voters; None before they are known.
        voters_end_ms: Time until which the voters may be relied on.
        shards: Votes and buckets by shard.
        dropped_ms: Time at which the votes of a shard were last dropped.
        granted: Tokens granted, for the metrics.
        cuts: How often votes ended and took stored tokens along, for the
            metrics.
    """

    rules: CapRules
    members: CapMembers
    activity: CapActivity = attrs.field(factory=CapActivity)
    voters: CapVoters | None = None
    voters_end_ms: int = 0
    shards: dict[int, ShardSupport] = attrs.field(factory=dict)
    dropped_ms: dict[int, int] = attrs.field(factory=dict)
    granted: int = 0
    cuts: int = 0

    def set_voters(
        self, voters: CapVoters, confirmed_ms: int, now_ms: int
    ) -> None:
        """Applies the stored voters; ignores those of an earlier epoch.

        Args:
            voters: The voters.
            confirmed_ms: Time of the sending of the read that showed them.
            now_ms: Monotonic time.
        """
        if self.voters is not None and voters.epoch < self.voters.epoch:
            return
        self.voters = voters
        self.voters_end_ms = max(
            self.voters_end_ms, confirmed_ms + VOTERS_VALID_MS
        )
        for support in self.shards.values():
            support.set_voters(voters, self.voters_end_ms, now_ms)

    def support(self, shard: int, now_ms: int) -> ShardSupport:
        """Returns the votes and buckets of a shard."""
        support = self.shards.get(shard)
        if support is None:
            support = self.shards[shard] = ShardSupport(
                now_ms, self.voters, self.voters_end_ms
            )
        return support

    def add_vote(
        self, shard: int, node: str, sent_ms: int, now_ms: int
    ) -> None:
        """Adds or prolongs a vote for this node.

        Args:
            shard: Number of the shard.
            node: The voter.
            sent_ms: Time of the sending of the request that the voter granted.
            now_ms: Monotonic time.
        """
        if sent_ms <= self.dropped_ms.get(shard, -1):
            # The voter may have got the release after it gave this vote.
            return
        ends_ms = sent_ms + VOTE_MS
        self.support(shard, now_ms).add_vote(node, ends_ms, now_ms)

    def drop_votes(self, shard: int, now_ms: int) -> bool:
        """Counts no votes any more, so that they can be released.

        Returns:
            Whether there were any.
        """
        support = self.shards.get(shard)
        if support is None:
            return False
        self.dropped_ms[shard] = now_ms
        return support.drop_votes(now_ms)

    def fraction(self, shard: int, now_ms: int) -> float:
        """Returns the part of the caps that this node may grant."""
        support = self.shards.get(shard)
        if support is None:
            return 0.0
        self.cuts += support.advance(now_ms)
        return support.fraction

    def tick(self, now_ms: int) -> None:
        """Removes full buckets that are not in use."""
        for shard, support in list(self.shards.items()):
            if not self.fraction(shard, now_ms) and not support.votes:
                del self.shards[shard]
                continue
            _remove_idle_buckets(support, now_ms)

    def grant(self, workspace: Workspace, tokens: int, now_ms: int) -> Grant:
        """Grants tokens as far as the bucket holds them.

        Args:
            workspace: The workspace, according to this node's configuration.
            tokens: Number of tokens wanted.
            now_ms: Monotonic time.
        """
        shard = shard_of(workspace.name)
        fraction = self.fraction(shard, now_ms)
        if not fraction:
            return UNABLE
        bucket = self._bucket(self.shards[shard], workspace, now_ms)
        granted = min(max(0, tokens), int(bucket.tokens))
        lease_ms = self.rules.lease_ms
        rate_per_s = workspace.rate_per_s * fraction
        if granted:
            bucket.tokens -= granted
            self.granted += granted
            is_first = self.members.is_first(shard)
            self.activity.add_grant(
                workspace.name, granted, rate_per_s, is_first
            )
            return Grant(granted, lease_ms, 0, self.members.own)
        wait_ms = _wait_for_room_ms(bucket, rate_per_s, now_ms)
        return Grant(0, lease_ms, wait_ms, self.members.own)

    def _bucket(
        self, support: ShardSupport, workspace: Workspace, now_ms: int
    ) -> TokenBucket:
        depth = workspace.burst + self.rules.extra_depth
        bucket = support.buckets.pop(workspace.name, None)
        if bucket is None:
            bucket = TokenBucket(
                0.0, support.cut_credit_ms, workspace.rate_per_s, depth
            )
        # The newest entry is the last one, so the first is the one to remove.
        support.buckets[workspace.name] = bucket
        # A cap that was raised counts from now on.
        bucket.set_cap(
            min(workspace.rate_per_s, bucket.rate_per_s),
            min(depth, bucket.depth),
        )
        bucket.refill(support.credit_ms, support.fraction)
        bucket.set_cap(workspace.rate_per_s, depth)
        bucket.used_ms = now_ms
        if sum(len(item.buckets) for item in self.shards.values()) > (
            MAX_BUCKETS
        ):
            support.remove_bucket(next(iter(support.buckets)))
        return bucket


def _remove_idle_buckets(support: ShardSupport, now_ms: int) -> None:
    while support.buckets:
        workspace, bucket = next(iter(support.buckets.items()))
        if now_ms - bucket.used_ms < IDLE_BUCKET_MS:
            return
        bucket.refill(support.credit_ms, support.fraction)
        if bucket.tokens < bucket.depth * support.fraction:
            return
        # A new bucket in its place would be as full.
        del support.buckets[workspace]


def _wait_for_room_ms(
    bucket: TokenBucket, rate_per_s: float, now_ms: int
) -> int:
    # Each refused request gets a later time, so that the callers return at the
    # rate of the cap and not all at once.
    interval_ms = _MS_PER_S / max(rate_per_s, 1 / _MS_PER_S)
    next_token_ms = now_ms + (1 - bucket.tokens) * interval_ms
    latest_ms = now_ms + MAX_WAIT_MS
    bucket.room_ms = min(
        latest_ms, max(next_token_ms, bucket.room_ms + interval_ms)
    )
    return max(1, round(bucket.room_ms - now_ms))
