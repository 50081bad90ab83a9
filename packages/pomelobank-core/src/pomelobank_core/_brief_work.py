"""Which requests are short next to the other work of their target."""

import attrs

from pomelobank_core._rank_load import DECAY_TIME_MS, DecayingSum
from pomelobank_core._route_times import RouteTimes

# Longest time of a brief request, as a part of the slowest route's usual time.
# A request that overtakes others delays them by no more than this part.
BRIEF_PART = 1 / 3
# Part of the slots that brief requests may take before they are ranked like all
# others. Beyond it they would starve longer work of the same priority.
BRIEF_SHARE = 0.2


@attrs.define
class BriefWork:
    """Tells which requests may go before longer ones of their priority.

    Load pattern: work that calls other upstreams while it holds a slot, more
    of it than fits, at targets with few slots. Calls take tens of milliseconds
    and queue behind work of hundreds. Ranked by their objective they are late
    after one such wait, fall behind everything that is not, and are refused;
    each refusal wastes the slot time that the calling request has had.

    Attributes:
        service_times: Measured service times.
        recent_slot_time: Slot time that brief requests were given lately.
    """

    service_times: RouteTimes
    recent_slot_time: DecayingSum = attrs.field(factory=DecayingSum)

    def is_brief(self, route: str, slots: int, now_ms: float) -> bool:
        """Tells whether a request of a route is brief now.

        Args:
            route: The request's route.
            slots: Requests that the target runs at once.
            now_ms: Current time.
        """
        if not self.service_times.by_route:
            return False
        longest_ms = BRIEF_PART * self.service_times.max_expected_ms(now_ms)
        # A route that was never measured is taken for brief. Planned with a
        # default time it could be refused each time, and stay unmeasured.
        measured = route in self.service_times.by_route
        if (
            measured
            and self.service_times.expected_ms(route, now_ms) > longest_ms
        ):
            return False
        return (
            self.recent_slot_time.at(now_ms)
            <= BRIEF_SHARE * slots * DECAY_TIME_MS
        )

    def on_start(self, route: str, now_ms: float) -> None:
        """Takes the start of a brief request."""
        self.recent_slot_time.add(
            self.service_times.expected_ms(route, now_ms), now_ms
        )
