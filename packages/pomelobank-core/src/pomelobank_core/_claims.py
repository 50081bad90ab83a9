"""Claims on idempotency keys, replayed from the log.

A claim decides which node may run the request of an idempotency key. The keys
are distributed over a fixed number of shards, and each shard has one stream in
the log. A node that wants to run a keyed request appends a claim to the stream
and reads the stream until it finds the claim. The first claim of a key, by
offset, holds the key. Every reader applies the same function to the same
records in the same order, so two nodes that both believe they serve a shard
still agree on the holder of each key.
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

# The number of shards determines the stream of a key's claims. After a change
# of the number, a node would look for a key's claim in another stream, find
# none and run the request a second time. Sixteen streams distribute the work
# over up to sixteen nodes. By default, all streams together may make 160
# appends a second, so each stream gets 10.
SHARD_COUNT = 16
DIGEST_BYTES = 16


def claim_key(scoped: str) -> bytes:
    """Returns the digest under which a scoped key is claimed."""
    return hashlib.blake2b(scoped.encode(), digest_size=DIGEST_BYTES).digest()


def request_digest(method: str, target: bytes, body: bytes) -> bytes:
    """Returns the digest that detects two different requests under one key."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(f"{method}\n".encode())
    digest.update(target + b"\n")
    digest.update(body)
    return digest.digest()


def shard_of(key: bytes) -> int:
    """Returns the shard of a claim key."""
    return int(xxhash.xxh3_64_intdigest(key)) % SHARD_COUNT


def rank_claimants(shard: int, nodes: Iterable[str]) -> list[str]:
    """Orders nodes by preference as the writer of a shard's claims, best first.

    Rendezvous hashing moves only the shards of a node that leaves. While nodes
    disagree about the members, two nodes may read the shard's stream. No
    request runs twice, because the order of the stream's records decides which
    claim holds a key.
    """
    return rendezvous_order(nodes, f"claims/{shard}")


@attrs.frozen
class ClaimId:
    """Identity of one claim.

    Attributes:
        writer: Node, and start of that node, that wrote the claim.
        number: Number of the claim; the writer never reuses a number.
    """

    writer: str
    number: int


