"""Counts of times, for the histograms of the metrics page."""

from bisect import bisect_left
from itertools import accumulate

import attrs

# Upper bounds in ms, about two to a doubling: fine enough to tell a look-up
# that takes its usual time from one that waited for a slot.
BOUNDS_MS = (
    1, 2, 5, 10, 20, 35, 50, 75, 100, 150, 200, 300,
    500, 750, 1000, 1500, 2000, 3000, 5000, 10000,
)  # fmt: skip


@attrs.define
class LatencyHistogram:
    """How many times fell into each bucket.

    Adding costs one search and one addition; the library that serves the
    metrics is loaded only when somebody reads them.

    Attributes:
        counts: Times per bucket; the last one holds all above the bounds.
        sum_ms: Sum of all times.
    """

    counts: list[int] = attrs.field(factory=lambda: [0] * (len(BOUNDS_MS) + 1))
    sum_ms: float = 0.0

    def add(self, took_ms: float) -> None:
        """Takes a time."""
        self.counts[bisect_left(BOUNDS_MS, took_ms)] += 1
        self.sum_ms += took_ms

    def cumulative(self) -> dict[str, int]:
        """Returns the times up to each bound, as histograms are told."""
        bounds = [*map(str, BOUNDS_MS), "+Inf"]
        return dict(zip(bounds, accumulate(self.counts), strict=True))
