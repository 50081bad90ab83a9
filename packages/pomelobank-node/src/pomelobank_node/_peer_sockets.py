"""Options of the sockets between nodes."""

import asyncio
import socket

# A peer that was cut off or lost its machine sends no end of its stream. After
# 15 s of silence the kernel asks three times, 5 s apart, and then breaks the
# stream, so that a node does not collect dead streams for hours. Membership
# notices a dead peer much earlier; this bounds what is left over.
_IDLE_S = 15
_INTERVAL_S = 5
_TRIES = 3


def notice_dead_peer(transport: asyncio.BaseTransport) -> None:
    """Lets the kernel break a stream whose other end is silent for good."""
    link = transport.get_extra_info("socket")
    if link is None:
        return
    link.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    link.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _IDLE_S)
    link.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _INTERVAL_S)
    link.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _TRIES)
