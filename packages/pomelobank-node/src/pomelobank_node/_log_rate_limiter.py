"""Limits the rate of log lines about requests."""

import attrs

# Maximum numbers of lines about successes and about failures per second. At 79
# us per line (20,000 lines in a loop on a busy machine), the lines that the
# limiters of the entry and of the owner in one process allow cost at most 1.7%
# of a core together, regardless of the load.
MAX_SUCCESS_LINES_PER_S = 10
MAX_FAILURE_LINES_PER_S = 100
_MS_PER_S = 1000


@attrs.define
class LogRateLimiter:
    """Decides which requests get a log line.

    During an overload, a node rejects thousands of requests per second; a line
    for each rejection would take the CPU time that other requests need. The
    limiter therefore samples successes and allows failures up to a limit that
    normal operation does not reach. The next line about a failure reports how
    many failures were left out.

    Attributes:
        second: The second to which `successes` and `failures` refer.
        successes: Successes in this second, with or without a line.
        failures: Failures in this second, with or without a line.
        dropped: Failures without a line since the last `pop_dropped` call.
        dropped_total: Failures without a line since the start, for the metrics.
    """

    second: int = 0
    successes: int = 0
    failures: int = 0
    dropped: int = 0
    dropped_total: int = 0

    def allow_success(self, now_ms: int) -> bool:
        """Returns whether a successful request gets a line."""
        self._reset_if_new_second(now_ms)
        self.successes += 1
        return self.successes <= MAX_SUCCESS_LINES_PER_S

    def allow_failure(self, now_ms: int) -> bool:
        """Returns whether a failed request gets a line; if not, counts it."""
        self._reset_if_new_second(now_ms)
        self.failures += 1
        if self.failures <= MAX_FAILURE_LINES_PER_S:
            return True
        self.dropped += 1
        self.dropped_total += 1
        return False

    def pop_dropped(self) -> int:
        """Returns and resets the number of failures without a line."""
        dropped, self.dropped = self.dropped, 0
        return dropped

    def _reset_if_new_second(self, now_ms: int) -> None:
        second = now_ms // _MS_PER_S
        if second != self.second:
            self.second, self.successes, self.failures = second, 0, 0
