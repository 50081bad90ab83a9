"""Clock protocol of the whole project; every time is in milliseconds."""

from typing import Protocol

import attrs


class Clock(Protocol):
    """Source of monotonic and wall-clock time in ms."""

    def now_ms(self) -> int:
        """Returns the monotonic time, for durations and deadlines."""

    def wall_ms(self) -> int:
        """Returns the time since the Unix epoch, for logs and audit entries."""


@attrs.define
class ManualClock:
    """A clock that a test advances explicitly.

    Attributes:
        current_ms: Time that both methods return.

    >>> clock = ManualClock(current_ms=5)
    >>> clock.advance(10)
    >>> clock.now_ms()
    15
    """

    current_ms: int = 0

    def now_ms(self) -> int:
        """Returns the time that the test has set."""
        return self.current_ms

    def wall_ms(self) -> int:
        """Returns the time that the test has set."""
        return self.current_ms

    def advance(self, by_ms: int) -> None:
        """Advances the clock."""
        self.current_ms += by_ms
