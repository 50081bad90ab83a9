"""How long work of each route takes at one target, lately."""

import attrs

from pomelobank_core._latency import MAX_ROUTES

# Taken for a route's time before the first was measured.
UNMEASURED_MS = 100.0
# Share of a new sample.
WEIGHT = 0.1
# Share of one that took less than half the usual time: a target that works
# again after it stood still has to show within a few answers.
RECOVERED_WEIGHT = 0.4
# A sample counts as so many times the usual time at most: one request in a
# hundred takes that long, and a pause of the machine longer still.
MOST_TIMES = 4.0
# Age at which a measured time begins to count for less; it halves with each
# such time. A route of one request a second is measured well within it.
FORGET_MS = 1000.0


@attrs.define
class RouteTime:
    """Recent time of one route.

    Attributes:
        value_ms: The time.
        at_ms: When it was measured last.
    """

    value_ms: float
    at_ms: float

    def at(self, now_ms: float) -> float:
        """Returns the time, less of it the longer nothing was measured."""
        age_ms = now_ms - self.at_ms
        if age_ms <= FORGET_MS:
            return self.value_ms
        faded = float(self.value_ms * 0.5 ** (age_ms / FORGET_MS))
        return max(faded, min(UNMEASURED_MS, self.value_ms))

    def add(self, sample_ms: float, now_ms: float) -> None:
        """Takes a sample."""
        usual_ms = self.at(now_ms)
        sample_ms = min(sample_ms, MOST_TIMES * usual_ms)
        recovered = sample_ms < usual_ms / 2
        weight = RECOVERED_WEIGHT if recovered else WEIGHT
        self.value_ms = usual_ms + weight * (sample_ms - usual_ms)
        self.at_ms = now_ms


@attrs.define
class RouteTimes:
    """Recent times of the routes of one target.

    Made for planning what a target can still do in time. A plain average
    follows a moment in which the target stood still for hundreds of answers.
    Every request of the route is refused meanwhile as hopeless, and what never
    runs is never measured again; one notices by a route that one target
    refuses for good. So long samples are cut, much shorter ones count for
    more, and what was not measured for long fades.

    Attributes:
        by_route: Times by route.
    """

    by_route: dict[str, RouteTime] = attrs.field(factory=dict)

    def expected_ms(self, route: str, now_ms: float) -> float:
        """Returns the usual time of a route, in ms."""
        found = self.by_route.get(route)
        return UNMEASURED_MS if found is None else found.at(now_ms)

    def max_expected_ms(self, now_ms: float) -> float:
        """Returns the slowest route's usual time in ms; 0 without routes."""
        times = (found.at(now_ms) for found in self.by_route.values())
        return max(times, default=0.0)

    def add(self, route: str, took_ms: float, now_ms: float) -> None:
        """Takes the time of one request that ran to its end."""
        found = self.by_route.get(route)
        if found is None:
            if len(self.by_route) >= MAX_ROUTES:
                return
            found = self.by_route[route] = RouteTime(UNMEASURED_MS, now_ms)
        found.add(took_ms, now_ms)
