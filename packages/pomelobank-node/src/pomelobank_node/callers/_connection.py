"""One HTTP/1.1 connection: requests in, answers out in the same order.

The house style asks for uvicorn. It answers the requests of one connection one
after the other, so that a caller who sends four look-ups at once waits for
their sum; here they run at the same time. It has no bound on the time that a
head may take, either.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import Protocol

import httptools

from pomelobank_core import ErrorKind
from pomelobank_node._bodies import (
    MAX_INLINE_BODY_BYTES,
    WINDOW_BYTES,
    BodyBuffer,
)
from pomelobank_node._http_conventions import HttpConventions
from pomelobank_node._http_messages import (
    LAST_CHUNK,
    content_length,
    encode_chunk,
    find_header,
)
from pomelobank_node._requests import RequestError
from pomelobank_node.callers._error_responses import error_response
from pomelobank_node.callers._exchange import Exchange
from pomelobank_node.callers._messages import (
    Handler,
    HttpLimits,
    HttpResponse,
    encode_response,
)

_logger = logging.getLogger(__name__)
# Requests of one connection that run at once; later ones stay unread. One
# caller could otherwise take every slot of an upstream.
_MAX_PIPELINED = 32
_MAX_HEADERS = 128
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_MS_PER_S = 1000


class ConnectionHost(Protocol):
    """Whose connection it is.

    Attributes:
        handler: Answers each request.
        http_conventions: How errors are told.
        limits: What callers may send.
        draining: Whether connections end after the answers under way.
        connections: Open connections.
    """

    handler: Handler
    http_conventions: HttpConventions
    limits: HttpLimits
    draining: bool
    connections: set[HttpConnection]

    def accept(self, connection: HttpConnection) -> bool:
        """Takes a new connection; returns whether there is room for it."""


class HttpConnection(asyncio.Protocol):
    """Reads requests, runs them at the same time, answers in their order.

    Attributes:
        server: Whose connection it is.
        loop: The event loop; asked for once, since each answer costs a system
            call.
        exchanges: Requests without a written answer, the oldest first.
        reading: The request whose body is being read.
        seen_s: Loop time at which bytes last came or an answer was written.
        head_since_s: Loop time at which an incomplete head began, None where
            there is none.
        ended: Whether nothing further is read.
        closing: Whether an answer requires the connection to close. New
            requests are then ignored, and pending ones are still answered.
    """

    def __init__(self, server: ConnectionHost) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.loop: asyncio.AbstractEventLoop
        self.parser = httptools.HttpRequestParser(self)
        self.exchanges: deque[Exchange] = deque()
        self.reading: Exchange | None = None
        self.streaming: asyncio.Task[None] | None = None
        self.writable = asyncio.Event()
        self.writable.set()
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.head_bytes = 0
        self.seen_s = 0.0
        self.head_since_s: float | None = None
        self.ended = False
        self.closing = False
        self.paused = False

    # The transport's side.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport, unless there are too many."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.loop = asyncio.get_running_loop()
        self.seen_s = self.loop.time()
        if not self.server.accept(self):
            transport.abort()

    def connection_lost(self, _: Exception | None) -> None:
        """Cancels the requests of a caller that has gone.

        Without this a target would go on working for nobody, most of all in
        an overload, when callers give up and try again.
        """
        self.ended = True
        self.server.connections.discard(self)
        self.writable.set()
        if self.streaming is not None:
            self.streaming.cancel()
        for exchange in self.exchanges:
            exchange.cancel()
        self.exchanges.clear()

    def pause_writing(self) -> None:
        """Reads nothing more from a caller that does not read."""
        self.writable.clear()
        self._adjust_reading()

    def resume_writing(self) -> None:
        """Goes on."""
        self.writable.set()
        self._adjust_reading()

    def data_received(self, data: bytes) -> None:
        """Parses what came in."""
        if self.ended:
            return
        self.seen_s = self.loop.time()
        in_head = self.head_since_s is not None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Another protocol would begin here, and none is spoken. Its first
            # bytes must not be taken for a request.
            self.ended = True
            self._close_after_last()
        except httptools.HttpParserError:
            self._reject(ErrorKind.BAD_REQUEST)
        if in_head and self.head_since_s is not None:
            self._count_head(len(data))
        self._adjust_reading()

    # The parser's side.

    def on_message_begin(self) -> None:
        """Begins a request."""
        self.url = b""
        self.headers = []
        self.head_bytes = 0
        self.head_since_s = self.seen_s

    def on_url(self, url: bytes) -> None:
        """Takes a part of the path."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Begins the exchange, unless its head breaks a limit."""
        self.head_since_s = None
        if self.ended or self.closing:
            return
        exchange = Exchange(
            self.parser.get_method().decode("latin-1"),
            self.url,
            self.headers,
            self.parser.should_keep_alive(),
        )
        self.exchanges.append(exchange)
        self.reading = exchange
        problem = self._head_problem(exchange)
        if problem is not None:
            self._end_with(exchange, problem)
        elif find_header(self.headers, b"expect") and not self._behind():
            assert self.transport is not None
            self.transport.write(_CONTINUE)

    def on_body(self, data: bytes) -> None:
        """Collects the body, or passes it on once it is long."""
        exchange = self.reading
        if exchange is None or exchange.response is not None:
            return
        exchange.size += len(data)
        if exchange.size > self.server.limits.body_bytes:
            self._body_too_large(exchange)
        elif exchange.upload is not None:
            exchange.upload.put(data)
        else:
            exchange.parts.append(data)
            if exchange.size > MAX_INLINE_BODY_BYTES:
                self._start_upload(exchange)

    def on_message_complete(self) -> None:
        """Hands a whole request on."""
        exchange, self.reading = self.reading, None
        if exchange is None or exchange.response is not None:
            return
        if exchange.upload is not None:
            exchange.upload.end()
        else:
            self._start(exchange)
        if not exchange.keep_alive:
            self.ended = True

    # Reading.

    def _head_problem(self, exchange: Exchange) -> ErrorKind | None:
        limits = self.server.limits
        size = len(exchange.target)
        size += sum(len(name) + len(value) + 4 for name, value in self.headers)
        if size > limits.head_bytes or len(self.headers) > _MAX_HEADERS:
            return ErrorKind.HEAD_TOO_LARGE
        length = content_length(self.headers)
        if length is not None and length > limits.body_bytes:
            return ErrorKind.BODY_TOO_LARGE
        return None

    def _behind(self) -> bool:
        return len(self.exchanges) > 1

    def _count_head(self, size: int) -> None:
        # The parser tells of a header once it is whole; a single one without
        # an end would grow in its memory unseen.
        self.head_bytes += size
        if self.head_bytes > self.server.limits.head_bytes:
            self._reject(ErrorKind.HEAD_TOO_LARGE)

    def _reject(self, kind: ErrorKind) -> None:
        """Answers what cannot be read on, after the answers before it."""
        exchange = self.reading
        if exchange is None or exchange.response is not None:
            exchange = Exchange("", b"", [], keep_alive=False)
            self.exchanges.append(exchange)
        if exchange.upload is not None:
            exchange.upload.fail(ErrorKind.BODY_INCOMPLETE)
            exchange.keep_alive = False
            self.ended = True
            return
        self._end_with(exchange, kind)

    def _end_with(self, exchange: Exchange, kind: ErrorKind) -> None:
        error = RequestError(kind)
        exchange.response = error_response(
            error, self.server.http_conventions, closes=True
        )
        self.ended = True
        self.head_since_s = None
        self._flush()

    def _body_too_large(self, exchange: Exchange) -> None:
        if exchange.upload is None:
            self._end_with(exchange, ErrorKind.BODY_TOO_LARGE)
            return
        # A part of it may be at a target already.
        exchange.upload.fail(ErrorKind.BODY_INCOMPLETE)
        exchange.keep_alive = False
        self.ended = True

    def _start_upload(self, exchange: Exchange) -> None:
        exchange.upload = BodyBuffer(
            lambda _: self._adjust_reading(), lambda: None
        )
        self._start(exchange)

    def _start(self, exchange: Exchange) -> None:
        exchange.task = self.loop.create_task(self._serve(exchange))

    def _adjust_reading(self) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        pause = (
            len(self.exchanges) >= _MAX_PIPELINED
            or not self.writable.is_set()
            or self._upload_is_full()
        )
        if pause and not self.paused:
            transport.pause_reading()
        elif self.paused and not pause:
            transport.resume_reading()
        self.paused = pause

    def _upload_is_full(self) -> bool:
        upload = self.reading.upload if self.reading is not None else None
        return upload is not None and upload.size > WINDOW_BYTES

    # Answering.

    async def _serve(self, exchange: Exchange) -> None:
        try:
            answer = await self.server.handler(exchange.request())
        except Exception:
            _logger.exception("request.failed")
            error = RequestError(ErrorKind.INTERNAL)
            answer = error_response(
                error, self.server.http_conventions, closes=True
            )
        exchange.response = answer
        if exchange.upload is not None and not exchange.upload.ended:
            # The rest of the body is still to come, or never will. Bytes of it
            # must not be taken for the next request.
            exchange.keep_alive = False
            self.ended = True
        self._flush()

    def _flush(self) -> None:
        while self.exchanges and self.streaming is None:
            exchange = self.exchanges[0]
            if exchange.response is None or self.transport is None:
                return
            closes = self._closes(exchange)
            head_only = exchange.method == "HEAD"
            self.transport.write(
                encode_response(exchange.response, head_only, closes)
            )
            if exchange.response.rest is not None:
                self.streaming = asyncio.create_task(
                    self._stream(exchange, closes)
                )
                return
            self._done(closes)

    def _closes(self, exchange: Exchange) -> bool:
        assert exchange.response is not None
        if not exchange.keep_alive:
            return True
        self.closing = self.closing or exchange.response.closes
        # Requests behind this one are under way; only the last answer may end
        # the connection, or they would be sent again elsewhere.
        must_close = self.closing or self.server.draining
        return must_close and not self._behind()

    def _done(self, closes: bool) -> None:
        self.exchanges.popleft()
        self.seen_s = self.loop.time()
        if closes:
            self._close()
        else:
            self._adjust_reading()

    def _close(self) -> None:
        self.ended = True
        for exchange in self.exchanges:
            exchange.cancel()
        self.exchanges.clear()
        if self.transport is not None:
            self.transport.close()

    async def _stream(self, exchange: Exchange, closes: bool) -> None:
        answer = exchange.response
        assert answer is not None
        try:
            whole = await self._write_rest(answer)
        finally:
            assert answer.rest is not None
            answer.rest.close()
        if not whole:
            # The reset connection is what tells the caller that the body is
            # not whole.
            self.abort()
            return
        self.streaming = None
        self._done(closes)
        self._flush()

    async def _write_rest(self, answer: HttpResponse) -> bool:
        assert answer.rest is not None and self.transport is not None
        chunked = answer.chunked
        if chunked:
            self.transport.write(encode_chunk(answer.body))
        try:
            while data := await answer.rest.read():
                await self.writable.wait()
                self.transport.write(encode_chunk(data) if chunked else data)
        except RequestError as error:
            _logger.warning(
                "answer.broken_off", extra={"error": error.kind.value}
            )
            return False
        if chunked:
            self.transport.write(LAST_CHUNK)
        return True

    # Time-outs and ends.

    def _close_after_last(self) -> None:
        if self.exchanges:
            self.exchanges[-1].keep_alive = False
        elif self.transport is not None:
            self.transport.close()

    def check_timeouts(self, now_s: float) -> None:
        """Ends a connection that is idle or slow for too long."""
        limits = self.server.limits
        if self.head_since_s is not None:
            if now_s - self.head_since_s > limits.head_timeout_ms / _MS_PER_S:
                self._reject(ErrorKind.HEAD_TIMEOUT)
            return
        silent = now_s - self.seen_s > limits.idle_timeout_ms / _MS_PER_S
        if silent and self.reading is not None and not self.ended:
            self._reject(ErrorKind.HEAD_TIMEOUT)
        elif silent:
            self.close_if_idle()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is under way or coming."""
        idle = not self.exchanges and self.head_since_s is None
        if idle and self.transport is not None:
            self.ended = True
            self.transport.close()

    def fail_pending(self) -> None:
        """Ends what is under way, so that answers behind it get out.

        Answers keep the order of their requests; one that is ready would
        otherwise be lost with a connection whose oldest request hangs.
        """
        error = RequestError(ErrorKind.STOPPED_UNKNOWN)
        for exchange in self.exchanges:
            if exchange.response is None:
                exchange.cancel()
                exchange.response = error_response(
                    error, self.server.http_conventions
                )
                exchange.keep_alive = exchange is not self.exchanges[-1]
        self.ended = True
        self._flush()

    def abort(self) -> None:
        """Closes the connection at once."""
        if self.transport is not None:
            self.transport.abort()
