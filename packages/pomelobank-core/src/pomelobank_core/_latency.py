"""Moving averages of measured times."""

import attrs

# Weight of a new sample in an average, which then covers about ten samples. One
# exceptional request does not change the average much, and at ten requests a
# second the average shows within one second that a target has become slow.
SAMPLE_WEIGHT = 0.1
# Maximum number of routes that are measured at one target. A target serves one
# upstream with few routes; the bound keeps a mistake in the configuration from
# filling the memory.
MAX_ROUTES = 256


@attrs.define
class MovingAverage:
    """An exponentially weighted moving average.

    Attributes:
        value: The average, in the unit of the samples; None before the first.
        weight: Weight of a new sample.

    >>> average = MovingAverage(weight=0.5)
    >>> average.add(10.0)
    >>> average.add(20.0)
    >>> average.value
    15.0
    """

    value: float | None = None
    weight: float = SAMPLE_WEIGHT

    def add(self, sample: float) -> None:
        """Adds a sample to the average."""
        if self.value is None:
            self.value = sample
            return
        self.value += self.weight * (sample - self.value)


@attrs.define
class ServiceTimes:
    """Service times at one target, by class and by route.

    Long and short work share a target. A class's average shows how fast its
    slots become free; a route's average is the expected time of one request.

    Attributes:
        by_class: Averages by traffic class, in ms.
        by_route: Averages by route, in ms.
    """

    by_class: dict[str, MovingAverage] = attrs.field(factory=dict)
    by_route: dict[str, MovingAverage] = attrs.field(factory=dict)

    def add(self, traffic_class: str, route: str, took_ms: float) -> None:
        """Adds the service time of a request that ran to its end."""
        self.by_class.setdefault(traffic_class, MovingAverage()).add(took_ms)
        if route in self.by_route or len(self.by_route) < MAX_ROUTES:
            self.by_route.setdefault(route, MovingAverage()).add(took_ms)

    def of_class(self, traffic_class: str) -> float:
        """Returns a class's average time in ms; 0 without measurements."""
        return _value_or_zero(self.by_class.get(traffic_class))

    def max_ms(self) -> float:
        """Returns the slowest route's average time in ms; 0 without routes."""
        return max(map(_value_or_zero, self.by_route.values()), default=0.0)

    def of_route(self, route: str) -> float:
        """Returns a route's average time in ms; 0 without measurements."""
        return _value_or_zero(self.by_route.get(route))


@attrs.define
class BaselineAverage:
    """Long-term average with which a recent time is compared.

    Attributes:
        weight: Minimum weight of a new sample. The first samples get more, so
            that the value is their plain mean.
        samples: Number of samples so far.
        value: The average.
    """

    weight: float
    samples: int = 0
    value: float = 0.0

    def ratio(self, sample: float) -> float:
        """Adds a sample; returns its ratio to the average before it."""
        before = self.value
        self.samples += 1
        sample_weight = max(1 / self.samples, self.weight)
        self.value += sample_weight * (sample - self.value)
        return sample / before if before else 1.0


def _value_or_zero(average: MovingAverage | None) -> float:
    if average is None or average.value is None:
        return 0.0
    return average.value
