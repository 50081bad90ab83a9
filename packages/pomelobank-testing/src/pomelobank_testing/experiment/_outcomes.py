"""What became of callers' requests in one run."""

import statistics

import attrs

from pomelobank_testing.experiment._patterns import Pattern, RouteLoad

# Callers of a running service come before and after; the run's own first and
# last moments would show neither.
_MARGIN_S = 0.5
_MS_PER_S = 1000


@attrs.define
class RouteOutcome:
    """What became of one route's requests.

    Attributes:
        requests: Callers.
        within_objective: Answered in time.
        past_objective: Answered later.
        refused: Refused to the end.
        failed: Failed.
        refusal_times_ms: How long each attempt that was refused had been held.
        arrivals: Requests that reached a target.
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
        """Time after which nearly all refusals were told."""
        if len(self.refusal_times_ms) < 2:
            return max(self.refusal_times_ms, default=0.0)
        return statistics.quantiles(self.refusal_times_ms, n=20)[-1]

    def refused_after(self, time_ms: float) -> int:
        """Returns how many refusals came later than a time."""
        return sum(held_ms > time_ms for held_ms in self.refusal_times_ms)

    def value(self, route: RouteLoad) -> float:
        """Returns the worth of the answers."""
        return (
            self.within_objective * route.value
            + self.past_objective * route.late_value
        )


@attrs.define
class Outcomes:
    """What became of all requests of one run.

    Attributes:
        pattern: The load.
        by_route: Outcomes by route.
    """

    pattern: Pattern
    by_route: dict[str, RouteOutcome] = attrs.field(factory=dict)

    def for_route(self, route: str) -> RouteOutcome:
        """Returns the outcome of one route."""
        return self.by_route.setdefault(route, RouteOutcome())

    @property
    def value_ratio(self) -> float:
        """Part of the worth that callers asked for and got."""
        routes = [route for route in self.pattern.routes if route.per_s]
        earned = sum(self.for_route(item.name).value(item) for item in routes)
        owed = sum(
            self.for_route(item.name).requests * item.value for item in routes
        )
        return earned / owed if owed else 0.0

    def is_measured(self, at_s: float) -> bool:
        """Tells whether a caller that came then is counted."""
        return _MARGIN_S <= at_s <= self.pattern.duration_s - _MARGIN_S


def max_value_ratio(pattern: Pattern, at_s: float) -> float:
    """Returns the part of the worth that the targets' room allows at most.

    Slots go to the routes with the most worth for their time, all answers in
    time, no queue and no loss on the way. Calls to another upstream are taken
    to wait for nothing; while they run, they hold their parent's slot.

    Args:
        pattern: The load.
        at_s: Moment of the run.
    """
    times = 1.0
    for burst in pattern.bursts:
        if burst.from_s <= at_s < burst.until_s:
            times = burst.rate_factor
    room = {
        group.upstream: _slots(pattern, group.upstream, at_s)
        for group in pattern.groups
    }
    asked = [route for route in pattern.routes if route.per_s]
    _take_calls(pattern, asked, times, room)
    earned = 0.0
    for route in sorted(asked, key=lambda r: r.value / r.work_ms, reverse=True):
        needed = route.per_s * times * held_ms(pattern, route) / _MS_PER_S
        served = min(1.0, max(0.0, room[route.upstream]) / needed)
        room[route.upstream] -= served * needed
        earned += served * route.per_s * times * route.value
    return earned / sum(route.per_s * times * route.value for route in asked)


def held_ms(pattern: Pattern, route: RouteLoad) -> float:
    """Returns how long a request holds its slot, its calls included."""
    if route.calls is None:
        return route.work_ms
    called = pattern.route(route.calls.route)
    in_turn = 1 if route.calls.parallel else route.calls.count
    return route.work_ms + route.calls.ratio * in_turn * called.work_ms


def _slots(pattern: Pattern, upstream: str, at_s: float) -> float:
    group = next(item for item in pattern.groups if item.upstream == upstream)
    room = 0.0
    for number, times in enumerate(group.work_factors):
        for trouble in pattern.faults:
            hit = trouble.upstream == upstream and number < trouble.target_count
            if hit and trouble.from_s <= at_s < trouble.until_s:
                times = (
                    times * trouble.work_factor if not trouble.removed else 0.0
                )
        room += group.slots / times if times else 0.0
    return room


def _take_calls(
    pattern: Pattern,
    asked: list[RouteLoad],
    times: float,
    room: dict[str, float],
) -> None:
    for route in asked:
        if route.calls is None:
            continue
        called = pattern.route(route.calls.route)
        per_s = route.per_s * times * route.calls.ratio * route.calls.count
        room[called.upstream] -= per_s * called.work_ms / _MS_PER_S
