"""Listens for HTTP/1.1 and hands every request to one handler."""

import asyncio
import socket

import attrs

from pomelobank_node._http_conventions import HttpConventions
from pomelobank_node.callers._connection import HttpConnection
from pomelobank_node.callers._messages import (
    Handler,
    HttpLimits,
)
from pomelobank_schema import parse_address

# A burst of callers must not find the queue of new connections full: their
# first packet would be dropped and sent again after a second or more.
_BACKLOG = 1024
# Connections at once; well under the descriptors that a node has, so that
# streams to peers and to the target always find one.
_MAX_CONNECTIONS = 3000
# Time-outs of seconds are noticed in time.
_SWEEP_S = 0.5
_MS_PER_S = 1000
# For the last answers to leave before connections are closed.
_LAST_WRITE_MS = 50


@attrs.define(eq=False)
class CallerServer:
    """Serves one handler.

    Attributes:
        listen: Address to listen on; port 0 takes a free one.
        handler: Answers each request.
        http_conventions: How errors are told.
        limits: What callers may send; replaced with the configuration.
        stop_timeout_ms: Longest wait at a stop for requests under way.
        auto_check_timeouts: Whether it looks for time-outs by itself; else its
            owner calls `check_timeouts` now and then.
        listener: Socket that is already listening; None to open one.
        address: Address that is really used, once it listens.
        draining: Whether connections end after the answers under way.
        connections: Open connections.
        rejected_connections: Connections that were one too many, for the
            metrics.
    """

    listen: str
    handler: Handler
    http_conventions: HttpConventions = attrs.field(factory=HttpConventions)
    limits: HttpLimits = attrs.field(factory=HttpLimits)
    stop_timeout_ms: int = 1000
    auto_check_timeouts: bool = True
    listener: socket.socket | None = None
    address: str = ""
    draining: bool = False
    connections: set[HttpConnection] = attrs.field(factory=set)
    rejected_connections: int = 0
    server: asyncio.Server | None = None
    sweeper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts listening."""
        loop = asyncio.get_running_loop()
        if self.listener is not None:
            self.server = await loop.create_server(
                lambda: HttpConnection(self),
                sock=self.listener,
                backlog=_BACKLOG,
            )
        else:
            host, port = parse_address(self.listen)
            self.server = await loop.create_server(
                lambda: HttpConnection(self), host, port, backlog=_BACKLOG
            )
        bound = self.server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        if self.auto_check_timeouts:
            self.sweeper = asyncio.create_task(self._sweep())

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            self.check_timeouts()

    def check_timeouts(self) -> None:
        """Ends connections that are idle or slow for too long."""
        now_s = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            connection.check_timeouts(now_s)

    @property
    def in_flight(self) -> int:
        """Requests without a written answer."""
        return sum(len(item.exchanges) for item in self.connections)

    def accept(self, connection: HttpConnection) -> bool:
        """Takes a new connection; returns whether there is room for it."""
        if len(self.connections) >= _MAX_CONNECTIONS:
            self.rejected_connections += 1
            return False
        self.connections.add(connection)
        return True

    def drain(self) -> None:
        """Ends idle connections now and the others after their answers."""
        self.draining = True
        for connection in list(self.connections):
            connection.close_if_idle()

    async def stop(self) -> None:
        """Stops listening; finishes the requests under way within a bound."""
        if self.server is not None:
            self.server.close()
        self.drain()
        if self.sweeper is not None:
            self.sweeper.cancel()
            await asyncio.gather(self.sweeper, return_exceptions=True)
        await self._wait_ended(self.stop_timeout_ms)
        for connection in list(self.connections):
            connection.fail_pending()
        await self._wait_ended(_LAST_WRITE_MS)
        for connection in list(self.connections):
            connection.abort()

    async def _wait_ended(self, timeout_ms: int) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + timeout_ms / _MS_PER_S
        while self.connections and loop.time() < until_s:
            await asyncio.sleep(0.01)
            self.drain()
