"""Tells random rejections of a target from those of a full target."""

import attrs

# Weight of a new sample in the share of random rejections. The share covers
# about the last ten requests, which a target of three slots receives in one to
# two seconds.
_SAMPLE_WEIGHT = 0.1
# Time without a request after which the share counts as unknown. A target that
# gets no requests for this long may have recovered.
_MAX_SAMPLE_AGE_MS = 5_000
# Share of random rejections from which a rejection at the last free slot is
# also random. Below it, the target may count a request that the node does not.
_MIN_SHARE_AT_LAST_SLOT = 0.25
# Consecutive rejections after which a target counts as full. A target that
# rejects 55% at random does so by chance in 1 of 120 series; a target that
# rejects everything must not attract requests by its free slots.
_MAX_CONSECUTIVE = 8


@attrs.define
class RandomRejections:
    """Rejections by a target, as its node observes them.

    Every request for a target passes its node, so the node knows how many
    requests run there. A target that rejects a request while slots are free
    rejects at random. A target is really full if it still runs requests that
    the node has given up, or if it rejects every request.

    Attributes:
        share: Recent share of random rejections among the requests sent.
        sampled_ms: Time of the last sample; None before the first.
        consecutive: Number of rejections since a request last ran.
        abandoned_until_ms: Times until which given-up requests may still run.
        count: Number of random rejections, for the metrics.
    """

    share: float = 0.0
    sampled_ms: float | None = None
    consecutive: int = 0
    abandoned_until_ms: list[float] = attrs.field(factory=list)
    count: int = 0

    def on_ran(self, now_ms: float) -> None:
        """Records that the target ran a request."""
        self.consecutive = 0
        self._add_sample(0.0, now_ms)

    def on_abandoned(self, until_ms: float, now_ms: float) -> None:
        """Records a request that the node gave up while it ran.

        Args:
            until_ms: Time until which the target may still run the request.
            now_ms: Current time.
        """
        self._forget_ended(now_ms)
        self.abandoned_until_ms.append(until_ms)

    def on_rejected(self, in_flight: int, slots: int, now_ms: float) -> bool:
        """Records a rejection and tells whether it was random.

        Args:
            in_flight: Requests at the target, the rejected one included.
            slots: Number of requests that the target runs at once.
            now_ms: Current time.
        """
        self.consecutive += 1
        is_random = self._is_random(in_flight, slots, now_ms)
        self.count += is_random
        self._add_sample(float(is_random), now_ms)
        return is_random

    def _is_random(self, in_flight: int, slots: int, now_ms: float) -> bool:
        if self.consecutive >= _MAX_CONSECUTIVE:
            return False
        self._forget_ended(now_ms)
        needed = in_flight + len(self.abandoned_until_ms)
        if needed == slots:
            return self._share_at(now_ms) >= _MIN_SHARE_AT_LAST_SLOT
        return needed < slots

    def _share_at(self, now_ms: float) -> float:
        if self.sampled_ms is None:
            return 0.0
        is_known = now_ms - self.sampled_ms <= _MAX_SAMPLE_AGE_MS
        return self.share if is_known else 0.0

    def _add_sample(self, value: float, now_ms: float) -> None:
        share = self._share_at(now_ms)
        self.share = share + _SAMPLE_WEIGHT * (value - share)
        self.sampled_ms = now_ms

    def _forget_ended(self, now_ms: float) -> None:
        self.abandoned_until_ms = [
            until_ms
            for until_ms in self.abandoned_until_ms
            if until_ms > now_ms
        ]
