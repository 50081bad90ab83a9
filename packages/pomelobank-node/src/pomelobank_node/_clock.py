"""The system's clock."""

import time

_NS_PER_MS = 1_000_000


class SystemClock:
    """Reads the machine's clocks in milliseconds."""

    def now_ms(self) -> int:
        """Returns the monotonic time, including time spent in suspension.

        With a clock that stops during suspension, a request that the node read
        before the pause would seem to be well before its deadline and would
        run although its caller has already timed out.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS

    def wall_ms(self) -> int:
        """Returns the time since the Unix epoch."""
        return time.time_ns() // _NS_PER_MS
