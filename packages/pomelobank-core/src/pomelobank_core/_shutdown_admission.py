"""Decides which requests a node still takes shortly before it ends."""

import attrs

# Lower bound of the retry delay sent with a draining refusal.
MIN_DRAINING_RETRY_AFTER_MS = 200
# For the way there and back, and for the end of the connections.
SAFE_MS = 200


@attrs.define
class ShutdownAdmission:
    """Keeps a stopping node from taking what it could not finish.

    Some callers are sent to a node until its last moment. A request that is
    cut off when the platform kills the process may have run, and its caller
    sees a connection that ends without an answer; one that is refused has not
    run and can go elsewhere at once. Only its deadline bounds the time that a
    request takes: the target may turn slow while it works on it.

    Attributes:
        shutdown_at_ms: When the node ends; None while it is not stopping.
    """

    shutdown_at_ms: float | None = None

    def retry_after_ms(self, now_ms: float) -> int:
        """Returns the delay after which a refused caller should retry.

        A retry that reaches the node before it ends would be refused again.

        >>> ShutdownAdmission(shutdown_at_ms=5000).retry_after_ms(now_ms=4500)
        500

        Args:
            now_ms: The current time.
        """
        ends_at_ms = self.shutdown_at_ms or now_ms
        return max(MIN_DRAINING_RETRY_AFTER_MS, int(ends_at_ms - now_ms))

    def accepts(self, remaining_ms: float, now_ms: float) -> bool:
        """Tells whether a request ends in time, however long it takes.

        >>> ShutdownAdmission(shutdown_at_ms=5000).accepts(1000, now_ms=4500)
        False

        Args:
            remaining_ms: Time until it is answered in any case.
            now_ms: The time.
        """
        if self.shutdown_at_ms is None:
            return True
        return now_ms + remaining_ms + SAFE_MS <= self.shutdown_at_ms
