"""Tells a body that arrives from one that only keeps a slot.

Load pattern: clients whose long bodies stop short of their end, or arrive byte
by byte, and hold all slots of a target meanwhile.
"""

import attrs

_MS_PER_S = 1000


@attrs.define
class BodyPace:
    """Measures the progress of a body while its request holds a slot.

    Each byte pays for a time at the minimum rate, up to the longest pause. A
    body is stalled once that time has passed without further bytes.

    Attributes:
        min_bytes_per_s: Rate below which a body counts as stalled.
        max_pause_ms: Pause after which a body that was fast before counts as
            stalled.
        paid_until_ms: Time that the received bytes have paid for.
        is_waiting: Whether the next part of the body is awaited. A body does
            not stall while its receiver does not ask for more.
        received_ms: Time of the last part; None before the first wait.
    """

    min_bytes_per_s: int
    max_pause_ms: int
    paid_until_ms: float = 0.0
    is_waiting: bool = False
    received_ms: int | None = None

    def on_wait(self, now_ms: int) -> None:
        """Begins to wait for the next part."""
        if self.is_waiting:
            return
        self.is_waiting = True
        if self.received_ms is None:
            self.paid_until_ms = now_ms + self.max_pause_ms
        else:
            self.paid_until_ms += now_ms - self.received_ms

    def on_part(self, size: int, now_ms: int) -> None:
        """Counts a part that has arrived.

        Args:
            size: Size of the part in bytes.
            now_ms: Current time.
        """
        self.is_waiting = False
        self.received_ms = now_ms
        paid_ms = size * _MS_PER_S / self.min_bytes_per_s
        self.paid_until_ms = min(
            self.paid_until_ms + paid_ms,
            now_ms + self.max_pause_ms,
        )

    def is_stalled(self, now_ms: int) -> bool:
        """Returns whether the body arrives too slowly to keep its slot."""
        return self.is_waiting and now_ms > self.paid_until_ms
