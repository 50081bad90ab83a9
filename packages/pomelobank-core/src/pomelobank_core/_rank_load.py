"""Load of a target by requests that overtake other requests in its queue."""

import math
from typing import NamedTuple

import attrs

# Time constant with which recorded slot time decays. Requests of about the last
# second predict the load of the next tenths of a second, the time for which a
# request may wait. With a shorter time constant, the sum would be mostly noise
# at ten requests a second; with a longer one, it would still count a burst that
# has passed.
DECAY_TIME_MS = 1000.0
# Minimum fraction of the slots assumed to be left to a rank by better ranks. If
# better ranks used all slots, the fraction would be 0, the expected wait
# infinite, and every request of the rank rejected; without requests that run,
# no measurement could correct an estimated slot time that is too high.
MIN_AVAILABLE_FRACTION = 0.02


class Rank(NamedTuple):
    """Order in which requests get slots; a lower rank goes first.

    Attributes:
        priority: Priority of the route; 0 is the most urgent.
        past_objective: Whether the request can no longer meet its objective.
    """

    priority: int
    past_objective: bool


@attrs.define
class DecayingSum:
    """Exponentially decaying sum of slot time.

    Attributes:
        value_ms: The sum at its last update.
        at_ms: Time of the last update.
    """

    value_ms: float = 0.0
    at_ms: float = 0.0

    def at(self, now_ms: float) -> float:
        """Returns the decayed sum at a time, in ms."""
        age_ms = max(0.0, now_ms - self.at_ms)
        return self.value_ms * math.exp(-age_ms / DECAY_TIME_MS)

    def add(self, work_ms: float, now_ms: float) -> None:
        """Adds slot time to the sum."""
        self.value_ms = self.at(now_ms) + work_ms
        self.at_ms = now_ms


@attrs.define
class RankLoad:
    """Slot time that each rank was given recently.

    Handles an overloaded target that keeps receiving urgent requests. A wait
    estimated from the queue's length covers only the requests already queued,
    but later arrivals with a better rank start first as well. If these take two
    thirds of the slots, the wait is three times as long. Without this measure
    requests are queued and then rejected after a third of a second, too late
    for their callers to use another target. Admission therefore divides the
    wait by the fraction of the slots that better ranks leave free.

    Attributes:
        by_rank: Recent slot time by rank.
    """

    by_rank: dict[Rank, DecayingSum] = attrs.field(factory=dict)

    def add(self, rank: Rank, work_ms: float, now_ms: float) -> None:
        """Adds the slot time of an admitted request.

        Args:
            rank: Rank of the request.
            work_ms: Expected slot time of the request.
            now_ms: Current time.
        """
        self.by_rank.setdefault(rank, DecayingSum()).add(work_ms, now_ms)

    def available_fraction(
        self, rank: Rank, slots: int, now_ms: float
    ) -> float:
        """Returns the fraction of the slots that better ranks leave to a rank.

        >>> load = RankLoad()
        >>> load.add(Rank(0, False), 6000.0, now_ms=0.0)
        >>> load.available_fraction(Rank(1, False), slots=8, now_ms=0.0)
        0.25

        Args:
            rank: The rank.
            slots: Maximum number of concurrent requests at the target.
            now_ms: Current time.
        """
        better_ms = sum(
            slot_time.at(now_ms)
            for other, slot_time in self.by_rank.items()
            if other < rank
        )
        used_fraction = better_ms / DECAY_TIME_MS / max(1, slots)
        return max(MIN_AVAILABLE_FRACTION, 1.0 - used_fraction)
