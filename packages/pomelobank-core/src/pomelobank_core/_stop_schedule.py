"""Times at which the phases of a node's stop end."""

import attrs

# Time from the start of a stop until the platform no longer routes callers to
# the node. The platform polls readiness once per second and stops routing after
# two negative responses; the remaining 600 ms are for calls in transit.
ROUTING_STOP_MS = 2600
# Time for the update that a stopping node's target takes no more work to reach
# all peers. The node sends this update only this long before the platform's
# routing has stopped. The process has to run until then anyway, and a target
# that is closed earlier is idle meanwhile: in a rolling restart, a third of all
# targets would be idle.
TARGET_CLOSE_UPDATE_MS = 600
# Fraction of the grace period between the last start of a request at a target
# and the end of the requests.
LAST_START_FRACTION = 1 / 12
# Part of the grace period that is left when unfinished requests get an error.
# The part is at most half of the period.
REQUESTS_END_RESERVE_MS = 500
# Part of the grace period that is left when the connections of callers and the
# streams of peers are aborted.
SERVERS_END_RESERVE_MS = 200
# Part of the grace period that is left when the last component has to stop. If
# the platform kills the process before it ends by itself, the end is not logged
# and responses being written are truncated.
PROCESS_EXIT_RESERVE_MS = 150


@attrs.frozen
class StopSchedule:
    """Times of a stop, all derived from its start and the grace period.

    A phase ends at its time even if a peer, a target or the log does not
    respond, so that a slow phase cannot use up the time of the phases after it.

    Attributes:
        started_ms: Time at which the stop began.
        routing_stops_ms: Time at which the platform has stopped routing callers
            to the node. From then on, the node accepts only requests whose
            deadline is before `requests_end_ms`.
        close_update_ms: Time that the update about the closed target takes to
            reach all peers.
        last_start_ms: Time at which a request that does not run at a target yet
            is rejected, so that its caller can still use another node.
        requests_end_ms: Time at which unfinished requests get an error.
        servers_end_ms: Time at which connections and streams are aborted.
        components_end_ms: Time at which the last component has to stop.
    """

    started_ms: int
    routing_stops_ms: int
    close_update_ms: int
    last_start_ms: int
    requests_end_ms: int
    servers_end_ms: int
    components_end_ms: int

    @classmethod
    def of(cls, started_ms: int, grace_ms: int) -> "StopSchedule":
        """Returns the schedule of a stop.

        >>> schedule = StopSchedule.of(started_ms=0, grace_ms=6000)
        >>> schedule.routing_stops_ms, schedule.last_start_ms
        (2600, 5000)

        Args:
            started_ms: Time at which the stop began.
            grace_ms: Time after which the platform kills the process.
        """
        kill_ms = started_ms + grace_ms
        requests_ms = grace_ms - min(REQUESTS_END_RESERVE_MS, grace_ms // 2)
        last_start_ms = requests_ms - int(grace_ms * LAST_START_FRACTION)
        # A short grace period must also leave time for the requests under way.
        routing_stop_ms = min(ROUTING_STOP_MS, grace_ms // 2, last_start_ms)
        return cls(
            started_ms=started_ms,
            routing_stops_ms=started_ms + routing_stop_ms,
            close_update_ms=min(TARGET_CLOSE_UPDATE_MS, routing_stop_ms // 4),
            last_start_ms=started_ms + last_start_ms,
            requests_end_ms=started_ms + requests_ms,
            servers_end_ms=kill_ms - SERVERS_END_RESERVE_MS,
            components_end_ms=kill_ms - PROCESS_EXIT_RESERVE_MS,
        )
