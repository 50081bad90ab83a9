"""Pooled HTTP/1.1 client towards the node's own target.

The house style asks for aiohttp as client. Towards the target it costs about
twice the latency that the users allow for a whole call, and it resends some
requests by itself, which could run one twice; see docs/design.
"""

import asyncio
from collections import deque

import attrs
import httptools

from pomelobank_core import ErrorKind
from pomelobank_node._requests import Headers, RequestError

_CONNECT_TIMEOUT_S = 1.0


@attrs.frozen
class UpstreamAnswer:
    """A whole answer of the target.

    Attributes:
        status: HTTP status.
        headers: Headers as received.
        body: The whole body.
    """

    status: int
    headers: Headers
    body: bytes


class _Connection(asyncio.Protocol):
    """One connection; it carries one request at a time."""

    def __init__(self, pool: "UpstreamPool") -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.open = False
        self.answer: asyncio.Future[UpstreamAnswer] | None = None
        self._reset()

    def _reset(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: list[bytes] = []
        self.size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.open = True

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail(ErrorKind.ANSWER_TRUNCATED)

    def connection_lost(self, _: Exception | None) -> None:
        self.open = False
        self.pool.forget(self)
        started = bool(self.headers)
        self._fail(
            ErrorKind.ANSWER_TRUNCATED if started else ErrorKind.UPSTREAM_LOST
        )

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value))

    def on_body(self, data: bytes) -> None:
        self.size += len(data)
        if self.size > self.pool.max_body_bytes:
            self._fail(ErrorKind.ANSWER_TOO_LARGE)
            return
        self.chunks.append(data)

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status < 200:
            self._reset()
            return
        answer = UpstreamAnswer(status, self.headers, b"".join(self.chunks))
        keep = self.parser.should_keep_alive()
        future, self.answer = self.answer, None
        if future is not None and not future.done():
            future.set_result(answer)
        self._reset()
        if keep and future is not None:
            self.pool.give_back(self)
        else:
            self.close()

    def _fail(self, kind: ErrorKind) -> None:
        future, self.answer = self.answer, None
        if future is not None and not future.done():
            future.set_exception(RequestError(kind))
        self.close()

    def close(self) -> None:
        self.open = False
        if self.transport is not None:
            self.transport.close()

    def send(self, data: bytes) -> "asyncio.Future[UpstreamAnswer]":
        assert self.transport is not None
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.answer


@attrs.define
class UpstreamPool:
    """Connections to one target.

    Attributes:
        host: The target's IP number.
        port: The target's port.
        max_body_bytes: Largest answer that is taken, in bytes.
        idle: Connections without a request, the one used last at the end.
    """

    host: str
    port: int
    max_body_bytes: int
    idle: deque[_Connection] = attrs.field(factory=deque)

    async def request(self, data: bytes) -> UpstreamAnswer:
        """Sends one request and waits for its whole answer.

        Args:
            data: The request's bytes, head and body.

        Returns:
            The answer.

        Raises:
            RequestError: UPSTREAM_UNREACHABLE before any byte was sent;
                UPSTREAM_LOST, ANSWER_TRUNCATED or ANSWER_TOO_LARGE after.
        """
        connection = await self._take()
        future = connection.send(data)
        try:
            return await future
        except asyncio.CancelledError:
            # The target sees the closed connection as the cancellation.
            connection.close()
            raise

    async def _take(self) -> _Connection:
        while self.idle:
            connection = self.idle.pop()
            if connection.open:
                return connection
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: _Connection(self), self.host, self.port
                )
        except (OSError, TimeoutError):
            raise RequestError(ErrorKind.UPSTREAM_UNREACHABLE) from None
        return connection

    def give_back(self, connection: _Connection) -> None:
        """Takes a connection whose request has ended."""
        if connection.open:
            self.idle.append(connection)

    def forget(self, connection: _Connection) -> None:
        """Drops a connection that was closed."""
        if connection in self.idle:
            self.idle.remove(connection)

    def close(self) -> None:
        """Closes every connection."""
        for connection in list(self.idle):
            connection.close()
        self.idle.clear()


_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


def end_to_end(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Returns the headers that travel on, without those of one connection."""
    return [item for item in headers if item[0] not in _HOP_BY_HOP]


def encode_request(
    method: str, target: bytes, headers: Headers, body: bytes
) -> bytes:
    """Returns the bytes of an HTTP/1.1 request."""
    lines = [b"%s %s HTTP/1.1\r\n" % (method.encode(), target)]
    lines += [b"%s: %s\r\n" % item for item in end_to_end(headers)]
    lines.append(b"content-length: %d\r\n\r\n" % len(body))
    lines.append(body)
    return b"".join(lines)
