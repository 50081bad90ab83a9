"""Groups the parallel calls of one running request."""

import attrs

from pomelobank_core._latency import MAX_ROUTES

# Maximum time between the arrivals of two parallel calls of one request. A
# target sends them without a pause; at ten calls a second of one node, another
# request's call arrives within this time in 1 of 50 cases.
_MAX_ARRIVAL_GAP_MS = 2.0
# Maximum difference of the deadlines of two parallel calls, which both end with
# their parent. Each of the two is rounded to ms.
_MAX_DEADLINE_GAP_MS = 2.0


@attrs.define(eq=False)
class CallGroup:
    """Parallel calls that probably belong to one request.

    Attributes:
        arrived_ms: Arrival of the first call.
        deadline_ms: Deadline of the first call.
        size: Number of calls.
        rejected: Calls whose last attempt was rejected.
        lost: Whether a call has failed, so that the parent fails as well.
    """

    arrived_ms: float
    deadline_ms: float
    size: int = 0
    rejected: int = 0
    lost: bool = False

    @property
    def has_siblings(self) -> bool:
        """Whether the group has more than one call."""
        return self.size > 1


@attrs.define
class SiblingCalls:
    """Finds the parallel calls of one request by their arrival.

    If one call fails, its parent fails and the other calls are useless. A retry
    of a call therefore helps only if no other call of the group has failed, and
    one retry helps most if no other call needs one as well.

    Attributes:
        latest: Latest group of each route.
    """

    latest: dict[str, CallGroup] = attrs.field(factory=dict)

    def join(self, route: str, deadline_ms: float, now_ms: float) -> CallGroup:
        """Adds a call to its group.

        Args:
            route: The call's route.
            deadline_ms: The call's deadline.
            now_ms: Current time.
        """
        group = self.latest.get(route)
        if (
            group is None
            or now_ms - group.arrived_ms > _MAX_ARRIVAL_GAP_MS
            or abs(deadline_ms - group.deadline_ms) > _MAX_DEADLINE_GAP_MS
        ):
            group = CallGroup(now_ms, deadline_ms)
            if route in self.latest or len(self.latest) < MAX_ROUTES:
                self.latest[route] = group
        group.size += 1
        return group
