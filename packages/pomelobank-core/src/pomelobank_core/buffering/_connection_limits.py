"""Divides a process's descriptors among its listeners.

Load pattern: clients that open connections and leave them idle until no
descriptor is left for other callers, for peers, for the target or the platform.
"""

import enum
from collections.abc import Iterable
from typing import TypeVar

import attrs

# Part of the descriptors that callers cannot use: for peers, for the target and
# for the log.
_MESH_SHARE = 0.15
# Part of what callers leave that streams from peers may use; the rest is for
# streams to peers and for connections to the target.
_INCOMING_SHARE = 2 / 3
# Part of the descriptors that one listener of the platform may use at most.
_PLATFORM_SHARE = 1 / 16
# Part of the connections that is closed at once when no more are allowed, so
# that not every new connection searches for one to close.
_CLOSED_SHARE = 1 / 32
# Parts of a small limit that files need beside sockets: at most a third.
_MAX_RESERVED_SHARE = 1 / 3

ConnectionT = TypeVar("ConnectionT")


@attrs.frozen
class ConnectionLimits:
    """How many connections each listener accepts.

    Attributes:
        callers: Connections of callers.
        platform: Connections of each of the listeners for readiness polls,
            for the target's calls and for metrics.
        peers: Streams that peers open.
    """

    callers: int
    platform: int
    peers: int

    @classmethod
    def of(
        cls,
        descriptors: int,
        reserved: int,
        max_callers: int,
        max_platform: int,
        max_peers: int,
    ) -> "ConnectionLimits":
        """Divides the descriptors.

        Args:
            descriptors: Descriptors that the process may open.
            reserved: Descriptors that are kept for files.
            max_callers: Largest limit of callers' connections.
            max_platform: Largest limit of each listener of the platform.
            max_peers: Largest limit of peers' streams.

        >>> ConnectionLimits.of(4100, 200, 3000, 100, 2048)
        ConnectionLimits(callers=3000, platform=100, peers=400)
        >>> ConnectionLimits.of(600, 200, 3000, 100, 2048)
        ConnectionLimits(callers=265, platform=25, peers=40)
        """
        reserved = min(reserved, int(descriptors * _MAX_RESERVED_SHARE))
        usable = descriptors - reserved
        platform = max(1, min(max_platform, int(usable * _PLATFORM_SHARE)))
        callers = usable - 3 * platform - int(usable * _MESH_SHARE)
        callers = max(1, min(max_callers, callers))
        left = usable - callers - 3 * platform
        peers = max(1, min(max_peers, int(left * _INCOMING_SHARE)))
        return cls(callers, platform, peers)


class ConnectionActivity(enum.IntEnum):
    """What a connection is doing, in the order in which it may be closed.

    Attributes:
        IDLE: No request is in flight or arriving.
        ARRIVING: A request is arriving, and none is in flight.
        BUSY: A request is in flight; the connection is not closed.
    """

    IDLE = 0
    ARRIVING = 1
    BUSY = 2


def connections_to_close(
    connections: Iterable[tuple[ConnectionT, ConnectionActivity, float]],
    limit: int,
    latest_activity: float,
) -> list[ConnectionT]:
    """Chooses connections to close because others need their descriptors.

    Args:
        connections: Each connection with its activity and with the time of its
            last activity.
        limit: Maximum number of connections.
        latest_activity: Connections with a later activity stay open, so that a
            new connection has time for its request.

    Returns:
        Connections without a request in flight: idle ones first, those first
        that have been idle the longest. Empty if every connection is busy.
    """
    candidates = sorted(
        (
            item
            for item in connections
            if item[1] is not ConnectionActivity.BUSY
            and item[2] <= latest_activity
        ),
        key=lambda item: (item[1], item[2]),
    )
    count = max(1, int(limit * _CLOSED_SHARE))
    return [item[0] for item in candidates[:count]]
