"""Asks voters for their votes for usage caps, and gives the own ones."""

import asyncio
from collections import Counter
from collections.abc import Callable

import attrs

from pomelobank_core import Clock, MemberTable
from pomelobank_core.workspaces import (
    SHARDS,
    VOTE_MS,
    VOTES_OVER_MS,
    CapAuthority,
    CapMembers,
    CapVoters,
    VoteBook,
    VoteClaim,
)
from pomelobank_node.workspaces._voter_log import VoterLog
from pomelobank_schema import SchemaError, WireMessage, decode, encode
from pomelobank_schema.generated.peer import VoteReply, VoteRequest
from pomelobank_schema.generated.records import KINDS, CapVotersRecord

# Time for which an authority that others precede keeps its votes after it was
# last asked for tokens.
WANTED_MS = 10_000
# Shortest time between two requests for the votes of a shard.
REQUEST_INTERVAL_MS = 100
_MS_PER_S = 1000


@attrs.frozen
class PendingVote:
    """A request for a vote that may still be answered.

    Attributes:
        shard: Number of the shard.
        sent_ms: Time of the sending.
    """

    shard: int
    sent_ms: int


@attrs.define(eq=False)
class CapVotes:
    """Both sides of the votes that this node gives and gets.

    Attributes:
        table: The members known to this node.
        members: Members that may be an authority.
        authority: Counts the votes for this node.
        clock: Monotonic clock.
        send: Sends a frame to a peer's address.
        voter_log: The stored voters.
        book: The votes of this node.
        pending: Requests under way, by number.
        last_request_id: Number of the last request.
        wanted_ms: Time at which this node was last asked for tokens that no
            other one grants, by shard.
        requested_ms: Time at which votes were last requested, by shard.
        refusals: Holders of the votes that were refused in the present round,
            by shard.
        supported: Set once this node may grant tokens of a shard.
    """

    table: MemberTable
    members: CapMembers
    authority: CapAuthority
    clock: Clock
    send: Callable[[str, WireMessage], None]
    voter_log: VoterLog
    book: VoteBook = attrs.field(init=False)
    pending: dict[int, PendingVote] = attrs.field(factory=dict)
    last_request_id: int = 0
    wanted_ms: dict[int, int] = attrs.field(factory=dict)
    requested_ms: dict[int, int] = attrs.field(factory=dict)
    refusals: dict[int, Counter[str]] = attrs.field(factory=dict)
    supported: dict[int, asyncio.Event] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.book = VoteBook(self.members.started_ms)

    # The authority.

    def want(self, shard: int) -> None:
        """Notes that this node is asked for tokens that no other one grants."""
        now_ms = self.clock.now_ms()
        self.wanted_ms[shard] = now_ms
        if self.authority.fraction(shard, now_ms):
            return
        requested_ms = self.requested_ms.get(shard, -REQUEST_INTERVAL_MS)
        is_due = now_ms - requested_ms >= REQUEST_INTERVAL_MS
        if is_due and self._wants(shard, now_ms):
            self._request_votes(shard, VOTE_MS, now_ms)

    async def wait_for_support(self, shard: int, timeout_ms: int) -> None:
        """Waits until this node may grant tokens of a shard."""
        signal = self.supported.setdefault(shard, asyncio.Event())
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                await signal.wait()
        except TimeoutError:
            return

    def run_round(self, now_ms: int) -> None:
        """Renews the votes that this node wants, and releases the others."""
        self.pending = {
            request_id: item
            for request_id, item in self.pending.items()
            if now_ms - item.sent_ms < VOTE_MS
        }
        self.refusals.clear()
        for shard in range(SHARDS):
            if self._wants(shard, now_ms):
                self._request_votes(shard, VOTE_MS, now_ms)
            else:
                self._release(shard, now_ms)

    def release_all(self) -> None:
        """Releases all votes, because this node is about to end."""
        now_ms = self.clock.now_ms()
        self.members.resign(now_ms)
        for shard in range(SHARDS):
            self._release(shard, now_ms)

    def _wants(self, shard: int, now_ms: int) -> bool:
        if self.members.resigned:
            return False
        if self.authority.fraction(shard, now_ms):
            wanted_ms = self.wanted_ms.get(shard, -WANTED_MS)
            is_asked = now_ms - wanted_ms < WANTED_MS
            return is_asked or self.members.is_first(shard)
        return self.members.candidates(shard, now_ms)[:1] == [self.members.own]

    def _release(self, shard: int, now_ms: int) -> None:
        # Nothing may be granted with a vote that is free for another node.
        if self.authority.drop_votes(shard, now_ms):
            self._request_votes(shard, 0, now_ms)

    def _request_votes(self, shard: int, valid_ms: int, now_ms: int) -> None:
        voters = self.authority.voters
        if voters is None or now_ms >= self.authority.voters_end_ms:
            self.voter_log.request_read()
            return
        own = self.table.own
        is_whole = self.authority.fraction(shard, now_ms) >= 1
        self.requested_ms[shard] = now_ms
        for node in voters.all:
            self.last_request_id += 1
            request_id = self.last_request_id
            if node == own.node:
                claim = VoteClaim(
                    own.node, own.incarnation, request_id, valid_ms, is_whole
                )
                if self._decide(shard, claim, now_ms):
                    self._add_vote(shard, node, now_ms, now_ms)
                continue
            entry = self.table.others.get(node)
            if entry is None or not entry.peer_address:
                continue
            if valid_ms:
                self.pending[request_id] = PendingVote(shard, now_ms)
            frame = VoteRequest(
                request_id=request_id,
                node=own.node,
                incarnation=own.incarnation,
                address=own.peer_address,
                shard=shard,
                valid_ms=valid_ms,
                is_whole=is_whole,
                epoch=voters.epoch,
            )
            self.send(entry.peer_address, frame)

    def handle_reply(self, frame: VoteReply) -> None:
        """Counts a vote, or a refusal."""
        pending = self.pending.pop(frame.request_id, None)
        if pending is None:
            return
        now_ms = self.clock.now_ms()
        if frame.voters:
            self._learn_voters(frame, pending.sent_ms)
        if frame.granted:
            self._add_vote(pending.shard, frame.node, pending.sent_ms, now_ms)
        elif frame.holder and frame.holder != self.members.own:
            self._count_refusal(pending.shard, frame.holder, now_ms)

    def _add_vote(
        self, shard: int, node: str, sent_ms: int, now_ms: int
    ) -> None:
        self.authority.add_vote(shard, node, sent_ms, now_ms)
        if self.authority.fraction(shard, now_ms):
            self.members.set_authority(shard, self.members.own)
            signal = self.supported.pop(shard, None)
            if signal is not None:
                signal.set()

    def _count_refusal(self, shard: int, holder: str, now_ms: int) -> None:
        counts = self.refusals.setdefault(shard, Counter())
        counts[holder] += 1
        voters = self.authority.voters
        if voters is None or counts[holder] * 2 <= len(voters.all):
            return
        # Most voters support another node, so this one gets tokens from there.
        self.members.set_authority(shard, holder)
        self._release(shard, now_ms)

    def _learn_voters(self, frame: VoteReply, sent_ms: int) -> None:
        try:
            record = decode(frame.voters, KINDS)
        except SchemaError:
            return
        if isinstance(record, CapVotersRecord):
            # The reply was sent after the request.
            confirmed_ms = sent_ms - max(0, frame.voters_age_ms)
            voters = CapVoters.of_record(record)
            self.voter_log.learn(voters, confirmed_ms)

    # The voter.

    def _decide(self, shard: int, claim: VoteClaim, now_ms: int) -> bool:
        if claim.valid_ms > 0 and not self.voter_log.is_voter():
            return False
        return self.book.handle(shard, claim, now_ms)

    def handle_request(self, frame: VoteRequest) -> None:
        """Gives or refuses a vote."""
        if not 0 <= frame.shard < SHARDS:
            return
        now_ms = self.clock.now_ms()
        claim = VoteClaim(
            frame.node,
            frame.incarnation,
            frame.request_id,
            frame.valid_ms,
            frame.is_whole,
        )
        is_granted = self._decide(frame.shard, claim, now_ms)
        if frame.valid_ms <= 0:
            return
        voters = self.voter_log.voters
        is_newer = voters is not None and voters.epoch > frame.epoch
        reply = VoteReply(
            request_id=frame.request_id,
            node=self.table.own.node,
            granted=is_granted,
            holder=self.book.holder(frame.shard, now_ms),
            voters=encode(voters.record()) if voters and is_newer else b"",
            voters_age_ms=now_ms - self.voter_log.confirmed_ms,
        )
        self.send(frame.address, reply)

    async def leave(self) -> None:
        """Gives no votes any more and passes this node's role on."""
        self.book.is_leaving = True
        await asyncio.sleep(VOTES_OVER_MS / _MS_PER_S)
        await self.voter_log.leave()
