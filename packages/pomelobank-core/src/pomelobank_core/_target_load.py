"""What a node knows of the load of one target."""

import math

import attrs

from pomelobank_core._ejection import Ejection
from pomelobank_core._latency_ratio import LatencyRatio

# What a target's node said of its load half a second ago says nothing now: at
# 20 slots and 10 ms a request it has served a thousand since.
REPORT_LIFE_MS = 500
# A target that is new or comes back gets its full part after ten seconds: long
# enough for the cold starts of most services, short against a rush.
RAMP_MS = 10_000
RAMP_START = 0.1


@attrs.frozen
class FullHint:
    """What a target's refusal of one class tells.

    Attributes:
        at_ms: When it came.
        until_ms: Until when the target is held to be full.
        retry_after_ms: When it expected to have room, counted from then.
    """

    at_ms: float
    until_ms: float
    retry_after_ms: int


@attrs.frozen
class Ramp:
    """How fast a target that is new gets its full part of the work.

    Attributes:
        start_fraction: Part of its slots at once.
        length_ms: Time until it gets all of them.
    """

    start_fraction: float = RAMP_START
    length_ms: float = RAMP_MS

    def fraction(self, age_ms: float) -> float:
        """Returns the part of its slots that it is trusted with.

        >>> Ramp(start_fraction=0.1, length_ms=1000).fraction(500)
        0.5
        """
        return min(1.0, max(self.start_fraction, age_ms / self.length_ms))


@attrs.define(eq=False)
class TargetLoad:
    """What this node knows of one target's load.

    Attributes:
        incarnation: Incarnation of its node that this is about.
        own_requests: Requests of this node that are there.
        other_requests: Requests of other nodes that were there at the last
            report.
        reported_ms: When that was.
        latency_ratio: Recent time to an answer, as a part of the objective.
        full_hints: Its last refusal of each class; batch work that finds no
            room says nothing about the slots kept for look-ups.
        not_accepting_until_ms: Until when it is held to take no more requests.
        ramp_from_ms: When it came, or came back.
        ramp: How fast it gets its full part then.
        ejection: What failed there.
    """

    incarnation: int
    own_requests: int = 0
    other_requests: int = 0
    reported_ms: float = -math.inf
    latency_ratio: LatencyRatio = attrs.field(factory=LatencyRatio)
    full_hints: dict[str, FullHint] = attrs.field(factory=dict)
    not_accepting_until_ms: float = 0.0
    ramp_from_ms: float = -math.inf
    ramp: "Ramp" = attrs.field(factory=lambda: Ramp())
    ejection: Ejection = attrs.field(factory=Ejection)

    def estimated_requests(self, now_ms: float) -> float:
        """Returns the requests that are probably there; reports fade."""
        age_ms = now_ms - self.reported_ms
        fresh = max(0.0, 1.0 - age_ms / REPORT_LIFE_MS)
        return self.own_requests + self.other_requests * fresh

    def is_full(self, traffic_class: str, now_ms: float) -> bool:
        """Tells whether it refused a class lately, or takes nothing more."""
        if now_ms < self.not_accepting_until_ms:
            return True
        hint = self.full_hints.get(traffic_class)
        return hint is not None and now_ms < hint.until_ms

    def usable_slots(self, slots: int, now_ms: float) -> float:
        """Returns the slots that it is trusted with after its start."""
        return max(1.0, slots * self.ramp.fraction(now_ms - self.ramp_from_ms))

    def cost(self, slots: int, pace: float, now_ms: float) -> float:
        """Returns how unattractive it is.

        Of a target that many nodes use, each node knows a small part of the
        load only; its pace tells the rest.
        """
        used = (self.estimated_requests(now_ms) + 1) / self.usable_slots(
            slots, now_ms
        )
        return used * pace
