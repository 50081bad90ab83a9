"""Load of one target as estimated by one node."""

import math

import attrs

from pomelobank_core._ejection import Ejection
from pomelobank_core._latency_ratio import LatencyRatio

# Age at which a target node's load report is ignored. At 20 slots and 10 ms a
# request, the target has served a thousand requests within 500 ms, so an older
# report says nothing about the present load.
REPORT_MAX_AGE_MS = 500
# When every target has refused a class within this time, the entry node also
# refuses the class and saves the round trip. A queue of 200 ms does not become
# empty within 20 ms.
REJECTION_MAX_AGE_MS = 20
# Time until a new or returned target gets its full share of requests. Ten
# seconds cover the cold start of most services and are short compared with a
# load peak.
RAMP_MS = 10_000
# Fraction of a new or returned target's slots that nodes use from the start.
# The fraction then grows to 1 within the ramp.
RAMP_START_FRACTION = 0.1


@attrs.frozen
class FullHint:
    """A target's refusal of one traffic class.

    Attributes:
        at_ms: Time of the refusal; minus infinity if the target would only
            have queued the request longer than the entry node allowed.
        until_ms: Time until which the target counts as full.
        retry_after_ms: Time from the refusal until the target expects a free
            slot.
    """

    at_ms: float
    until_ms: float
    retry_after_ms: int


@attrs.frozen
class Ramp:
    """Slow start: increases the share of requests of a new target.

    Attributes:
        start_fraction: Fraction of the target's slots in use at the start.
        length_ms: Time until all slots are in use.
    """

    start_fraction: float = RAMP_START_FRACTION
    length_ms: float = RAMP_MS

    def fraction(self, age_ms: float) -> float:
        """Returns the fraction of a target's slots in use at an age.

        >>> Ramp(start_fraction=0.1, length_ms=1000).fraction(500)
        0.5
        """
        return min(1.0, max(self.start_fraction, age_ms / self.length_ms))


@attrs.define(eq=False)
class TargetLoad:
    """Estimated load of one target, as seen by this node.

    Attributes:
        incarnation: Incarnation of the target's node that this load is of.
        own_requests: This node's requests in flight at the target.
        other_requests: Other nodes' requests at the target at the last report.
        reported_ms: Time of that report.
        latency_ratio: Recent response time divided by the latency objective.
        full_hints: The target's last refusal of each class. Classes are kept
            apart because a refused batch request says nothing about the slots
            reserved for interactive requests.
        not_accepting_until_ms: Time until which the target counts as accepting
            no requests.
        limited_until_ms: Time until which the target's rate limit leaves no
            room.
        ramp_from_ms: Time at which the target joined or returned.
        ramp: Slow start of the target from that time on.
        ejection: Recent failures of the target.
    """

    incarnation: int
    own_requests: int = 0
    other_requests: int = 0
    reported_ms: float = -math.inf
    latency_ratio: LatencyRatio = attrs.field(factory=LatencyRatio)
    full_hints: dict[str, FullHint] = attrs.field(factory=dict)
    not_accepting_until_ms: float = 0.0
    limited_until_ms: float = 0.0
    ramp_from_ms: float = -math.inf
    ramp: "Ramp" = attrs.field(factory=lambda: Ramp())
    ejection: Ejection = attrs.field(factory=Ejection)

    def estimated_requests(self, now_ms: float) -> float:
        """Returns the estimated requests at the target.

        The weight of the last report falls to 0 within `REPORT_MAX_AGE_MS`.
        """
        age_ms = now_ms - self.reported_ms
        weight = max(0.0, 1.0 - age_ms / REPORT_MAX_AGE_MS)
        return self.own_requests + self.other_requests * weight

    def is_full(self, traffic_class: str, now_ms: float) -> bool:
        """Returns whether the target refused a class or accepts no requests."""
        if now_ms < self.not_accepting_until_ms:
            return True
        if now_ms < self.limited_until_ms:
            return True
        hint = self.full_hints.get(traffic_class)
        return hint is not None and now_ms < hint.until_ms

    def accepts_requests(self, now_ms: float) -> bool:
        """Returns whether the target takes requests of any class."""
        return now_ms >= max(self.not_accepting_until_ms, self.limited_until_ms)

    def refusal_ms(self, traffic_class: str, now_ms: float) -> float:
        """Returns the time for which the target certainly refuses a class.

        Returns:
            The time in ms; 0 if the target may accept a request.
        """
        if now_ms < self.limited_until_ms:
            return self.limited_until_ms - now_ms
        hint = self.full_hints.get(traffic_class)
        if hint is None or now_ms - hint.at_ms > REJECTION_MAX_AGE_MS:
            return 0.0
        return hint.retry_after_ms

    def usable_slots(self, slots: int, now_ms: float) -> float:
        """Returns the slots that the slow start allows; at least 1."""
        return max(1.0, slots * self.ramp.fraction(now_ms - self.ramp_from_ms))

    def cost(self, slots: int, latency_ratio: float, now_ms: float) -> float:
        """Returns the cost of sending a request to the target; lower is better.

        When many nodes use a target, each node sees only a small part of the
        load. The latency ratio shows the load caused by the other nodes.
        """
        requests = float(self.own_requests)
        age_ms = now_ms - self.reported_ms
        if self.other_requests and age_ms < REPORT_MAX_AGE_MS:
            requests = self.estimated_requests(now_ms)
        usable_slots = float(max(1, slots))
        if now_ms - self.ramp_from_ms < self.ramp.length_ms:
            usable_slots = self.usable_slots(slots, now_ms)
        return (requests + 1) / usable_slots * latency_ratio
