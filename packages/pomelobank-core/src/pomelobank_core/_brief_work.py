"""Recognises requests that are short next to a target's other work."""

import attrs

from pomelobank_core._rank_load import DECAY_TIME_MS, DecayingSum
from pomelobank_core._route_times import RouteTimes

# Maximum expected service time of a brief request, as a fraction of the slowest
# route's. A brief request that overtakes longer requests delays them by at most
# this fraction of the slowest route's time.
MAX_BRIEF_TIME_FRACTION = 1 / 3
# Maximum fraction of the slots that brief requests may use while they go first.
# Above this fraction they would starve longer work of the same priority, so
# they are then ranked like all other requests.
MAX_BRIEF_SLOT_FRACTION = 0.2


@attrs.define
class BriefWork:
    """Tells which requests may start before longer ones of their priority.

    Handles an overload of targets with few slots by requests that call other
    upstreams while they hold a slot. Such calls take tens of milliseconds and
    queue behind requests that take hundreds. If calls were ranked by their
    objective, a call would miss its objective after one such wait, rank behind
    all requests that can still meet theirs, and be rejected; each rejection
    wastes the slot time that the calling request has used.

    Attributes:
        service_times: Measured service times.
        recent_slot_time: Slot time that brief requests were given recently.
    """

    service_times: RouteTimes
    recent_slot_time: DecayingSum = attrs.field(factory=DecayingSum)

    def is_brief(self, route: str, slots: int, now_ms: float) -> bool:
        """Tells whether a request of a route now counts as brief.

        Args:
            route: The request's route.
            slots: Maximum number of concurrent requests at the target.
            now_ms: Current time.
        """
        if not self.service_times.by_route:
            return False
        max_brief_ms = (
            MAX_BRIEF_TIME_FRACTION * self.service_times.max_expected_ms(now_ms)
        )
        # A route without measurements counts as brief. With a default service
        # time its requests could all be rejected, and the route would never be
        # measured.
        measured = route in self.service_times.by_route
        if (
            measured
            and self.service_times.expected_ms(route, now_ms) > max_brief_ms
        ):
            return False
        return (
            self.recent_slot_time.at(now_ms)
            <= MAX_BRIEF_SLOT_FRACTION * slots * DECAY_TIME_MS
        )

    def on_start(self, route: str, now_ms: float) -> None:
        """Adds the expected slot time of a brief request that starts."""
        self.recent_slot_time.add(
            self.service_times.expected_ms(route, now_ms), now_ms
        )
