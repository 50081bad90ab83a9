"""Averages of measured times that follow a change within a few samples."""

import attrs

# A tenth of each new sample: about ten samples decide the average, so that one
# odd request does not, and a target that turns slow shows within one second at
# ten requests a second.
SAMPLE_WEIGHT = 0.1
# Routes of one target; a target serves one upstream and few routes. The bound
# only keeps a mistake in the configuration from filling the memory.
MAX_ROUTES = 256


@attrs.define
class MovingAverage:
    """An exponentially weighted moving average.

    Attributes:
        value: The average, in the unit of the samples; None before the first.
        weight: Share of a new sample.

    >>> average = MovingAverage(weight=0.5)
    >>> average.add(10.0)
    >>> average.add(20.0)
    >>> average.value
    15.0
    """

    value: float | None = None
    weight: float = SAMPLE_WEIGHT

    def add(self, sample: float) -> None:
        """Takes a sample."""
        if self.value is None:
            self.value = sample
            return
        self.value += self.weight * (sample - self.value)


@attrs.define
class ServiceTimes:
    """How long work takes at one target, by class and by route.

    Long and short work share a target. The class tells how fast its slots
    turn over; the route tells how long this very request is likely to take.

    Attributes:
        by_class: Averages by traffic class, in ms.
        by_route: Averages by route, in ms.
    """

    by_class: dict[str, MovingAverage] = attrs.field(factory=dict)
    by_route: dict[str, MovingAverage] = attrs.field(factory=dict)

    def add(self, traffic_class: str, route: str, took_ms: float) -> None:
        """Takes the time of one request that ran to its end."""
        self.by_class.setdefault(traffic_class, MovingAverage()).add(took_ms)
        if route in self.by_route or len(self.by_route) < MAX_ROUTES:
            self.by_route.setdefault(route, MovingAverage()).add(took_ms)

    def of_class(self, traffic_class: str) -> float:
        """Returns a class's usual time in ms; 0 where none was measured."""
        return _value(self.by_class.get(traffic_class))

    def max_ms(self) -> float:
        """Returns the slowest route's usual time in ms; 0 without routes."""
        return max(map(_value, self.by_route.values()), default=0.0)

    def of_route(self, route: str) -> float:
        """Returns a route's usual time in ms; 0 where none was measured."""
        return _value(self.by_route.get(route))


@attrs.define
class BaselineAverage:
    """Average over the past, to compare a recent time with.

    Attributes:
        weight: Least share of a new sample.
        samples: Samples so far.
        value: The average.
    """

    weight: float
    samples: int = 0
    value: float = 0.0

    def ratio(self, sample: float) -> float:
        """Takes a sample; returns it in relation to the average before it."""
        before = self.value
        self.samples += 1
        share = max(1 / self.samples, self.weight)
        self.value += share * (sample - self.value)
        return sample / before if before else 1.0


def _value(average: MovingAverage | None) -> float:
    if average is None or average.value is None:
        return 0.0
    return average.value
