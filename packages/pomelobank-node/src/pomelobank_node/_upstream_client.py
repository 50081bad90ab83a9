"""Pooled HTTP/1.1 client for requests to the node's own target.

The house style prescribes aiohttp as client. For requests to the target,
aiohttp costs about twice the latency that the users allow for a whole call. It
also resends some requests by itself, so a request could run twice; see
docs/design/request-path.md.
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
# Longest idle time of a pooled connection. Servers commonly close a connection
# after 5 s without a request; the shorter limit keeps a request off a
# connection that the target is about to close.
MAX_IDLE_S = 2.0


@attrs.define(eq=False)
class UpstreamPool:
    """Connections to one target.

    Attributes:
        host: The target's IP address.
        port: The target's port.
        max_body_bytes: Size of the largest response body that is accepted.
        allows_close_delimited: Whether the end of the connection may end a
            response that states no length. A target that crashed in the middle
            of such a response looks the same, so the setting is only for
            targets that are known to send close-delimited responses.
        idle: Connections without a request, the most recently used at the end.
        closed: Whether released connections are closed instead of kept.
        known_loop: The event loop, once a request has arrived; looking up the
            running loop costs a system call.
        stale_connections: Number of pooled connections that were unusable.
        connects: Number of connections that were opened.
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
        """Sends one request and waits for its response.

        Args:
            data: The request's bytes: head, and body or its first part.
            deadline_s: Loop time at which the request fails; the deadline
                includes the whole response body.
            rest: The rest of the body.
            chunked: Whether the rest is sent with chunked transfer encoding.
            expected_id: Id that the response must have if it has an id.
            max_idle_s: Longest idle time of a connection that is reused.

        Returns:
            The response, once its head and first part have arrived.

        Raises:
            RequestError: UPSTREAM_UNREACHABLE or DEADLINE_NOT_RUN before any
                byte was sent; any other kind after.
        """
        connection = await self._acquire(deadline_s, max_idle_s)
        # The deadline may have passed, for example because this process was
        # paused while it acquired the connection.
        if deadline_s is not None and self.loop.time() >= deadline_s:
            self.release(connection)
            raise RequestError(ErrorKind.DEADLINE_NOT_RUN)
        future = connection.send(data, deadline_s, expected_id)
        if rest is not None:
            connection.start_upload(rest, chunked)
        try:
            return await future
        except asyncio.CancelledError:
            # The closed connection tells the target about the cancellation.
            connection.close()
            raise

    async def _acquire(
        self, deadline_s: float | None, max_idle_s: float
    ) -> UpstreamConnection:
        now_s = self.loop.time()
        # The most recently used connection is at the end. If its idle time is
        # too long, the idle time of every other connection is too. These
        # connections stay in the pool for requests that allow a longer idle
        # time.
        while self.idle and now_s - self.idle[-1].idle_since_s < max_idle_s:
            connection = self.idle.pop()
            if connection.is_usable():
                return connection
            self.stale_connections += 1
            connection.close()
        self._close_expired(now_s)
        return await self._connect(deadline_s)

    def _close_expired(self, now_s: float) -> None:
        while self.idle and now_s - self.idle[0].idle_since_s > MAX_IDLE_S:
            self.stale_connections += 1
            self.idle.popleft().close()

    async def _connect(self, deadline_s: float | None) -> UpstreamConnection:
        connect_deadline_s = self.loop.time() + _CONNECT_TIMEOUT_S
        self.connects += 1
        try:
            async with asyncio.timeout_at(
                min(connect_deadline_s, deadline_s or connect_deadline_s)
            ):
                _, connection = await self.loop.create_connection(
                    lambda: UpstreamConnection(self), self.host, self.port
                )
        except TimeoutError:
            kind = ErrorKind.UPSTREAM_UNREACHABLE
            if deadline_s is not None and deadline_s < connect_deadline_s:
                kind = ErrorKind.DEADLINE_NOT_RUN
            raise RequestError(kind) from None
        except OSError:
            raise RequestError(ErrorKind.UPSTREAM_UNREACHABLE) from None
        return connection

    def release(self, connection: UpstreamConnection) -> None:
        """Returns a connection whose request has ended to the pool."""
        if self.closed:
            connection.close()
        elif connection.open:
            connection.idle_since_s = self.loop.time()
            self.idle.append(connection)

    def remove(self, connection: UpstreamConnection) -> None:
        """Removes a closed connection from the pool."""
        if connection in self.idle:
            self.idle.remove(connection)

    def close(self) -> None:
        """Closes idle connections now, and busy ones after their requests."""
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
