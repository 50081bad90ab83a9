"""Decides which requests a node still accepts before its shutdown."""

import attrs

# Lower bound of the retry delay sent with a draining rejection.
MIN_DRAINING_RETRY_AFTER_MS = 200
# Time reserved before the shutdown for the network round trip and for closing
# the connections.
SHUTDOWN_MARGIN_MS = 200


@attrs.define
class ShutdownAdmission:
    """Keeps a stopping node from accepting requests that would be cut off.

    Some callers keep sending requests until the node's process ends. A request
    that is cut off when the platform kills the process may have run, and its
    caller sees a connection that closes without a response. A rejected request
    has not run, and its caller can use another node at once. The node accepts a
    request only if the request's deadline is before the shutdown, because only
    the deadline bounds the request's duration: the target may become slow while
    the request runs.

    Attributes:
        shutdown_at_ms: Time of the shutdown; None while the node is not
            stopping.
    """

    shutdown_at_ms: float | None = None

    def retry_after_ms(self, now_ms: float) -> int:
        """Returns the delay after which a rejected caller should retry.

        The node would reject an earlier retry too, until it has ended.

        >>> ShutdownAdmission(shutdown_at_ms=5000).retry_after_ms(now_ms=4500)
        500

        Args:
            now_ms: The current time.
        """
        shutdown_at_ms = self.shutdown_at_ms or now_ms
        return max(MIN_DRAINING_RETRY_AFTER_MS, int(shutdown_at_ms - now_ms))

    def accepts(self, remaining_ms: float, now_ms: float) -> bool:
        """Tells whether a request ends before the shutdown in any case.

        >>> ShutdownAdmission(shutdown_at_ms=5000).accepts(1000, now_ms=4500)
        False

        Args:
            remaining_ms: Time to the request's deadline.
            now_ms: The current time.
        """
        if self.shutdown_at_ms is None:
            return True
        return now_ms + remaining_ms + SHUTDOWN_MARGIN_MS <= self.shutdown_at_ms
