"""Who may run the request of an idempotency key, replayed from the log.

The keys are spread over a fixed number of shards. A shard has one stream in
the log; a node that wants to run a keyed request appends a claim there and
reads on until it sees the claim. The first claim of a key, by offset, holds
the key. Every reader of a stream applies this same function to the same
records in the same order, so two nodes that both believe they serve a shard
still agree on who holds a key.
"""

import enum
import hashlib
import sys
from collections.abc import Iterable

import attrs
import xxhash

from pomelobank_core._rendezvous import rendezvous_order
from pomelobank_schema.generated.records import (
    AnswerHeader,
    ClaimBatch,
    ClaimCompletion,
    ClaimEntry,
    ClaimRelease,
)

# The number of shards is part of where a key's claims are found: changing it
# would look for the key in another stream, find nothing, and run a request a
# second time. Sixteen streams spread the work over sixteen nodes and leave
# each stream ten appends a second of a budget of 160.
SHARD_COUNT = 16
DIGEST_BYTES = 16


def claim_key(scoped: str) -> bytes:
    """Returns the digest under which a scoped key is claimed."""
    return hashlib.blake2b(scoped.encode(), digest_size=DIGEST_BYTES).digest()


def request_digest(method: str, target: bytes, body: bytes) -> bytes:
    """Returns the digest that tells two requests under one key apart."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(f"{method}\n".encode())
    digest.update(target + b"\n")
    digest.update(body)
    return digest.digest()


def shard_of(key: bytes) -> int:
    """Returns the shard of a claim key."""
    return int(xxhash.xxh3_64_intdigest(key)) % SHARD_COUNT


def rank_claimants(shard: int, nodes: Iterable[str]) -> list[str]:
    """Orders nodes by who should write a shard's claims, best first.

    Rendezvous hashing: when a node goes, only its shards move. Views that
    differ for a while cost a second reader of the stream, never a second run.
    """
    return rendezvous_order(nodes, f"claims/{shard}")


@attrs.frozen
class ClaimId:
    """Identity of one claim.

    Attributes:
        writer: Node and start that wrote it.
        number: Its number; the writer never uses it again.
    """

    writer: str
    number: int


@attrs.frozen
class StoredResponse:
    """A target's answer, kept for a caller that sends its key again.

    Attributes:
        status: HTTP status.
        headers: Names and values.
        body: Whole body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def size_bytes(self) -> int:
        """Bytes that the answer takes."""
        names = sum(len(name) + len(value) for name, value in self.headers)
        return names + len(self.body)


class ClaimStatus(enum.Enum):
    """How far the request of a claim has come, as far as the log tells.

    Attributes:
        HELD: Its holder may run it, is running it, or has died.
        ANSWERED: The target answered.
        UNKNOWN: It reached a target whose answer was lost.
    """

    HELD = "held"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@attrs.frozen
class Claim:
    """The claim that holds a key.

    Attributes:
        claim_id: Its identity.
        request_digest: Digest of the request.
        at_ms: When its batch was written, since the epoch.
        expires_ms: When the key is forgotten, since the epoch.
        deadline_ms: When its request must have ended, since the epoch.
        status: How far it has come.
    """

    claim_id: ClaimId
    request_digest: bytes
    at_ms: int
    expires_ms: int
    deadline_ms: int
    status: ClaimStatus = ClaimStatus.HELD


@attrs.frozen
class ClaimSeen:
    """A claim came by in the stream.

    Attributes:
        claim_id: The claim.
        key: Its key.
        won: Whether it holds the key.
    """

    claim_id: ClaimId
    key: bytes
    won: bool


@attrs.frozen
class ClaimEnded:
    """A held claim was released or completed.

    Attributes:
        key: Its key.
        response: The answer, where the log keeps it.
    """

    key: bytes
    response: StoredResponse | None = None


ClaimEvent = ClaimSeen | ClaimEnded


