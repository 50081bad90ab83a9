"""Counts the answers of one target, by route."""

import math

import attrs

from pomelobank_schema.generated.peer import RouteAnswers

# Service times are counted in buckets that grow by a factor of the square root
# of two, up to some minutes.
BUCKETS_PER_DOUBLING = 2
MAX_BUCKET = 36
# Maximum number of routes that are counted apart; the answers of all further
# routes are counted together.
_MAX_ROUTES = 64
OTHER_ROUTES = ""


def bucket_of(took_ms: float) -> int:
    """Returns the bucket of a service time.

    >>> bucket_of(0), bucket_of(1), bucket_of(3), bucket_of(1e9)
    (0, 2, 4, 36)
    """
    bucket = BUCKETS_PER_DOUBLING * math.log2(max(0.0, took_ms) + 1)
    return min(MAX_BUCKET, int(bucket))


@attrs.define
class _RouteCounts:
    failures: int = 0
    untimed: int = 0
    times: list[int] = attrs.field(factory=list)
    cancelled: list[int] = attrs.field(factory=list)


@attrs.define(eq=False)
class AnswerCounts:
    """Answers of a target since a roll-out began; the counts only grow.

    Attributes:
        by_route: The counts by route.
        total: Number of all counted requests.
    """

    by_route: dict[str, _RouteCounts] = attrs.field(factory=dict)
    total: int = 0

    def add_failure(self, route: str) -> None:
        """Counts an answer that was a failure."""
        self._of(route).failures += 1

    def add_success(self, route: str, took_ms: float) -> None:
        """Counts any other answer."""
        _increment(self._of(route).times, bucket_of(took_ms))

    def add_untimed(self, route: str) -> None:
        """Counts an answer whose service time says nothing."""
        self._of(route).untimed += 1

    def add_cancelled(self, route: str, took_ms: float) -> None:
        """Counts a request that was cancelled while it ran."""
        _increment(self._of(route).cancelled, bucket_of(took_ms))

    def _of(self, route: str) -> _RouteCounts:
        self.total += 1
        if route not in self.by_route and len(self.by_route) >= _MAX_ROUTES:
            route = OTHER_ROUTES
        return self.by_route.setdefault(route, _RouteCounts())

    def report(self) -> tuple[RouteAnswers, ...]:
        """Returns the counts as they are sent to other nodes."""
        return tuple(
            RouteAnswers(
                route=route,
                failures=counts.failures,
                times=tuple(counts.times),
                cancelled=tuple(counts.cancelled),
                untimed=counts.untimed,
            )
            for route, counts in self.by_route.items()
        )


def _increment(counts: list[int], index: int) -> None:
    counts.extend([0] * (index + 1 - len(counts)))
    counts[index] += 1
