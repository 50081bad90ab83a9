"""Recent service times of each route at one target."""

import attrs

from pomelobank_core._latency import MAX_ROUTES

# Expected time of a route without measurements.
DEFAULT_EXPECTED_MS = 100.0
# Weight of a new sample in the average.
SAMPLE_WEIGHT = 0.1
# Weight of a sample of less than half the expected time. The average of a
# target that recovers from a stall must fall within a few responses.
RECOVERY_SAMPLE_WEIGHT = 0.4
# Number of samples, the default time included, from which a sample has its
# usual weight. Until then the value is the plain mean of the samples so far:
# after a restart a target is measured within a few responses instead of within
# dozens, while its callers return all at once.
PLAIN_MEAN_SAMPLES = 10
# Maximum value of a sample, as a multiple of the expected time. One request in
# a hundred takes that long, and a pause of the machine takes even longer; a
# single such sample must not raise the average further.
MAX_SAMPLE_RATIO = 4.0
# Age after which an average without new samples decays, and half-life of the
# decay. A route with one request a second normally has a new sample by then.
HALF_LIFE_MS = 1000.0


@attrs.define
class RouteTime:
    """Moving average of one route's time.

    Attributes:
        value_ms: Average at the last sample.
        at_ms: Time of the last sample.
        samples: Number of samples, the default time included, counted up to
            `PLAIN_MEAN_SAMPLES`.
    """

    value_ms: float
    at_ms: float
    samples: int = PLAIN_MEAN_SAMPLES

    def at(self, now_ms: float) -> float:
        """Returns the average, decayed by the time without samples, in ms."""
        age_ms = now_ms - self.at_ms
        if age_ms <= HALF_LIFE_MS:
            return self.value_ms
        decayed = float(self.value_ms * 0.5 ** (age_ms / HALF_LIFE_MS))
        return max(decayed, min(DEFAULT_EXPECTED_MS, self.value_ms))

    def add(self, sample_ms: float, now_ms: float) -> None:
        """Adds a sample to the average."""
        average_ms = self.at(now_ms)
        sample_ms = min(sample_ms, MAX_SAMPLE_RATIO * average_ms)
        recovered = sample_ms < average_ms / 2
        weight = RECOVERY_SAMPLE_WEIGHT if recovered else SAMPLE_WEIGHT
        if self.samples < PLAIN_MEAN_SAMPLES:
            self.samples += 1
            weight = max(weight, 1 / self.samples)
        self.value_ms = average_ms + weight * (sample_ms - average_ms)
        self.at_ms = now_ms


@attrs.define
class RouteTimes:
    """Recent times of the routes of one target, to plan admission with.

    Handles a target that stalls for a moment. A plain average would remain high
    for hundreds of responses after the stall. Meanwhile every request of the
    route would be rejected because its expected end is past its deadline, and
    without requests there would be no new measurements: the target would reject
    the route permanently. Long samples are therefore capped, much shorter
    samples get a higher weight, and an average without new samples decays.

    Attributes:
        by_route: Average times by route.
        first_samples: Samples that the default time of a new route counts as.
    """

    by_route: dict[str, RouteTime] = attrs.field(factory=dict)
    first_samples: int = 1

    def expected_ms(self, route: str, now_ms: float) -> float:
        """Returns the expected time of a route in ms."""
        route_time = self.by_route.get(route)
        return (
            DEFAULT_EXPECTED_MS if route_time is None else route_time.at(now_ms)
        )

    def max_expected_ms(self, now_ms: float) -> float:
        """Returns the slowest route's expected time in ms; 0 without routes."""
        expected_times = (
            route_time.at(now_ms) for route_time in self.by_route.values()
        )
        return max(expected_times, default=0.0)

    def add(self, route: str, took_ms: float, now_ms: float) -> None:
        """Adds the time of a request that ran to its end."""
        route_time = self.by_route.get(route)
        if route_time is None:
            if len(self.by_route) >= MAX_ROUTES:
                return
            route_time = self.by_route[route] = RouteTime(
                DEFAULT_EXPECTED_MS, now_ms, self.first_samples
            )
        route_time.add(took_ms, now_ms)
