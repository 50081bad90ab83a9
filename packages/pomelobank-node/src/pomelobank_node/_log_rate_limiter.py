"""Bounds how many lines about requests a node writes."""

import attrs

# Lines a second. At 79 us a line (20,000 lines in a loop, a busy machine) the
# bounds of the entry and of the owner in one process cost 1.7% of a core
# together, whatever the load.
MAX_SUCCESSES_PER_S = 10
MAX_FAILURES_PER_S = 100
_MS_PER_S = 1000


@attrs.define
class LogRateLimiter:
    """Decides which requests get a line.

    Made for an overload: with a line for each of thousands of refusals a
    second, writing them would take the core that requests need. Failures are
    told up to a bound that a calm day never meets, successes are sampled, and
    what was left out is counted in the next line.

    Attributes:
        second: The second that is being counted.
        successes: Lines about successes in it.
        failures: Lines about failures in it.
        dropped: Failures without a line since the last one that was told.
        dropped_total: Failures without a line, for the metrics.
    """

    second: int = 0
    successes: int = 0
    failures: int = 0
    dropped: int = 0
    dropped_total: int = 0

    def allow_success(self, now_ms: int) -> bool:
        """Tells whether a success gets a line."""
        self._turn(now_ms)
        self.successes += 1
        return self.successes <= MAX_SUCCESSES_PER_S

    def allow_failure(self, now_ms: int) -> bool:
        """Tells whether a failure gets a line; counts it where not."""
        self._turn(now_ms)
        self.failures += 1
        if self.failures <= MAX_FAILURES_PER_S:
            return True
        self.dropped += 1
        self.dropped_total += 1
        return False

    def pop_dropped(self) -> int:
        """Returns the failures left out since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped

    def _turn(self, now_ms: int) -> None:
        second = now_ms // _MS_PER_S
        if second != self.second:
            self.second, self.successes, self.failures = second, 0, 0
