"""The system's clock."""

import time

_NS_PER_MS = 1_000_000


class SystemClock:
    """Tells the machine's time in milliseconds."""

    def now_ms(self) -> int:
        """Returns a time that never goes back.

        It goes on while the machine is suspended. A request that was read
        before such a pause would else seem to have all its time left, and run
        for a caller who has long gone.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS

    def wall_ms(self) -> int:
        """Returns the time since the epoch."""
        return time.time_ns() // _NS_PER_MS
