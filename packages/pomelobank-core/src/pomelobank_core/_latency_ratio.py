"""Latency ratio: response time divided by the latency objective."""

import attrs

from pomelobank_core._route_times import RouteTimes

# Weight of a new sample in the moving average. Response times of one route vary
# by two thirds of their mean; their average varies by a fifth, and a target
# that becomes slow is recognised within five responses.
SAMPLE_WEIGHT = 0.2
# Age at which a measured ratio is ignored. A queue of requests that take half a
# second each is empty by then, so that the target should get requests again.
SAMPLE_MAX_AGE_MS = 5000.0
# Ratio assumed for a target without measurements: latency objectives of the
# users' routes are three times the expected response time.
DEFAULT_LATENCY_RATIO = 1 / 3


@attrs.define
class LatencyRatio:
    """Moving average of response times divided by their latency objectives.

    One target responds to look-ups, reports and calls of other services. A
    plain average of their response times depends more on the mix of requests
    than on the target. Ratios to the objectives can be compared and averaged.

    Attributes:
        value: The average; 1 means that a response took its whole objective.
        at_ms: Time of the last sample; None before the first.
    """

    value: float = DEFAULT_LATENCY_RATIO
    at_ms: float | None = None

    def add(self, sample: float, now_ms: float) -> None:
        """Adds a sample to the average."""
        if self.at_ms is None:
            self.value = sample
        self.value += SAMPLE_WEIGHT * (sample - self.value)
        self.at_ms = now_ms

    def at(
        self, now_ms: float, default: float = DEFAULT_LATENCY_RATIO
    ) -> float:
        """Returns the ratio, which approaches another estimate with its age.

        Without the ageing, a target that was slow once would get no requests,
        so that no new sample would be measured and the target would never get
        requests again.

        >>> LatencyRatio(value=1.0, at_ms=0).at(2500, default=0.5)
        0.75

        Args:
            now_ms: Current time.
            default: Estimate used when the last sample is too old.
        """
        if self.at_ms is None:
            return default
        weight = max(0.0, 1 - (now_ms - self.at_ms) / SAMPLE_MAX_AGE_MS)
        return default + weight * (self.value - default)


@attrs.define
class Objectives:
    """Computes latency ratios, also for routes without an objective.

    Attributes:
        response_times: Expected response times of routes without an objective,
            by data centre.
    """

    response_times: dict[str, RouteTimes] = attrs.field(factory=dict)

    def latency_ratio(
        self,
        route: str,
        aim_ms: float,
        data_centre: str,
        took_ms: float,
        now_ms: float,
    ) -> float:
        """Returns the response time divided by the route's objective.

        Args:
            route: The request's route.
            aim_ms: The route's latency objective; 0 without one.
            data_centre: Data centre of the target that responded.
            took_ms: The response time.
            now_ms: Current time.
        """
        if aim_ms:
            return took_ms / aim_ms
        self.response_times.setdefault(data_centre, RouteTimes()).add(
            route, took_ms, now_ms
        )
        # The reference is the fastest data centre. Compared with its own
        # average, a slow data centre would have the same ratio as any other.
        fastest_ms = min(
            times.expected_ms(route, now_ms)
            for times in self.response_times.values()
            if route in times.by_route
        )
        return DEFAULT_LATENCY_RATIO * took_ms / max(1.0, fastest_ms)
