"""Pooled HTTP/1.1 client towards the node's own target.

The house style asks for aiohttp as client. Towards the target it costs about
twice the latency that the users allow for a whole call, and it resends some
requests by itself, which could run one twice; see docs/design/request-path.md.
"""

import asyncio
from collections import deque

import attrs

from pomelobank_core import ErrorKind
from pomelobank_node._bodies import BodySource
from pomelobank_node._http_messages import (
    encode_request,
    end_to_end,
)
from pomelobank_node._requests import RequestError
from pomelobank_node._upstream_connection import (
    ExpectedId,
    UpstreamConnection,
    UpstreamResponse,
)

_CONNECT_TIMEOUT_S = 1.0
# Servers commonly close connections after 5 s without a request. Staying well
# below keeps a request from meeting a connection that is about to be closed.
MAX_IDLE_S = 2.0


@attrs.define(eq=False)
class UpstreamPool:
    """Connections to one target.

    Attributes:
        host: The target's IP number.
        port: The target's port.
        max_body_bytes: Largest answer that is taken, in bytes.
        allows_close_delimited: Whether the end of the connection may be the end
            of an answer that states no length. It cannot be told from a target
            that stopped in the middle, so it is only for targets known to do
            so.
        idle: Connections without a request, the one used last at the end.
        closed: Set once connections are not kept any more.
        known_loop: The event loop, once a request has come; to ask for it
            costs a system call.
        stale_connections: Pooled connections that were found unusable.
        connects: Connections that were opened.
    """

    host: str
    port: int
    max_body_bytes: int
    allows_close_delimited: bool = False
    idle: deque[UpstreamConnection] = attrs.field(factory=deque)
    closed: bool = False
    known_loop: asyncio.AbstractEventLoop | None = None
    stale_connections: int = 0
    connects: int = 0

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop."""
        if self.known_loop is None:
            self.known_loop = asyncio.get_running_loop()
        return self.known_loop

    async def request(
        self,
        data: bytes,
        deadline_s: float | None = None,
        rest: BodySource | None = None,
        chunked: bool = False,
        expected_id: ExpectedId | None = None,
        max_idle_s: float = MAX_IDLE_S,
    ) -> UpstreamResponse:
        """Sends one request and waits for its answer.

        Args:
            data: The request's bytes: head, and body or its first part.
            deadline_s: Loop time at which the request is given up; it holds
                for the whole answer.
            rest: The rest of the body.
            chunked: Whether the rest is sent in HTTP's chunks.
            expected_id: Id that the answer must bear where it bears one.
            max_idle_s: Longest time for which a connection that is used
                again was idle.

        Returns:
            The answer, once its head and first part are there.

        Raises:
            RequestError: UPSTREAM_UNREACHABLE or DEADLINE_NOT_RUN before any
                byte was sent; any other kind after.
        """
        connection = await self._take(deadline_s, max_idle_s)
        # A process that was paused finds its deadline passed only now.
        if deadline_s is not None and self.loop.time() >= deadline_s:
            self.release(connection)
            raise RequestError(ErrorKind.DEADLINE_NOT_RUN)
        future = connection.send(data, deadline_s, expected_id)
        if rest is not None:
            connection.start_upload(rest, chunked)
        try:
            return await future
        except asyncio.CancelledError:
            # The target sees the closed connection as the cancellation.
            connection.close()
            raise

    async def _take(
        self, deadline_s: float | None, longest_idle_s: float
    ) -> UpstreamConnection:
        now_s = self.loop.time()
        # The one used last is at the end; where it was idle for too long, so
        # were all others, which may still serve less careful requests.
        while self.idle and now_s - self.idle[-1].idle_since_s < longest_idle_s:
            connection = self.idle.pop()
            if connection.is_usable():
                return connection
            self.stale_connections += 1
            connection.close()
        self._close_stale(now_s)
        return await self._connect(deadline_s)

    def _close_stale(self, now_s: float) -> None:
        while self.idle and now_s - self.idle[0].idle_since_s > MAX_IDLE_S:
            self.stale_connections += 1
            self.idle.popleft().close()

    async def _connect(self, deadline_s: float | None) -> UpstreamConnection:
        limit_s = self.loop.time() + _CONNECT_TIMEOUT_S
        self.connects += 1
        try:
            async with asyncio.timeout_at(min(limit_s, deadline_s or limit_s)):
                _, connection = await self.loop.create_connection(
                    lambda: UpstreamConnection(self), self.host, self.port
                )
        except TimeoutError:
            kind = ErrorKind.UPSTREAM_UNREACHABLE
            if deadline_s is not None and deadline_s < limit_s:
                kind = ErrorKind.DEADLINE_NOT_RUN
            raise RequestError(kind) from None
        except OSError:
            raise RequestError(ErrorKind.UPSTREAM_UNREACHABLE) from None
        return connection

    def release(self, connection: UpstreamConnection) -> None:
        """Takes a connection whose request has ended."""
        if self.closed:
            connection.close()
        elif connection.open:
            connection.idle_since_s = self.loop.time()
            self.idle.append(connection)

    def remove(self, connection: UpstreamConnection) -> None:
        """Drops a connection that was closed."""
        if connection in self.idle:
            self.idle.remove(connection)

    def close(self) -> None:
        """Closes every idle connection now, the others after their request."""
        self.closed = True
        for connection in list(self.idle):
            connection.close()
        self.idle.clear()


__all__ = [
    "ExpectedId",
    "UpstreamPool",
    "UpstreamResponse",
    "encode_request",
    "end_to_end",
]
