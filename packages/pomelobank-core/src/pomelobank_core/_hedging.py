"""Decides when a request without a response is sent to a second target."""

import attrs

from pomelobank_core._route_times import RouteTimes

# Hedging delay as a multiple of the route's expected response time. At two and
# a half times, about one request in thirty is hedged although its target is
# healthy, and the second response still comes within the objectives of the
# users' routes, which are three times the expected time.
HEDGE_DELAY_FACTOR = 2.5
# Added to the hedging delay for the network round trip, so that a retransmitted
# packet does not cause a hedged request of very short work.
HEDGE_MARGIN_MS = 20.0


@attrs.define
class Hedging:
    """Measures response times and returns the delay of hedged requests.

    Handles a target that became slow, a response lost in the network, and a
    peer that stopped responding without closing its connections. Without a
    hedged request the request would wait until its deadline, and its caller
    would get no response although other targets are idle. Only idempotent
    requests are hedged, only at a target with capacity, and only within the
    retry budget.

    Attributes:
        response_times: Response times by route.
    """

    response_times: RouteTimes = attrs.field(factory=RouteTimes)

    def add_response_time(
        self, route: str, took_ms: float, now_ms: float
    ) -> None:
        """Adds the response time of a request."""
        self.response_times.add(route, took_ms, now_ms)

    def delay_ms(
        self, route: str, remaining_ms: float, now_ms: float
    ) -> float | None:
        """Returns the delay before a request is sent to a second target.

        Args:
            route: The request's route.
            remaining_ms: Time to the request's deadline.
            now_ms: Current time.

        Returns:
            The delay; None if the second response would come too late or the
            route has no measurements.
        """
        if route not in self.response_times.by_route:
            return None
        expected_ms = self.response_times.expected_ms(route, now_ms)
        delay_ms = HEDGE_DELAY_FACTOR * expected_ms + HEDGE_MARGIN_MS
        return delay_ms if delay_ms + expected_ms < remaining_ms else None
