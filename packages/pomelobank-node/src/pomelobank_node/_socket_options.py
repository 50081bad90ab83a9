"""Options of the sockets to peers, to the target and to the log."""

import asyncio
import socket

# A connection may go silent for good while new ones work: its other end was cut
# off, lost its machine, or something on the way forgot it. Nothing tells of
# that, and what is sent there waits for its deadline. So the kernel breaks a
# connection whose bytes nobody has acknowledged for so long: in a network that
# loses one packet in forty, one in a million repeats takes this time.
_UNACKNOWLEDGED_MS = 1500
# Where nothing is sent, the kernel asks after so many seconds without a word,
# and again a second later. Membership notices a dead peer earlier; this bounds
# how long an answer that was lost with its connection is waited for.
_IDLE_S = 2
_INTERVAL_S = 1
_TRIES = 2


def enable_dead_peer_detection(transport: asyncio.BaseTransport) -> None:
    """Lets the kernel break a connection whose other end is silent for good."""
    link = transport.get_extra_info("socket")
    if link is None:
        return
    link.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    link.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _IDLE_S)
    link.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _INTERVAL_S)
    link.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _TRIES)
    link.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS
    )
