"""Decides which requests a node still accepts before its shutdown."""

import math

import attrs

from pomelobank_core._stop_schedule import StopSchedule

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
        applies_from_ms: Time from which requests are rejected.
        last_start_ms: Time after which no request is sent to a target.
    """

    shutdown_at_ms: float | None = None
    applies_from_ms: float = -math.inf
    last_start_ms: float = math.inf

    def apply_schedule(self, schedule: StopSchedule) -> None:
        """Sets the times of the node's stop."""
        self.shutdown_at_ms = schedule.requests_end_ms
        self.applies_from_ms = schedule.routing_stops_ms
        self.last_start_ms = schedule.last_start_ms

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
        if now_ms < self.applies_from_ms:
            return True
        return now_ms + remaining_ms <= self.latest_deadline_ms

    @property
    def latest_deadline_ms(self) -> float:
        """Latest deadline of a request that ends before the shutdown."""
        if self.shutdown_at_ms is None:
            return math.inf
        return self.shutdown_at_ms - SHUTDOWN_MARGIN_MS
