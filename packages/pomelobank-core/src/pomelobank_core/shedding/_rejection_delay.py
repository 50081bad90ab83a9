"""Delay after which the caller of a rejected request may retry."""

import random

import attrs

from pomelobank_core._errors import ERROR_RESPONSES, ErrorKind

# Delay after a rejection by a full target. A shorter delay tells the entry
# node that the rejection was random, so that no further field is needed.
FULL_TARGET_DELAY_MS = ERROR_RESPONSES[ErrorKind.TARGET_REFUSED].retry_after_ms
# Range of the delay after a random rejection. Such rejections say nothing about
# free slots, so waiting does not help; the range separates requests that were
# rejected together and is short next to objectives of some tens of ms.
_SPREAD_MS = 20
# Delay if an immediate attempt has no advantage. It is as long as after a
# rejection by a full target, but still marks the rejection as random.
_USUAL_DELAY_MS = FULL_TARGET_DELAY_MS - 1
# Part of the time until the objective that the usual delay may take. The rest
# is for the work, a wait for a slot and one more rejection.
_MAX_WAIT_FRACTION = 1 / 3


@attrs.frozen
class RejectionDelay:
    """Range of the delay after which a rejected caller may retry.

    An immediate retry helps callers whose objective is near: the usual delay
    alone would make their responses late. It harms the others, since more
    attempts of the same callers meet the targets while these reject.

    Attributes:
        min_ms: Shortest delay.
        max_ms: Longest delay, below the delay after a rejection by a full
            target.
    """

    min_ms: int = 1
    max_ms: int = _SPREAD_MS

    def draw_ms(
        self,
        remaining_ms: float,
        objective_ms: float,
        expected_ms: float,
        rng: random.Random,
    ) -> int:
        """Returns the retry delay after a random rejection.

        Args:
            remaining_ms: Time until the caller's deadline.
            objective_ms: Time until the latency objective; 0 without one.
            expected_ms: Expected service time of the request.
            rng: Source of randomness.
        """
        delay_ms = rng.randint(self.min_ms, self.max_ms)
        has_no_time = delay_ms + expected_ms >= remaining_ms
        may_wait = not objective_ms or (
            objective_ms * _MAX_WAIT_FRACTION >= _USUAL_DELAY_MS
        )
        return _USUAL_DELAY_MS if has_no_time or may_wait else delay_ms


def is_random_rejection(kind: ErrorKind | None, retry_after_ms: int) -> bool:
    """Tells whether a target's node reported a random rejection."""
    return (
        kind is ErrorKind.TARGET_REFUSED
        and 0 < retry_after_ms < FULL_TARGET_DELAY_MS
    )
