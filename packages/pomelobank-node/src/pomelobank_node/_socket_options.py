"""Options of the sockets to peers, to the target and to the log."""

import asyncio
import socket

# Time after which the kernel resets a connection whose sent bytes were not
# acknowledged. A connection may stop working silently while new connections
# work: the network was partitioned, the other machine failed, or a middlebox
# dropped its connection state. Without a reset, requests on that connection
# wait for their deadlines. In a network that loses one packet in forty, one in
# a million retransmissions takes this long.
_UNACKNOWLEDGED_TIMEOUT_MS = 1500
# Idle time after which the kernel sends a keep-alive probe, and the interval
# to the next probe. Membership detects a crashed peer earlier; the probes limit
# how long a request waits for a response that was lost with its connection.
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_PROBES = 2


def enable_dead_peer_detection(transport: asyncio.BaseTransport) -> None:
    """Lets the kernel reset a connection whose other end stopped responding."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_TIMEOUT_MS
    )
