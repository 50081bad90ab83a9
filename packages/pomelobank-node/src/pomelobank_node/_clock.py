"""The system's clock."""

import time

_NS_PER_MS = 1_000_000


class SystemClock:
    """Tells the machine's time in milliseconds."""

    def now_ms(self) -> int:
        """Returns a time that never goes back."""
        return time.monotonic_ns() // _NS_PER_MS

    def wall_ms(self) -> int:
        """Returns the time since the epoch."""
        return time.time_ns() // _NS_PER_MS
