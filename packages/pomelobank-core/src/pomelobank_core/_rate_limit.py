"""Limit of the rate at which a target gets requests."""

import math

import attrs

# Time for which the bucket holds unused requests. Requests arrive irregularly;
# without unused requests, every pause between two of them would be lost to a
# target that serves little as it is.
BURST_MS = 250.0
# Lowest rate that is applied. Only a response of the target can end its limit,
# so a target that named a limit of 0 gets a request now and then.
MIN_RATE_PER_S = 0.5
_MS_PER_S = 1000.0


@attrs.define
class RateLimit:
    """Token bucket with the rate that a target has named.

    Handles a target in need that serves fewer requests than its slots suggest
    and says so. All requests to a target pass through the node beside it, so
    one bucket there holds the limit over all entry nodes, retries and calls
    together, without messages between nodes.

    Attributes:
        per_s: Requests per second; infinite without a limit.
        tokens: Requests that may be sent at `updated_ms`.
        updated_ms: Time of the last update of the tokens.
    """

    per_s: float = math.inf
    tokens: float = math.inf
    updated_ms: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the target has named a limit."""
        return self.per_s < math.inf

    def set_rate(self, per_s: float | None, now_ms: float) -> bool:
        """Applies the limit that a response names.

        Args:
            per_s: Requests per second; None if the response names no limit.
            now_ms: Monotonic time.

        Returns:
            Whether a limit began or ended.
        """
        was_limited = self.is_limited
        self._refill(now_ms)
        self.per_s = math.inf if per_s is None else max(MIN_RATE_PER_S, per_s)
        if not self.is_limited:
            self.tokens = math.inf
        elif not was_limited:
            # The target has just got requests without a limit.
            self.tokens = 0.0
        return was_limited != self.is_limited

    def wait_ms(self, now_ms: float, ahead: int = 0) -> float:
        """Returns the time until a request may be sent; 0 for now.

        Args:
            now_ms: Monotonic time.
            ahead: Requests that were accepted earlier and are not sent yet.
        """
        if not self.is_limited:
            return 0.0
        self._refill(now_ms)
        missing = ahead + 1 - self.tokens
        return max(0.0, missing / self.per_s * _MS_PER_S)

    def try_take(self, now_ms: float) -> bool:
        """Counts a request that is about to be sent; False if none may be."""
        self._refill(now_ms)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    @property
    def _capacity(self) -> float:
        return max(1.0, self.per_s * BURST_MS / _MS_PER_S)

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self.updated_ms
        self.updated_ms = now_ms
        if self.is_limited:
            self.tokens += elapsed_ms * self.per_s / _MS_PER_S
            self.tokens = min(self._capacity, self.tokens)
