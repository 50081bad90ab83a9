"""Decides which requests a node still takes shortly before it ends."""

import attrs

# For the way there and back, and for the end of the connections.
SAFE_MS = 200


@attrs.define
class LastRequests:
    """Keeps a stopping node from taking what it could not finish.

    Some callers are sent to a node until its last moment. A request that is
    cut off when the platform kills the process may have run, and its caller
    sees a connection that ends without an answer; one that is refused has not
    run and can go elsewhere at once. Only its deadline bounds the time that a
    request takes: the target may turn slow while it works on it.

    Attributes:
        ends_at_ms: When the node ends; None while it is not stopping.
    """

    ends_at_ms: float | None = None

    def takes(self, remaining_ms: float, now_ms: float) -> bool:
        """Tells whether a request ends in time, however long it takes.

        >>> LastRequests(ends_at_ms=5000).takes(1000, now_ms=4500)
        False

        Args:
            remaining_ms: Time until it is answered in any case.
            now_ms: The time.
        """
        if self.ends_at_ms is None:
            return True
        return now_ms + remaining_ms + SAFE_MS <= self.ends_at_ms
