"""HTTP/1.1 server that passes every request to one handler."""

import asyncio
import socket

import attrs

from pomelobank_core.buffering import connections_to_close
from pomelobank_node._http_conventions import HttpConventions
from pomelobank_node._long_lived import start_long_lived
from pomelobank_node.buffering import BufferManager
from pomelobank_node.callers._connection import HttpConnection
from pomelobank_node.callers._listener import Listener
from pomelobank_node.callers._messages import (
    Handler,
    HttpLimits,
)
from pomelobank_schema import parse_address

# Maximum number of connections that the kernel queues until the node accepts
# them. If a burst of callers fills the queue, the kernel drops further SYN
# packets, and their callers repeat them only after a second or more.
_LISTEN_BACKLOG = 1024
# Interval between checks of the connections' time-outs. The time-outs are
# seconds long, so a check may be late by this interval.
_TIMEOUT_CHECK_INTERVAL_S = 0.5
# Time for which a connection stays open without activity even if others wait
# for its descriptor: a few round trips for the first request.
_MIN_IDLE_S = 0.5
_MS_PER_S = 1000
CALLERS = "callers"


@attrs.define(eq=False)
class CallerServer:
    """Accepts connections and serves their requests with one handler.

    Attributes:
        listen: Address to listen on; port 0 selects a free port.
        handler: Returns the response to each request.
        http_conventions: Defines the format of error responses.
        name: Name of the listener, for logs and metrics.
        buffers: Books what connections hold; servers of a process share it.
        limits: Limits on requests; replaced when the configuration changes.
        stop_timeout_ms: Maximum wait of `stop` for requests in flight.
        final_write_timeout_ms: Maximum time for sending the error responses of
            a stop and the responses being written, after which the connections
            are aborted.
        auto_check_timeouts: Whether the server checks time-outs periodically;
            if not, its user calls `check_timeouts`.
        listener: Socket that is already listening; None to open a new socket.
        address: Address that the server is bound to, once it listens.
        draining: Whether each connection is closed after its pending responses.
        connections: Open connections.
        max_connections: Maximum number of open connections.
        acceptor: Accepts connections; None before the start.
        timeout_task: Task that checks time-outs periodically.
    """

    listen: str
    handler: Handler
    http_conventions: HttpConventions = attrs.field(factory=HttpConventions)
    name: str = CALLERS
    buffers: BufferManager = attrs.field(factory=BufferManager)
    limits: HttpLimits = attrs.field(factory=HttpLimits)
    stop_timeout_ms: int = 1000
    final_write_timeout_ms: int = 50
    auto_check_timeouts: bool = True
    listener: socket.socket | None = None
    address: str = ""
    draining: bool = False
    connections: set[HttpConnection] = attrs.field(factory=set)
    max_connections: int = attrs.field()
    acceptor: Listener | None = None
    timeout_task: asyncio.Task[None] | None = None

    @max_connections.default
    def _max_connections(self) -> int:
        limits = self.buffers.connection_limits()
        return limits.callers if self.name == CALLERS else limits.platform

    async def start(self) -> None:
        """Starts listening."""
        sock = self.listener or _open_listener(self.listen)
        # Accepted connections inherit the size of the buffer.
        sock.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            self.buffers.settings.receive_bytes,
        )
        sock.listen(_LISTEN_BACKLOG)
        self.acceptor = Listener(
            sock, lambda: HttpConnection(self), self.has_room
        )
        self.acceptor.resume()
        bound = sock.getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        if self.auto_check_timeouts:
            self.timeout_task = start_long_lived(
                self._check_timeouts_periodically, f"{self.name}-timeouts"
            )

    async def _check_timeouts_periodically(self) -> None:
        while True:
            await asyncio.sleep(_TIMEOUT_CHECK_INTERVAL_S)
            self.check_timeouts()

    def check_timeouts(self) -> None:
        """Closes connections that exceed their idle or request time-out."""
        now_s = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            connection.check_timeouts(now_s)
        acceptor = self.acceptor
        if acceptor is not None and acceptor.paused and self.has_room(0):
            acceptor.resume()

    @property
    def in_flight(self) -> int:
        """Number of requests whose response is not fully written."""
        return sum(len(item.exchanges) for item in self.connections)

    def has_room(self, pending: int) -> bool:
        """Tells whether a connection may be accepted; else closes others.

        Args:
            pending: Connections that are being set up.
        """
        if len(self.connections) + pending < self.max_connections:
            return True
        activities = [
            (item, item.activity, item.received_s) for item in self.connections
        ]
        now_s = asyncio.get_running_loop().time()
        for connection in connections_to_close(
            activities, self.max_connections, now_s - _MIN_IDLE_S
        ):
            connection.give_way()
        return False

    def on_connected(self, connection: HttpConnection) -> None:
        """Registers a new connection."""
        self.connections.add(connection)

    def on_lost(self, connection: HttpConnection) -> None:
        """Forgets a connection; accepts others if it was one too many."""
        self.connections.discard(connection)
        self.buffers.budget.release(connection.account)
        if self.acceptor is not None:
            self.acceptor.resume()

    def drain(self) -> None:
        """Closes idle connections now, and busy ones after their responses."""
        self.draining = True
        for connection in list(self.connections):
            connection.close_if_idle()

    async def stop(self) -> None:
        """Stops listening and waits `stop_timeout_ms` for requests in flight.

        Requests that are still in flight then are ended with an error.
        """
        if self.acceptor is not None:
            self.acceptor.close()
        self.drain()
        if self.timeout_task is not None:
            self.timeout_task.cancel()
            await asyncio.gather(self.timeout_task, return_exceptions=True)
        await self._wait_until_closed(self.stop_timeout_ms)
        for connection in list(self.connections):
            connection.fail_pending()
            if not connection.is_writing:
                connection.abort()
        await self._wait_until_closed(self.final_write_timeout_ms)
        for connection in list(self.connections):
            connection.abort()

    async def _wait_until_closed(self, timeout_ms: int) -> None:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_ms / _MS_PER_S
        while self.connections and loop.time() < deadline_s:
            await asyncio.sleep(0.01)
            self.drain()


def _open_listener(address: str) -> socket.socket:
    host, port = parse_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock
