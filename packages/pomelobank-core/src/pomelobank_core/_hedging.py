"""Decides when an unanswered request is sent to a second target as well."""

import attrs

from pomelobank_core._route_times import RouteTimes

# Times the usual time of its route that a request is waited for. At two and a
# half times, about one sound request in thirty is sent twice, and the second
# answer still comes within the aims of the users' routes, which are three times
# the usual time.
HEDGE_TIMES = 2.5
# For the way there and back, so that very short work is not sent twice for a
# packet that was repeated.
HEDGE_MS = 20.0


@attrs.define
class Hedging:
    """Knows how long answers take, and when one is overdue.

    Made for a target that has turned slow, for an answer that was lost on its
    way and for a peer that went silent without a sign. The request would wait
    for its deadline; its caller notices by an answer that never comes although
    other targets stand idle. Only work that may run twice is sent again, only
    to a target with room, and only within the budget of retries.

    Attributes:
        response_times: Time to an answer, by route.
    """

    response_times: RouteTimes = attrs.field(factory=RouteTimes)

    def add_response_time(
        self, route: str, took_ms: float, now_ms: float
    ) -> None:
        """Takes the time that an answer took."""
        self.response_times.add(route, took_ms, now_ms)

    def delay_ms(
        self, route: str, left_ms: float, now_ms: float
    ) -> float | None:
        """Returns how long to wait before a request is sent again.

        Args:
            route: The request's route.
            left_ms: Time to its deadline.
            now_ms: Current time.

        Returns:
            The time; None where a second answer would come too late.
        """
        if route not in self.response_times.by_route:
            return None
        usual_ms = self.response_times.expected_ms(route, now_ms)
        after_ms = HEDGE_TIMES * usual_ms + HEDGE_MS
        return after_ms if after_ms + usual_ms < left_ms else None