@attrs.frozen
class StoredResponse:
    """A target's response, kept for a caller that sends its key again.

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
        """Size of the headers and the body."""
        names = sum(len(name) + len(value) for name, value in self.headers)
        return names + len(self.body)


class ClaimStatus(enum.Enum):
    """State of a claim's request according to the log.

    Attributes:
        HELD: The holder of the claim may run the request, is running the
            request, or has died.
        ANSWERED: The target responded.
        UNKNOWN: The request reached a target, but the response was lost.
    """

    HELD = "held"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@attrs.frozen
class Claim:
    """The claim that holds a key.

    Attributes:
        claim_id: Identity of the claim.
        request_digest: Digest of the request.
        at_ms: When the claim's batch was written, since the epoch.
        expires_ms: When the key leaves the window and is evicted, since the
            epoch.
        deadline_ms: Deadline of the request, since the epoch.
        status: State of the request.
    """

    claim_id: ClaimId
    request_digest: bytes
    at_ms: int
    expires_ms: int
    deadline_ms: int
    status: ClaimStatus = ClaimStatus.HELD


@attrs.frozen
class ClaimSeen:
    """Event: the table applied a claim from the stream.

    Attributes:
        claim_id: Identity of the claim.
        key: Key of the claim.
        won: Whether the claim holds the key.
    """

    claim_id: ClaimId
    key: bytes
    won: bool


@attrs.frozen
class ClaimEnded:
    """Event: a held claim was released or completed.

    Attributes:
        key: Key of the claim.
        response: The target's response if the log has it.
    """

    key: bytes
    response: StoredResponse | None = None


ClaimEvent = ClaimSeen | ClaimEnded


@attrs.define
class ClaimTable:
    """State of one shard after a prefix of its stream.

    Attributes:
        next_offset: Offset of the next record to apply.
        stream_time_ms: Newest time read in the stream, since the epoch.
        complete_from_ms: Until this time claims may be missing, because the
            log had trimmed them before the reader started; 0 if none can be
            missing.
        claims: The claims that hold their keys, oldest first.
        awaits_first_retained: Whether records were trimmed and the first kept
            record has not been applied yet.
        reader_started_ms: When the reader last started, since the epoch.
    """

    next_offset: int = 0
    stream_time_ms: int = 0
    complete_from_ms: int = 0
    claims: dict[bytes, Claim] = attrs.field(factory=dict)
    awaits_first_retained: bool = False
    reader_started_ms: int = 0

    def reset(self, first_offset: int, now_ms: int) -> None:
        """Clears the table to replay from the oldest record in the log.

        Args:
            first_offset: Offset of that record.
            now_ms: Current time, since the epoch.
        """
        self.reader_started_ms = now_ms
        self.next_offset = first_offset
        self.stream_time_ms = 0
        self.complete_from_ms = 0
        self.claims.clear()
        self.awaits_first_retained = first_offset > 0

    def apply(self, offset: int, batch: ClaimBatch) -> list[ClaimEvent]:
        """Applies the next record of the stream.

        Args:
            offset: The record's offset.
            batch: The record.

        Returns:
            The events of the claims, in order.

        Raises:
            ValueError: If the record is not the next one.
        """
        if offset != self.next_offset:
            raise ValueError(
                f"record offset {offset} is not {self.next_offset}, the next"
                " offset to apply"
            )
        self.next_offset = offset + 1
        if self.awaits_first_retained:
            self._set_complete_from(offset, batch)
        self.stream_time_ms = max(self.stream_time_ms, batch.at_ms)
        self._evict_expired()
        # Interned, so that the claims of a writer share one copy of its name.
        batch = attrs.evolve(batch, writer=sys.intern(batch.writer))
        events: list[ClaimEvent] = []
        for release in batch.releases:
            events += self._release(batch.writer, release)
        for completion in batch.completions:
            events += self._complete(batch.writer, completion)
        for entry in batch.claims:
            events.append(self._claim(batch, entry))
        return events

    def _set_complete_from(self, offset: int, batch: ClaimBatch) -> None:
        # The log may have trimmed (deleted) records whose claims are still
        # valid. A key claimed in such a record would look new, and its request
        # would run again. Therefore, no key counts as new until one claim
        # window after the newest trimmed record. The first retained record
        # states that record's time if its writer had read all earlier records.
        # Otherwise the time is unknown, and the time at which this reader
        # started is used, which is the latest possible.
        self.awaits_first_retained = False
        trimmed_until_ms = batch.previous_at_ms
        if batch.seen_offset < offset:
            trimmed_until_ms = self.reader_started_ms
        if trimmed_until_ms:
            self.complete_from_ms = trimmed_until_ms + batch.window_ms

    def _evict_expired(self) -> None:
        # Expiry uses the stream's time, never the reader's clock. Two readers
        # whose clocks differ would evict a key at different records, and then
        # disagree about which claim won the key.
        while self.claims:
            key = next(iter(self.claims))
            if self.claims[key].expires_ms > self.stream_time_ms:
                return
            del self.claims[key]

    def _claim(self, batch: ClaimBatch, entry: ClaimEntry) -> ClaimSeen:
        claim_id = ClaimId(batch.writer, entry.number)
        holder = self.find(entry.key, self.stream_time_ms)
        if holder is None:
            self.claims.pop(entry.key, None)
            self.claims[entry.key] = Claim(
                claim_id=claim_id,
                request_digest=entry.request,
                at_ms=self.stream_time_ms,
                expires_ms=self.stream_time_ms + batch.window_ms,
                deadline_ms=self.stream_time_ms + entry.remaining_ms,
            )
        won = holder is None or holder.claim_id == claim_id
        return ClaimSeen(claim_id, entry.key, won)

    def _release(self, writer: str, release: ClaimRelease) -> list[ClaimEvent]:
        # A release counts only if it comes from the holder and names its
        # present claim, because only the holder knows that it will not run the
        # request. If another release freed the key while the holder is paused,
        # a second node could run the request, and the resumed holder would run
        # it again.
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
        return [ClaimEnded(completion.key, _recorded_response(completion))]

    def find(self, key: bytes, now_ms: int) -> Claim | None:
        """Returns the claim that holds a key, or None if the key is free.

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
        """Returns how long new keys must wait, or 0.

        The log may have trimmed claims whose window has not ended. Until those
        windows end, a key without a known claim may still be claimed.
        """
        return max(0, self.complete_from_ms - now_ms)

    def capacity_wait_ms(self, now_ms: int, limit: int) -> int:
        """Returns how long a new key must wait for capacity, 0 if not at all.

        Args:
            now_ms: Current time, since the epoch.
            limit: Maximum number of keys in the table.
        """
        # The limit bounds the memory under a flood of new keys. Evicting a key
        # inside its window would let its request run again, so a new key is
        # rejected as not run until the oldest key leaves the window.
        if len(self.claims) < limit:
            return 0
        oldest = next(iter(self.claims.values()))
        return max(0, oldest.expires_ms - now_ms)


def _recorded_response(completion: ClaimCompletion) -> StoredResponse | None:
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
    """Returns the record of the outcome of a claim's request.

    Args:
        key: The claim key.
        number: The claim's number.
        error: Error kind; empty if the target responded.
        response: The response, or None if there was none.
        max_bytes: Maximum size of a response that the record includes.
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
