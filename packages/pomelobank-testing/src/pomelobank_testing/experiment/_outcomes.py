"""Outcomes of callers' requests in one run, and the best possible outcome."""

import statistics

import attrs

from pomelobank_testing.experiment._patterns import Pattern, RouteLoad

# Requests that start within this time of the run's start or end are not
# counted: a service in operation has load before and after, which the start
# and the end of a run lack.
_UNMEASURED_MARGIN_S = 0.5
_MS_PER_S = 1000


@attrs.define
class RouteOutcome:
    """Outcomes of one route's requests.

    Attributes:
        requests: Callers' requests; all attempts of a caller count once.
        within_objective: Requests answered within the latency objective.
        past_objective: Requests answered after the latency objective.
        refused: Requests whose last attempt was refused without having run.
        failed: Requests that failed otherwise.
        refusal_times_ms: Time from sending to refusal of each attempt after
            which its caller tried again.
        arrivals: Attempts that reached a target, inner calls included.
    """

    requests: int = 0
    within_objective: int = 0
    past_objective: int = 0
    refused: int = 0
    failed: int = 0
    refusal_times_ms: list[float] = attrs.field(factory=list)
    arrivals: int = 0

    @property
    def refusal_time_p95_ms(self) -> float:
        """95th percentile of the refusal times, in ms."""
        if len(self.refusal_times_ms) < 2:
            return max(self.refusal_times_ms, default=0.0)
        return statistics.quantiles(self.refusal_times_ms, n=20)[-1]

    def refused_after(self, time_ms: float) -> int:
        """Returns how many refusals took longer than a time."""
        return sum(refusal_ms > time_ms for refusal_ms in self.refusal_times_ms)

    def value(self, route: RouteLoad) -> float:
        """Returns the total value of the responses."""
        return (
            self.within_objective * route.value
            + self.past_objective * route.late_value
        )


@attrs.define
class Outcomes:
    """Outcomes of all requests of one run.

    Attributes:
        pattern: The load pattern.
        by_route: Outcomes by route.
        arrival_times_s: When requests reached each target, by its node.
        values: Start, value earned and value requested of each request.
    """

    pattern: Pattern
    by_route: dict[str, RouteOutcome] = attrs.field(factory=dict)
    arrival_times_s: dict[str, list[float]] = attrs.field(factory=dict)
    values: list[tuple[float, float, float]] = attrs.field(factory=list)

    def for_route(self, route: str) -> RouteOutcome:
        """Returns the outcome of one route."""
        return self.by_route.setdefault(route, RouteOutcome())

    @property
    def value_ratio(self) -> float:
        """Value of the responses, as a fraction of the requests' value."""
        routes = [route for route in self.pattern.routes if route.per_s]
        earned_value = sum(
            self.for_route(item.name).value(item) for item in routes
        )
        requested_value = sum(
            self.for_route(item.name).requests * item.value for item in routes
        )
        return earned_value / requested_value if requested_value else 0.0

    def window_value_ratio(self, from_s: float, until_s: float) -> float:
        """Returns the value ratio of the requests that start in a window.

        Args:
            from_s: Start of the window, in seconds of the run.
            until_s: End of the window.
        """
        window = [item for item in self.values if from_s <= item[0] < until_s]
        requested_value = sum(item[2] for item in window)
        earned_value = sum(item[1] for item in window)
        return earned_value / requested_value if requested_value else 0.0

    def is_measured(self, at_s: float) -> bool:
        """Tells whether a request that started at a time is counted."""
        return (
            _UNMEASURED_MARGIN_S
            <= at_s
            <= self.pattern.duration_s - _UNMEASURED_MARGIN_S
        )


def max_value_ratio(pattern: Pattern, at_s: float) -> float:
    """Returns the upper bound of the value ratio from the targets' capacity.

    The bound assumes that slots go to the routes with the most value per slot
    time, that all responses are within their objective, and that no time is
    lost in queues or on the network. Calls to another upstream are assumed to
    start without a wait; while a call runs, its parent request holds a slot.

    Args:
        pattern: The load pattern.
        at_s: Time since the start of the run.
    """
    if pattern.power_loss is not None and pattern.power_loss.is_off(at_s):
        return 0.0
    rate_factor = pattern.rate_factor(at_s)
    capacity = {
        group.upstream: _effective_slots(pattern, group.upstream, at_s)
        for group in pattern.groups
    }
    loaded_routes = [route for route in pattern.routes if route.per_s]
    _subtract_inner_calls(pattern, loaded_routes, rate_factor, capacity)
    earned_value = 0.0
    for route in sorted(
        loaded_routes, key=lambda r: r.value / r.work_ms, reverse=True
    ):
        needed_slots = (
            route.per_s * rate_factor * slot_time_ms(pattern, route) / _MS_PER_S
        )
        served_ratio = min(
            1.0, max(0.0, capacity[route.upstream]) / needed_slots
        )
        capacity[route.upstream] -= served_ratio * needed_slots
        earned_value += served_ratio * route.per_s * rate_factor * route.value
    return earned_value / sum(
        route.per_s * rate_factor * route.value for route in loaded_routes
    )


def slot_time_ms(pattern: Pattern, route: RouteLoad) -> float:
    """Returns how long a request holds its slot, inner calls included."""
    work_ms = route.work_ms
    if route.calls is not None:
        called = pattern.route(route.calls.route)
        sequential_calls = 1 if route.calls.parallel else route.calls.count
        work_ms += route.calls.ratio * sequential_calls * called.work_ms
    return work_ms * pattern.long_requests.mean_factor


def _effective_slots(pattern: Pattern, upstream: str, at_s: float) -> float:
    group = next(item for item in pattern.groups if item.upstream == upstream)
    capacity = 0.0
    for number, work_factor in enumerate(group.work_factors):
        for fault in pattern.faults:
            is_affected = (
                fault.upstream == upstream and number < fault.target_count
            )
            if is_affected and fault.from_s <= at_s < fault.until_s:
                work_factor = (
                    work_factor * fault.work_factor
                    if not fault.removed
                    else 0.0
                )
        capacity += group.slots / work_factor if work_factor else 0.0
    if pattern.power_loss is not None:
        capacity /= pattern.power_loss.work_factor(at_s)
    if group.pauses is not None:
        pauses = group.pauses
        capacity *= 1 - pauses.ratio * (1 - 1 / pauses.work_factor)
    return capacity


def _subtract_inner_calls(
    pattern: Pattern,
    loaded_routes: list[RouteLoad],
    rate_factor: float,
    capacity: dict[str, float],
) -> None:
    for route in loaded_routes:
        if route.calls is None:
            continue
        called = pattern.route(route.calls.route)
        per_s = (
            route.per_s * rate_factor * route.calls.ratio * route.calls.count
        )
        capacity[called.upstream] -= (
            per_s * slot_time_ms(pattern, called) / _MS_PER_S
        )
