"""Bounds on how many tries an upstream gets beyond the first ones."""

from collections import deque
from collections.abc import Callable
from typing import Protocol

import attrs

# One try in ten more than the first tries: a failing upstream gets 10% more
# load, not a multiple. Over 13 hops that is at most 1.1^13 = 3.5 times, where
# three tries at each hop would be 3^13 = 1.6 million times.
BUDGET_RATIO = 0.1
# Kept for bursts of failures, as when a target with ten requests dies.
MAX_BUDGET = 20.0
# So that an upstream with one request a minute may still retry it.
BUDGET_FLOOR_PER_S = 0.5
# Part of the mesh's allowance that nodes use. The rest is for what no node
# sees: calls that a repeated run makes again, and nodes whose views differ.
USABLE_FRACTION = 0.6
# Buckets of a sliding window: a try is counted for a tenth longer at most.
_BUCKETS = 10
_MS_PER_S = 1000.0


class Budget(Protocol):
    """Tries that one upstream may be given beyond the first ones.

    Attributes:
        spent: Tries that were allowed.
        denied: Tries that were not.
    """

    spent: int
    denied: int

    def on_first_attempt(self, now_ms: float) -> None:
        """Takes a request's first try."""

    def try_acquire(self, now_ms: float) -> bool:
        """Takes one try out; returns whether there was one."""


@attrs.define
class RetryBudget:
    """Tries that one upstream may be given beyond the first ones.

    Made for an upstream that fails or is overloaded as a whole. Without it
    each failed request comes back up to three times, and the upstream stays
    down under the tries. One notices by load that grows while answers fall.

    Attributes:
        tokens: Tries that are left.
        refilled_ms: When the floor was last added.
        spent: Tries that were allowed.
        denied: Tries that were not.
    """

    tokens: float = MAX_BUDGET
    refilled_ms: float | None = None
    spent: int = 0
    denied: int = 0

    def on_first_attempt(self, now_ms: float) -> None:
        """Takes a request's first try."""
        self._refill(now_ms)
        self.tokens = min(MAX_BUDGET, self.tokens + BUDGET_RATIO)

    def try_acquire(self, now_ms: float) -> bool:
        """Takes one try out; returns whether there was one."""
        self._refill(now_ms)
        if self.tokens < 1.0:
            self.denied += 1
            return False
        self.tokens -= 1.0
        self.spent += 1
        return True

    def _refill(self, now_ms: float) -> None:
        if self.refilled_ms is not None:
            passed_ms = max(0.0, now_ms - self.refilled_ms)
            floor = BUDGET_FLOOR_PER_S * passed_ms / _MS_PER_S
            self.tokens = min(MAX_BUDGET, self.tokens + floor)
        self.refilled_ms = now_ms


@attrs.define
class _Bucket:
    """What happened in one part of the window.

    Attributes:
        begun_ms: When the part began.
        first: First tries in it.
        spent: Further tries in it.
    """

    begun_ms: float
    first: int = 0
    spent: int = 0


@attrs.define
class MeshRetryBudget:
    """One node's part of an allowance that holds for the whole mesh.

    Made for operators who bound, for any span of some seconds, the tries that
    all nodes together send beyond the first ones. A token bucket that is full
    after a calm minute would let every node spend it at the same moment, by
    which an upstream of few requests gets several times the bound; one notices
    by tries that all nodes send right after a fault begins. Counting what was
    spent in the window itself cannot exceed the node's part at any moment.

    Attributes:
        ratio: Part of the first tries that may be tried again.
        slack: Tries that the whole mesh has beside that.
        window_ms: Length of the window.
        node_count: Tells among how many nodes the slack is divided.
        buckets: Parts of the window, the oldest first.
        spent: Tries that were allowed.
        denied: Tries that were not.
    """

    ratio: float
    slack: float
    window_ms: float
    node_count: Callable[[], int]
    buckets: deque[_Bucket] = attrs.field(factory=deque)
    spent: int = 0
    denied: int = 0

    def on_first_attempt(self, now_ms: float) -> None:
        """Takes a request's first try."""
        self._bucket(now_ms).first += 1

    def try_acquire(self, now_ms: float) -> bool:
        """Takes one try out; returns whether there was one."""
        bucket = self._bucket(now_ms)
        spent = sum(item.spent for item in self.buckets)
        if spent + 1 > self._allowance():
            self.denied += 1
            return False
        bucket.spent += 1
        self.spent += 1
        return True

    def _allowance(self) -> float:
        first = sum(item.first for item in self.buckets)
        slack = self.slack / max(1, self.node_count())
        return USABLE_FRACTION * (self.ratio * first + slack)

    def _bucket(self, now_ms: float) -> _Bucket:
        while self.buckets and self._is_past(self.buckets[0], now_ms):
            self.buckets.popleft()
        length_ms = self.window_ms / _BUCKETS
        if not self.buckets or now_ms - self.buckets[-1].begun_ms >= length_ms:
            self.buckets.append(_Bucket(now_ms))
        return self.buckets[-1]

    def _is_past(self, bucket: _Bucket, now_ms: float) -> bool:
        length_ms = self.window_ms / _BUCKETS
        return now_ms - bucket.begun_ms >= self.window_ms + length_ms
