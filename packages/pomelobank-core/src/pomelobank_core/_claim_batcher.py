"""Decides when to append a shard's claims, releases and completions."""

import math
from collections import deque
from collections.abc import Sequence
from typing import Generic, TypeVar

import attrs
from returns.result import Failure, Result, Success

ItemT = TypeVar("ItemT")

_MS_PER_S = 1000
# Maximum number of items in a batch. A batch of 256 claims is about 12 KB, well
# below the size limit of an append; at the minimum rate of one append a second,
# a shard still accepts 256 keys a second.
MAX_BATCH = 256
# Capacity of the shard's token bucket of appends. While a shard is idle, the
# bucket fills, so that the next few claims are appended without delay. All
# sixteen shards together can send the log a burst of 64 appends.
MAX_TOKENS = 4.0
# Deferred records are appended together with the next claim, or after this time
# if no claim arrives. The limit is short enough that a caller that retries
# through another node after a crash finds the record.
DEFERRED_WAIT_MS = 200
# First and maximum pause after a failed append; the pause doubles with each
# further failure (exponential back-off).
FIRST_PAUSE_MS = 200
MAX_PAUSE_MS = 2000


@attrs.define
class ClaimBatcher(Generic[ItemT]):
    """Queue and append budget of one shard.

    The log takes several hundred appends a second from all its clients, so a
    burst of keyed requests could overload it. The shard therefore makes one
    append at a time and limits the rate of appends; items that arrive during
    an append share the next one. The batcher rejects a claim at once if it
    could not be appended before the caller's deadline, because a queue that
    cannot drain only delays the rejection.

    Attributes:
        appends_per_s: Appends that the shard may make per second.
        urgent: Items that a caller waits for.
        deferred: Items that no caller waits for.
        tokens: Tokens in the bucket: appends that may be made without delay.
        refilled_at_ms: When the bucket was last refilled.
        deferred_since_ms: Start of the wait of the deferred items.
        appending: Whether an append is under way.
        append_ms: Moving average of the duration of an append.
        paused_until_ms: End of the pause after a failed append.
        pause_ms: Length of that pause; 0 after a successful append.
        rejected: Items that were rejected.
    """

    appends_per_s: float
    urgent: deque[ItemT] = attrs.field(factory=deque)
    deferred: deque[ItemT] = attrs.field(factory=deque)
    tokens: float = MAX_TOKENS
    refilled_at_ms: int = 0
    deferred_since_ms: int = 0
    appending: bool = False
    append_ms: float = 5.0
    paused_until_ms: int = 0
    pause_ms: int = 0
    rejected: int = 0

    def offer(
        self, item: ItemT, now_ms: int, max_wait_ms: int
    ) -> Result[None, int]:
        """Queues an item that a caller waits for, or rejects it.

        Args:
            item: The item.
            now_ms: Current time.
            max_wait_ms: How long the caller can wait for the append.

        Returns:
            Success, or the time in ms after which the caller should retry.
        """
        if now_ms < self.paused_until_ms:
            self.rejected += 1
            return Failure(self.paused_until_ms - now_ms)
        wait_ms = self._expected_wait_ms(now_ms)
        if wait_ms > max_wait_ms:
            self.rejected += 1
            return Failure(wait_ms)
        self.urgent.append(item)
        return Success(None)

    def defer(self, item: ItemT, now_ms: int) -> None:
        """Queues an item that no caller waits for."""
        if not self.deferred:
            self.deferred_since_ms = now_ms
        self.deferred.append(item)

    def _expected_wait_ms(self, now_ms: int) -> int:
        self._refill(now_ms)
        batches = len(self.urgent) // MAX_BATCH + 1 + self.appending
        missing = max(0.0, batches - self.tokens)
        rate_wait_ms = missing * _MS_PER_S / self.appends_per_s
        return math.ceil(max(rate_wait_ms, batches * self.append_ms))

    def _refill(self, now_ms: int) -> None:
        refilled = (
            (now_ms - self.refilled_at_ms) * self.appends_per_s / _MS_PER_S
        )
        self.tokens = min(MAX_TOKENS, self.tokens + max(0.0, refilled))
        self.refilled_at_ms = now_ms

    def wait_ms(self, now_ms: int) -> int | None:
        """Returns how long to wait before the next call of `next_batch`.

        Returns:
            Time in ms, 0 if a batch is due now; None if an append is under way
            or the queues are empty.
        """
        if self.appending or not (self.urgent or self.deferred):
            return None
        self._refill(now_ms)
        waits = [0, self.paused_until_ms - now_ms]
        needed = 1.0
        if not self.urgent:
            # An append of deferred items alone waits until the bucket is full,
            # so that the claims that follow still find tokens.
            needed = MAX_TOKENS
            waits.append(self.deferred_since_ms + DEFERRED_WAIT_MS - now_ms)
        missing = max(0.0, needed - self.tokens)
        waits.append(math.ceil(missing * _MS_PER_S / self.appends_per_s))
        return max(waits)

    def next_batch(self, now_ms: int) -> list[ItemT]:
        """Returns the items of the next append; call it if `wait_ms` is 0."""
        self._refill(now_ms)
        self.tokens -= 1.0
        self.appending = True
        batch = _pop(self.urgent, MAX_BATCH)
        return batch + _pop(self.deferred, MAX_BATCH)

    def on_appended(self, began_ms: int, now_ms: int) -> None:
        """Handles the log's confirmation of an append."""
        self.appending = False
        self.pause_ms = 0
        self.append_ms += ((now_ms - began_ms) - self.append_ms) / 8

    def on_append_failed(
        self, now_ms: int, to_retry: Sequence[ItemT]
    ) -> list[ItemT]:
        """Handles an append that failed or whose effect is unknown.

        During an outage of the log, each keyed request would otherwise cost
        the log a call and its caller the whole wait. The batcher therefore
        attempts one append after each pause and rejects claims during the
        pause at once.

        Args:
            now_ms: Current time.
            to_retry: Items of the append that must be appended again.

        Returns:
            Queued items that the caller of this method must reject now.
        """
        self.appending = False
        self.pause_ms = min(
            MAX_PAUSE_MS, max(FIRST_PAUSE_MS, 2 * self.pause_ms)
        )
        self.paused_until_ms = now_ms + self.pause_ms
        for item in reversed(to_retry):
            self.deferred.appendleft(item)
        self.deferred_since_ms = now_ms
        waiting = list(self.urgent)
        self.urgent.clear()
        self.rejected += len(waiting)
        return waiting


def _pop(queue: deque[ItemT], limit: int) -> list[ItemT]:
    return [queue.popleft() for _ in range(min(limit, len(queue)))]
