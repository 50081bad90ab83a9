"""How much of a target goes to requests that overtake others in its queue."""

import math
from typing import NamedTuple

import attrs

# Requests of the last second or so tell what will come in the next tenths, for
# which a request may wait: less is noise at ten requests a second, and more
# would keep a burst in mind that has passed.
DECAY_TIME_MS = 1000.0
# Part of the slots that overtaking requests leave at the least. At nothing at
# all every wait would be endless and no measurement could correct that.
MIN_AVAILABLE_FRACTION = 0.02


class Rank(NamedTuple):
    """Order in which requests get slots; the lower one goes first.

    Attributes:
        priority: Priority of the route; 0 is the most urgent.
        past_objective: Whether the answer can no longer be in time.
    """

    priority: int
    past_objective: bool


@attrs.define
class DecayingSum:
    """Slot time that fades.

    Attributes:
        value_ms: What is left of it.
        at_ms: When that was.
    """

    value_ms: float = 0.0
    at_ms: float = 0.0

    def at(self, now_ms: float) -> float:
        """Returns what is left of it now."""
        age_ms = max(0.0, now_ms - self.at_ms)
        return self.value_ms * math.exp(-age_ms / DECAY_TIME_MS)

    def add(self, work_ms: float, now_ms: float) -> None:
        """Adds slot time."""
        self.value_ms = self.at(now_ms) + work_ms
        self.at_ms = now_ms


@attrs.define
class RankLoad:
    """Slot time that each rank has been given lately.

    Made for a target that is asked for more than it can do while urgent work
    keeps coming. A queue's length alone says that the last request waits for
    those before it; but all that comes meanwhile with a better rank goes first
    as well. With two thirds of the slots taken like this, the wait is three
    times as long. One notices by requests that are taken in and refused only
    after a third of a second, when nothing can be done with the answer any
    more.

    Attributes:
        by_rank: Slot time by rank.
    """

    by_rank: dict[Rank, DecayingSum] = attrs.field(factory=dict)

    def add(self, rank: Rank, work_ms: float, now_ms: float) -> None:
        """Takes a request that was let in.

        Args:
            rank: Its rank.
            work_ms: Time that it will probably take of a slot.
            now_ms: Current time.
        """
        self.by_rank.setdefault(rank, DecayingSum()).add(work_ms, now_ms)

    def available_fraction(
        self, rank: Rank, slots: int, now_ms: float
    ) -> float:
        """Returns the part of the slots that better ranks leave to one.

        >>> load = RankLoad()
        >>> load.add(Rank(0, False), 6000.0, now_ms=0.0)
        >>> load.available_fraction(Rank(1, False), slots=8, now_ms=0.0)
        0.25

        Args:
            rank: The rank.
            slots: Requests that the target runs at once.
            now_ms: Current time.
        """
        before_ms = sum(
            taken.at(now_ms)
            for other, taken in self.by_rank.items()
            if other < rank
        )
        part = before_ms / DECAY_TIME_MS / max(1, slots)
        return max(MIN_AVAILABLE_FRACTION, 1.0 - part)
