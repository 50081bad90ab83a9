"""Decides which requests a node still takes shortly before it ends."""

import attrs

from pomelobank_core._latency import MAX_ROUTES, MovingAverage

# A request in a hundred takes several times its route's usual time.
SAFE_TIMES = 4
# For the way there and back, and for the end of the connections.
SAFE_MS = 200


@attrs.define
class LastRequests:
    """Keeps a stopping node from taking what it could not finish.

    Some callers are sent to a node until its last moment. A request that is
    cut off when the platform kills the process may have run, and its caller
    sees a connection that ends without an answer; one that is refused has not
    run and can go elsewhere at once.

    Attributes:
        ends_at_ms: When the node ends; None while it is not stopping.
        usual_ms: Usual time to an answer, by route.
    """

    ends_at_ms: float | None = None
    usual_ms: dict[str, MovingAverage] = attrs.field(factory=dict)

    def learn(self, route: str, took_ms: float) -> None:
        """Takes the time that an answer took."""
        if route in self.usual_ms or len(self.usual_ms) < MAX_ROUTES:
            self.usual_ms.setdefault(route, MovingAverage()).add(took_ms)

    def takes(self, route: str, now_ms: float) -> bool:
        """Tells whether a request of a route will most likely end in time."""
        if self.ends_at_ms is None:
            return True
        usual = self.usual_ms.get(route)
        if usual is None or usual.value is None:
            return False
        needed_ms = SAFE_TIMES * usual.value + SAFE_MS
        return now_ms + needed_ms < self.ends_at_ms
