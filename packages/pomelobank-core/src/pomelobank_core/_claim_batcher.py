"""Decides when a shard's claims, releases and completions are appended."""

import math
from collections import deque
from collections.abc import Sequence
from typing import Generic, TypeVar

import attrs
from returns.result import Failure, Result, Success

ItemT = TypeVar("ItemT")

_MS_PER_S = 1000
# A batch of 256 claims is about 12 KB, well under what one append takes, and
# at the slowest rate of one append a second still carries 256 keys a second.
MAX_BATCH = 256
# Appends saved up in quiet moments let the next few claims go out at once;
# all sixteen shards together can surprise the log with 64 of them.
MAX_SAVED_APPENDS = 4.0
# Records that nobody waits for ride along with the next claim; without one
# they go out after this time, soon enough for a caller that sends again
# through another node after a crash.
LAZY_WAIT_MS = 200
FIRST_PAUSE_MS = 200
MAX_PAUSE_MS = 2000


@attrs.define
class ClaimBatcher(Generic[ItemT]):
    """Queue and append budget of one shard.

    Made for bursts of keyed requests on a log that takes several hundred
    appends a second from everybody. One append at a time and a fixed rate
    bound what the shard costs the log; what comes in meanwhile shares the
    next append. A claim that could not be appended before its deadline is
    refused at once, because a queue that cannot drain only delays the answer.

    Attributes:
        appends_per_s: Appends per second.
        urgent: Items that a caller waits for.
        deferred: Items that nobody waits for.
        saved: Appends that may be made at once.
        appending: Whether an append is under way.
        append_ms: Recent time of an append, smoothed.
        paused_until_ms: No append before this time, after a failed one.
        rejected: Items turned away.
    """

    appends_per_s: float
    urgent: deque[ItemT] = attrs.field(factory=deque)
    deferred: deque[ItemT] = attrs.field(factory=deque)
    saved: float = MAX_SAVED_APPENDS
    saved_at_ms: int = 0
    lazy_since_ms: int = 0
    appending: bool = False
    append_ms: float = 5.0
    paused_until_ms: int = 0
    pause_ms: int = 0
    rejected: int = 0

    def offer(
        self, item: ItemT, now_ms: int, patience_ms: int
    ) -> Result[None, int]:
        """Takes an item that a caller waits for.

        Args:
            item: The item.
            now_ms: Current time.
            patience_ms: How long its caller can wait for the append.

        Returns:
            Nothing, or the ms after which coming back is worthwhile.
        """
        if now_ms < self.paused_until_ms:
            self.rejected += 1
            return Failure(self.paused_until_ms - now_ms)
        wait_ms = self._expected_wait_ms(now_ms)
        if wait_ms > patience_ms:
            self.rejected += 1
            return Failure(wait_ms)
        self.urgent.append(item)
        return Success(None)

    def defer(self, item: ItemT, now_ms: int) -> None:
        """Takes an item that nobody waits for."""
        if not self.deferred:
            self.lazy_since_ms = now_ms
        self.deferred.append(item)

    def _expected_wait_ms(self, now_ms: int) -> int:
        self._save(now_ms)
        batches = len(self.urgent) // MAX_BATCH + 1 + self.appending
        short = max(0.0, batches - self.saved)
        by_rate = short * _MS_PER_S / self.appends_per_s
        return math.ceil(max(by_rate, batches * self.append_ms))

    def _save(self, now_ms: int) -> None:
        gained = (now_ms - self.saved_at_ms) * self.appends_per_s / _MS_PER_S
        self.saved = min(MAX_SAVED_APPENDS, self.saved + max(0.0, gained))
        self.saved_at_ms = now_ms

    def wait_ms(self, now_ms: int) -> int | None:
        """Returns when to ask for a batch, None where nothing is to be done.

        Returns:
            Ms from now, 0 for at once.
        """
        if self.appending or not (self.urgent or self.deferred):
            return None
        self._save(now_ms)
        waits = [0, self.paused_until_ms - now_ms]
        needed = 1.0
        if not self.urgent:
            # What nobody waits for goes out only when the others stay saved,
            # so that the next claims do not wait for the budget behind it.
            needed = MAX_SAVED_APPENDS
            waits.append(self.lazy_since_ms + LAZY_WAIT_MS - now_ms)
        short = max(0.0, needed - self.saved)
        waits.append(math.ceil(short * _MS_PER_S / self.appends_per_s))
        return max(waits)

    def next_batch(self, now_ms: int) -> list[ItemT]:
        """Returns the items of the next append; only when `wait_ms` is 0."""
        self._save(now_ms)
        self.saved -= 1.0
        self.appending = True
        batch = _pop(self.urgent, MAX_BATCH)
        return batch + _pop(self.deferred, MAX_BATCH)

    def on_appended(self, began_ms: int, now_ms: int) -> None:
        """The append took effect and its answer came."""
        self.appending = False
        self.pause_ms = 0
        self.append_ms += ((now_ms - began_ms) - self.append_ms) / 8

    def on_append_failed(
        self, now_ms: int, again: Sequence[ItemT]
    ) -> list[ItemT]:
        """The append failed, or nobody knows whether it took effect.

        Made for an outage of the log: without a pause every keyed request
        would cost the log a call and its caller the whole wait. One append
        is tried after each pause; until then callers are refused at once.

        Args:
            now_ms: Current time.
            again: Items of the append that must be appended again.

        Returns:
            Items that waited and must be refused now.
        """
        self.appending = False
        self.pause_ms = min(
            MAX_PAUSE_MS, max(FIRST_PAUSE_MS, 2 * self.pause_ms)
        )
        self.paused_until_ms = now_ms + self.pause_ms
        for item in reversed(again):
            self.deferred.appendleft(item)
        self.lazy_since_ms = now_ms
        waiting = list(self.urgent)
        self.urgent.clear()
        self.rejected += len(waiting)
        return waiting


def _pop(queue: deque[ItemT], limit: int) -> list[ItemT]:
    return [queue.popleft() for _ in range(min(limit, len(queue)))]
