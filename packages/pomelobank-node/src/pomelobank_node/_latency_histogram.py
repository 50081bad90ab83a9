"""Latency histograms for the metrics page."""

from bisect import bisect_left
from itertools import accumulate

import attrs

# Upper bounds of the buckets, about two per doubling. With this resolution, a
# quick request that ran at once falls into another bucket than one that waited
# for a slot.
BOUNDS_MS = (
    1, 2, 5, 10, 20, 35, 50, 75, 100, 150, 200, 300,
    500, 750, 1000, 1500, 2000, 3000, 5000, 10000,
)  # fmt: skip


@attrs.define
class LatencyHistogram:
    """Counts latencies per bucket.

    Adding a latency costs one binary search and two additions. The class does
    not need the metrics library, which the node loads only when a client reads
    the metrics.

    Attributes:
        counts: Number of latencies per bucket; the last bucket holds latencies
            above the highest bound.
        sum_ms: Sum of all latencies.
    """

    counts: list[int] = attrs.field(factory=lambda: [0] * (len(BOUNDS_MS) + 1))
    sum_ms: float = 0.0

    def add(self, latency_ms: float) -> None:
        """Adds one latency."""
        self.counts[bisect_left(BOUNDS_MS, latency_ms)] += 1
        self.sum_ms += latency_ms

    def cumulative(self) -> dict[str, int]:
        """Returns the number of latencies up to each bound, keyed by bound."""
        bounds = [*map(str, BOUNDS_MS), "+Inf"]
        return dict(zip(bounds, accumulate(self.counts), strict=True))
