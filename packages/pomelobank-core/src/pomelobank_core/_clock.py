"""The one clock type of the project; every time is in milliseconds."""

from typing import Protocol

import attrs


class Clock(Protocol):
    """Tells the time in milliseconds."""

    def now_ms(self) -> int:
        """Returns a time that never goes back, for durations and deadlines."""

    def wall_ms(self) -> int:
        """Returns the time since the epoch, for people and audit entries."""


@attrs.define
class ManualClock:
    """A clock that a test moves by hand.

    Attributes:
        current_ms: The time that both methods tell.

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
        """Moves the clock forward."""
        self.current_ms += by_ms
