"""A server that stops, and connections that come at the wrong moment."""

import asyncio
from typing import Any

from pomelobank_node import HttpServer

GUARD_S = 20


class LateConnection:
    """A connection whose accept was under way when the stop began.

    The server's one pass over its connections does not see it.
    """

    def __init__(self, server: HttpServer) -> None:
        assert server.server is not None
        self.connections: set[Any] = server.server.server_state.connections
        self.connections.add(self)
        self.passes = 0

    def shutdown(self) -> None:
        self.passes += 1
        if self.passes > 1:
            self.connections.discard(self)


async def application(scope: Any, receive: Any, send: Any) -> None:
    """Answers nothing; no request is sent."""


async def test_a_connection_that_comes_during_a_stop_does_not_hold_it_up() -> (
    None
):
    """A caller connects in the moment in which its node is told to stop.

    The connection stays idle and nobody closes it: the node waits for it and
    does not end before the platform kills it, requests in flight or not.
    """
    server = HttpServer("127.0.0.1:0", application)
    await server.start()
    LateConnection(server)
    async with asyncio.timeout(GUARD_S):
        await server.stop()