@attrs.define
class ClaimTable:
    """State of one shard after a prefix of its stream.

    Attributes:
        next_offset: Offset of the next record to apply.
        stream_time_ms: Newest time seen in the stream, since the epoch.
        complete_from_ms: Before this time claims may be missing, because the
            log had trimmed them when reading began; 0 where none can be.
        claims: The claims that hold their keys, oldest first.
    """

    next_offset: int = 0
    stream_time_ms: int = 0
    complete_from_ms: int = 0
    claims: dict[bytes, Claim] = attrs.field(factory=dict)
    trimmed: bool = False
    restarted_ms: int = 0

    def reset(self, first_offset: int, now_ms: int) -> None:
        """Begins again at the oldest record that the log still keeps.

        Args:
            first_offset: Offset of that record.
            now_ms: Current time, since the epoch.
        """
        self.restarted_ms = now_ms
        self.next_offset = first_offset
        self.stream_time_ms = 0
        self.complete_from_ms = 0
        self.claims.clear()
        self.trimmed = first_offset > 0

    def apply(self, offset: int, batch: ClaimBatch) -> list[ClaimEvent]:
        """Applies the next record of the stream.

        Args:
            offset: The record's offset.
            batch: The record.

        Returns:
            What happened to claims, in order.

        Raises:
            ValueError: If the record is not the next one.
        """
        if offset != self.next_offset:
            raise ValueError(f"offset {offset} is not {self.next_offset}")
        self.next_offset = offset + 1
        if self.trimmed:
            self._note_trimmed(offset, batch)
        self.stream_time_ms = max(self.stream_time_ms, batch.at_ms)
        self._evict_expired()
        # One copy of the writer's name instead of one for each claim.
        batch = attrs.evolve(batch, writer=sys.intern(batch.writer))
        events: list[ClaimEvent] = []
        for release in batch.releases:
            events += self._release(batch.writer, release)
        for completion in batch.completions:
            events += self._complete(batch.writer, completion)
        for entry in batch.claims:
            events.append(self._claim(batch, entry))
        return events

    def _note_trimmed(self, offset: int, batch: ClaimBatch) -> None:
        # The log may have kept its records for less than the window: a key
        # claimed in what was trimmed would look new and run again. The first
        # record kept tells how far the missing part reached, provided that
        # its writer had read all of it; otherwise it may reach up to now.
        # Until the window has passed since then no key can be called new.
        self.trimmed = False
        missing_until_ms = batch.previous_at_ms
        if batch.seen_offset < offset:
            missing_until_ms = self.restarted_ms
        if missing_until_ms:
            self.complete_from_ms = missing_until_ms + batch.window_ms

    def _evict_expired(self) -> None:
        # By the stream's time, never by the reader's own clock: two readers
        # whose clocks differ would forget a key at different records, and
        # each would see another claim win.
        while self.claims:
            key = next(iter(self.claims))
            if self.claims[key].expires_ms > self.stream_time_ms:
                return
            del self.claims[key]

    def _claim(self, batch: ClaimBatch, entry: ClaimEntry) -> ClaimSeen:
        claim_id = ClaimId(batch.writer, entry.number)
        held = self.find(entry.key, self.stream_time_ms)
        if held is None:
            self.claims.pop(entry.key, None)
            self.claims[entry.key] = Claim(
                claim_id=claim_id,
                request_digest=entry.request,
                at_ms=self.stream_time_ms,
                expires_ms=self.stream_time_ms + batch.window_ms,
                deadline_ms=self.stream_time_ms + entry.remaining_ms,
            )
        won = held is None or held.claim_id == claim_id
        return ClaimSeen(claim_id, entry.key, won)

    def _release(self, writer: str, release: ClaimRelease) -> list[ClaimEvent]:
        # Only the holder knows that it will not run the request. A release by
        # anybody else, or of an earlier claim, would let the key be claimed
        # and run while its holder is merely paused.
        claim_id = ClaimId(writer, release.number)
        claim = self.claims.get(release.key)
        if claim is None or claim.claim_id != claim_id:
            return []
        if claim.status is not ClaimStatus.HELD:
            return []
        del self.claims[release.key]
        return [ClaimEnded(release.key)]

    def _complete(
        self, writer: str, completion: ClaimCompletion
    ) -> list[ClaimEvent]:
        claim = self.claims.get(completion.key)
        claim_id = ClaimId(writer, completion.number)
        if claim is None or claim.claim_id != claim_id:
            return []
        status = (
            ClaimStatus.UNKNOWN if completion.error else ClaimStatus.ANSWERED
        )
        self.claims[completion.key] = attrs.evolve(claim, status=status)
        return [ClaimEnded(completion.key, _kept(completion))]

    def find(self, key: bytes, now_ms: int) -> Claim | None:
        """Returns the claim that holds a key, None where the key is free.

        Args:
            key: The claim key.
            now_ms: Current time, since the epoch.
        """
        claim = self.claims.get(key)
        if claim is None or claim.expires_ms <= max(
            now_ms, self.stream_time_ms
        ):
            return None
        return claim

    def window_wait_ms(self, now_ms: int) -> int:
        """Returns how long new keys must wait, 0 where they need not."""
        return max(0, self.complete_from_ms - now_ms)

    def capacity_wait_ms(self, now_ms: int, limit: int) -> int:
        """Returns how long a new key must wait for room, 0 where there is some.

        Args:
            now_ms: Current time, since the epoch.
            limit: Most keys that are remembered.
        """
        # Made for a flood of new keys: memory must stay bounded, and dropping
        # a key inside its window would let its request run again. So the new
        # key is refused as not run until the oldest one leaves the window.
        if len(self.claims) < limit:
            return 0
        oldest = next(iter(self.claims.values()))
        return max(0, oldest.expires_ms - now_ms)


def _kept(completion: ClaimCompletion) -> StoredResponse | None:
    if completion.error or not completion.kept:
        return None
    headers = tuple((item.name, item.value) for item in completion.headers)
    return StoredResponse(completion.status, headers, completion.body)


def completion_record(
    key: bytes,
    number: int,
    error: str,
    response: StoredResponse | None,
    max_bytes: int,
) -> ClaimCompletion:
    """Returns the record of how a claim's request ended.

    Args:
        key: The claim key.
        number: The claim's number.
        error: Error kind; empty where the target answered.
        response: The answer, None where there was none.
        max_bytes: Largest answer that goes into the log.
    """
    if response is None or response.size_bytes > max_bytes:
        status = 0 if response is None else response.status
        return ClaimCompletion(
            key=key, number=number, error=error, status=status
        )
    return ClaimCompletion(
        key=key,
        number=number,
        error=error,
        status=response.status,
        headers=tuple(
            AnswerHeader(name=name, value=value)
            for name, value in response.headers
        ),
        body=response.body,
        kept=True,
    )
