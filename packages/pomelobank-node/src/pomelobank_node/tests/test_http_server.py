"""Stop of the ASGI server while a connection is being accepted."""

import asyncio
from typing import Any

from pomelobank_node import HttpServer

TEST_TIMEOUT_S = 20


class MissedConnection:
    """A connection that is accepted while the stop begins.

    The connection ignores the first shutdown, as if uvicorn's single pass over
    its connections had missed it.
    """

    def __init__(self, server: HttpServer) -> None:
        assert server.server is not None
        self.connections: set[Any] = server.server.server_state.connections
        self.connections.add(self)
        self.shutdowns = 0

    def shutdown(self) -> None:
        self.shutdowns += 1
        if self.shutdowns > 1:
            self.connections.discard(self)


async def application(scope: Any, receive: Any, send: Any) -> None:
    """Does nothing; the test sends no request."""


async def test_connection_accepted_during_a_stop_does_not_delay_it() -> None:
    """Guards against a stop that waits for a connection missed by uvicorn.

    A caller connects just as its node begins to stop, and keeps the connection
    idle and open. A node that waits for this connection does not end until the
    platform kills it, together with any requests in flight.
    """
    server = HttpServer("127.0.0.1:0", application)
    await server.start()
    MissedConnection(server)
    async with asyncio.timeout(TEST_TIMEOUT_S):
        await server.stop()
