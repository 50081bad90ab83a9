"""Retry budgets: bounds on the retries that an upstream receives."""

from collections import deque
from collections.abc import Callable
from typing import Protocol

import attrs

# Retries allowed for each first attempt: a failing upstream gets 10% more load
# instead of a multiple. Over 13 hops the load grows to at most 1.1^13 = 3.5
# times, where three attempts at each hop would make 3^13 = 1.6 million times.
BUDGET_RATIO = 0.1
# Maximum number of saved retries. The saved retries serve bursts of failures,
# such as the death of a target with ten requests.
MAX_BUDGET = 20.0
# Retries added each second, so that an upstream with one request a minute may
# still retry that request.
MIN_REFILL_PER_S = 0.5
# Fraction of the mesh's retry budget that the nodes use. The remainder covers
# calls that a repeated request makes again, which no node counts as retries,
# and nodes whose member lists are incomplete, so that their shares of the
# budget are too large.
USABLE_FRACTION = 0.6
# Number of buckets of a sliding window. Attempts expire with their whole
# bucket, up to one tenth of the window late.
_BUCKET_COUNT = 10
_MS_PER_S = 1000.0


class Budget(Protocol):
    """Budget of the retries and hedged requests that one upstream may receive.

    Attributes:
        spent: Number of retries that the budget allowed.
        denied: Number of retries that the budget denied.
    """

    spent: int
    denied: int

    def on_first_attempt(self, now_ms: float) -> None:
        """Records the first attempt of a request."""

    def try_acquire(self, now_ms: float) -> bool:
        """Takes one retry from the budget; returns whether one was left."""

    def used_fraction(self, now_ms: float) -> float:
        """Returns the fraction of the present budget that is used, 0 to 1."""


@attrs.define
class RetryBudget:
    """Token bucket of the retries that one upstream may receive.

    Handles an upstream that fails or is overloaded as a whole. Without a budget
    each failed request would be sent up to three times, and the retries would
    keep the upstream down: the load grows while the number of successful
    responses falls.

    Attributes:
        tokens: Number of retries left.
        refilled_ms: Time of the last refill at the minimum rate.
        spent: Number of retries that the budget allowed.
        denied: Number of retries that the budget denied.
    """

    tokens: float = MAX_BUDGET
    refilled_ms: float | None = None
    spent: int = 0
    denied: int = 0

    def on_first_attempt(self, now_ms: float) -> None:
        """Records the first attempt of a request."""
        self._refill(now_ms)
        self.tokens = min(MAX_BUDGET, self.tokens + BUDGET_RATIO)

    def try_acquire(self, now_ms: float) -> bool:
        """Takes one retry from the budget; returns whether one was left."""
        self._refill(now_ms)
        if self.tokens < 1.0:
            self.denied += 1
            return False
        self.tokens -= 1.0
        self.spent += 1
        return True

    def used_fraction(self, now_ms: float) -> float:
        """Returns the fraction of the present budget that is used, 0 to 1."""
        self._refill(now_ms)
        return 1.0 - self.tokens / MAX_BUDGET

    def _refill(self, now_ms: float) -> None:
        if self.refilled_ms is not None:
            elapsed_ms = max(0.0, now_ms - self.refilled_ms)
            refill = MIN_REFILL_PER_S * elapsed_ms / _MS_PER_S
            self.tokens = min(MAX_BUDGET, self.tokens + refill)
        self.refilled_ms = now_ms


@attrs.define
class _Bucket:
    """Number of attempts in one tenth of the window.

    Attributes:
        begun_ms: Start of the bucket.
        first: Number of first attempts.
        spent: Number of retries.
    """

    begun_ms: float
    first: int = 0
    spent: int = 0


@attrs.define
class MeshRetryBudget:
    """One node's share of a retry budget for the whole mesh.

    This budget is for operators who limit the retries that all nodes together
    send in any window of some seconds. Token buckets that are full after a calm
    minute would let every node spend its bucket at the same time, as soon as a
    fault begins, and an upstream with few requests would get several times the
    limit. A count of the retries in a sliding window never exceeds the node's
    share.

    Attributes:
        ratio: Allowed retries as a fraction of the first attempts.
        slack: Retries in a window that the whole mesh has in addition.
        window_ms: Length of the window.
        node_count: Returns the number of nodes that share the slack.
        buckets: Counts of the window, the oldest first.
        spent: Number of retries that the budget allowed.
        denied: Number of retries that the budget denied.
    """

    ratio: float
    slack: float
    window_ms: float
    node_count: Callable[[], int]
    buckets: deque[_Bucket] = attrs.field(factory=deque)
    spent: int = 0
    denied: int = 0

    def on_first_attempt(self, now_ms: float) -> None:
        """Records the first attempt of a request."""
        self._bucket(now_ms).first += 1

    def try_acquire(self, now_ms: float) -> bool:
        """Takes one retry from the budget; returns whether one was left."""
        bucket = self._bucket(now_ms)
        spent = sum(item.spent for item in self.buckets)
        if spent + 1 > self._allowance():
            self.denied += 1
            return False
        bucket.spent += 1
        self.spent += 1
        return True

    def used_fraction(self, now_ms: float) -> float:
        """Returns the fraction of the present budget that is used, 0 to 1."""
        self._bucket(now_ms)
        spent = sum(item.spent for item in self.buckets)
        return min(1.0, spent / max(1.0, self._allowance()))

    def _allowance(self) -> float:
        first = sum(item.first for item in self.buckets)
        slack = self.slack / max(1, self.node_count())
        return USABLE_FRACTION * (self.ratio * first + slack)

    def _bucket(self, now_ms: float) -> _Bucket:
        while self.buckets and self._is_expired(self.buckets[0], now_ms):
            self.buckets.popleft()
        length_ms = self.window_ms / _BUCKET_COUNT
        if not self.buckets or now_ms - self.buckets[-1].begun_ms >= length_ms:
            self.buckets.append(_Bucket(now_ms))
        return self.buckets[-1]

    def _is_expired(self, bucket: _Bucket, now_ms: float) -> bool:
        length_ms = self.window_ms / _BUCKET_COUNT
        return now_ms - bucket.begun_ms >= self.window_ms + length_ms
