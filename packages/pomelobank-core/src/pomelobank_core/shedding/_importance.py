"""Importance of requests for the use of a scarce retry budget."""

import enum
from collections.abc import Iterable
from itertools import pairwise

import attrs

from pomelobank_core._latency import MAX_ROUTES

# Minimum ratio of a route's latency objective to that of the next shorter
# route, above which the shorter one is a call of running work. A request that
# waits for a call must give the call a small part of its own objective.
_MIN_OBJECTIVE_RATIO = 3.0


class Importance(enum.IntEnum):
    """Importance of a request; a lower value goes first.

    Attributes:
        CALL: A call of running work, whose failure loses that work.
        RUN_ONCE: A request that may run once only.
        OTHER: Any other request.
    """

    CALL = 0
    RUN_ONCE = 1
    OTHER = 2


@attrs.define
class RouteImportance:
    """Recognises calls of running work by their latency objectives.

    The headers of a call do not differ from those of a caller's request, and a
    call may come from the same address. Its objective, however, is far below
    the objectives of the other routes of its upstream. The expected service
    time, by which admission recognises brief requests, is known only at the
    targets.

    Attributes:
        objectives_ms: Latency objective of each route, by upstream.
    """

    objectives_ms: dict[str, dict[str, int]] = attrs.field(factory=dict)

    def on_request(self, upstream: str, route: str, objective_ms: int) -> None:
        """Records the latency objective of a request's route."""
        by_route = self.objectives_ms.setdefault(upstream, {})
        if objective_ms and (route in by_route or len(by_route) < MAX_ROUTES):
            by_route[route] = objective_ms

    def of(self, upstream: str, route: str, idempotent: bool) -> Importance:
        """Returns the importance of a request.

        Args:
            upstream: The request's upstream.
            route: The request's route.
            idempotent: Whether the request may run more than once.
        """
        by_route = self.objectives_ms.get(upstream, {})
        objective_ms = by_route.get(route)
        if objective_ms and objective_ms <= _max_call_objective_ms(
            by_route.values()
        ):
            return Importance.CALL
        return Importance.OTHER if idempotent else Importance.RUN_ONCE


def _max_call_objective_ms(objectives_ms: Iterable[int]) -> int:
    """Returns the objective below the first gap; 0 without any gap."""
    for shorter_ms, longer_ms in pairwise(sorted(objectives_ms)):
        if longer_ms >= _MIN_OBJECTIVE_RATIO * shorter_ms:
            return shorter_ms
    return 0
