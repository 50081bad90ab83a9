"""How fast answers come, next to the time in which they are of full use."""

import attrs

from pomelobank_core._route_times import RouteTimes

# Share of a new sample. Times of one route vary by two thirds of their mean;
# averaged like this they vary by a fifth, and a target that turns slow shows
# within five answers.
SAMPLE_WEIGHT = 0.2
# Age at which a measured pace says nothing any more. A queue of work that takes
# half a second is gone by then, and the target is worth another try.
KNOWN_MS = 5000.0
# Pace of a target about which nothing is known: aims of the users' routes are
# three times the usual time.
DEFAULT_LATENCY_RATIO = 1 / 3


@attrs.define
class LatencyRatio:
    """Recent time to an answer as a part of its objective.

    One target answers look-ups, reports and calls of other services. A plain
    average of their times says more about their mixture than about the target;
    as parts of their objectives they can be compared and averaged.

    Attributes:
        value: The average; 1 is an answer at its objective.
        at_ms: When it was measured last; None before the first.
    """

    value: float = DEFAULT_LATENCY_RATIO
    at_ms: float | None = None

    def add(self, sample: float, now_ms: float) -> None:
        """Takes a sample."""
        if self.at_ms is None:
            self.value = sample
        self.value += SAMPLE_WEIGHT * (sample - self.value)
        self.at_ms = now_ms

    def at(
        self, now_ms: float, otherwise: float = DEFAULT_LATENCY_RATIO
    ) -> float:
        """Returns the pace; the older it is, the nearer to another estimate.

        Without that, a target once found slow would get nothing, so nothing
        would be measured, and it would stay out for good.

        >>> LatencyRatio(value=1.0, at_ms=0).at(2500, otherwise=0.5)
        0.75

        Args:
            now_ms: Current time.
            otherwise: What holds where nothing was measured lately.
        """
        if self.at_ms is None:
            return otherwise
        part = max(0.0, 1 - (now_ms - self.at_ms) / KNOWN_MS)
        return otherwise + part * (self.value - otherwise)


@attrs.define
class Objectives:
    """Knows the time in which a route's answer is of full use.

    Attributes:
        response_times: Usual times of routes that name no objective, by data
            centre.
    """

    response_times: dict[str, RouteTimes] = attrs.field(factory=dict)

    def latency_ratio(
        self,
        route: str,
        aim_ms: float,
        centre: str,
        took_ms: float,
        now_ms: float,
    ) -> float:
        """Returns the part of its objective that an answer took.

        Args:
            route: The request's route.
            aim_ms: The route's objective; 0 without one.
            centre: The data centre that the answer came from.
            took_ms: Time to the answer.
            now_ms: Current time.
        """
        if aim_ms:
            return took_ms / aim_ms
        self.response_times.setdefault(centre, RouteTimes()).add(
            route, took_ms, now_ms
        )
        # Where it is fastest: next to its own average, a slow data centre
        # would look like any other.
        fastest_ms = min(
            work.expected_ms(route, now_ms)
            for work in self.response_times.values()
            if route in work.by_route
        )
        return DEFAULT_LATENCY_RATIO * took_ms / max(1.0, fastest_ms)
