"""One HTTP/1.1 connection of a caller, with concurrent pipelined requests.

The house style asks for uvicorn, which does not fit here for two reasons.
Uvicorn handles the requests of one connection one after the other, so that a
caller that pipelines four look-ups waits for the sum of their latencies; this
connection runs them concurrently and writes the responses in request order.
Uvicorn also has no time-out for receiving a request's head.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import Protocol

import httptools

from pomelobank_core import ErrorKind
from pomelobank_core.buffering import (
    BufferAccount,
    CloseReason,
    ConnectionActivity,
)
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
from pomelobank_node.buffering import MIN_BOOKED_BYTES, BufferManager
from pomelobank_node.callers._collected_body import collect_body
from pomelobank_node.callers._error_responses import error_response
from pomelobank_node.callers._exchange import Exchange
from pomelobank_node.callers._messages import (
    Handler,
    HttpLimits,
    HttpResponse,
    encode_response,
)

_logger = logging.getLogger(__name__)
# Maximum number of requests of one connection that run concurrently. At the
# limit the node stops reading from the connection, which could otherwise occupy
# every slot of an upstream.
_MAX_PIPELINED_REQUESTS = 32
_MAX_HEADERS = 128
# Maximum number of bytes that are parsed at once, while a head is received and
# in a chunked body. Heads are checked between slices, so a slice bounds how far
# a head may exceed its limit; longer slices keep the parts of a body long.
_HEAD_SLICE_BYTES = 4 * 1024
_CHUNKED_SLICE_BYTES = 64 * 1024
# Memory that a header takes beside its bytes.
_HEADER_COST = 200
# Bytes of several requests of a connection from which it is not read while
# memory is short: one short request that is answered and one that arrives.
_MIN_CONNECTION_BYTES = 2 * MAX_INLINE_BODY_BYTES
_CLOSE_REASONS = {
    ErrorKind.BAD_REQUEST: CloseReason.MALFORMED,
    ErrorKind.HEAD_TIMEOUT: CloseReason.TIMED_OUT,
    ErrorKind.NO_ROOM: CloseReason.NO_MEMORY,
    ErrorKind.BODY_STALLED: CloseReason.NO_MEMORY,
}
# The colon, the space and the line break of a header.
_HEADER_FRAMING_BYTES = 4
# Bounds of the bytes and the time that a connection is read on for after it was
# closed before the end of a request. If the node closed a socket with unread
# bytes, the kernel would reset the connection, and the caller could lose the
# response that says why.
_MAX_DISCARDED_BYTES = 256 * 1024
_LINGER_S = 1.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_MS_PER_S = 1000


class ConnectionHost(Protocol):
    """The server that a connection belongs to.

    Attributes:
        handler: Returns the response to each request.
        http_conventions: Defines the format of error responses.
        limits: Limits on requests.
        name: Name of the listener, for logs.
        buffers: Books what connections hold.
        draining: Whether each connection is closed after its pending responses.
        connections: Open connections.
    """

    handler: Handler
    http_conventions: HttpConventions
    limits: HttpLimits
    name: str
    buffers: BufferManager
    draining: bool
    connections: set[HttpConnection]

    def on_connected(self, connection: HttpConnection) -> None:
        """Registers a new connection."""

    def on_lost(self, connection: HttpConnection) -> None:
        """Forgets a connection that was closed."""


class HttpConnection(asyncio.Protocol):
    """Runs a connection's requests concurrently and responds in their order.

    Attributes:
        server: The server that the connection belongs to.
        transport: The connection's transport; None before it is connected.
        loop: The event loop; stored, since each lookup of the running loop
            costs a system call.
        parser: The incremental HTTP parser.
        exchanges: Requests whose response is not fully written, oldest first.
        reading: The request whose body is being received.
        streaming: Task that collects or writes a long response's body; None
            without one.
        holds_requests: Whether new requests wait until a long response is
            written.
        writable: Set while the transport's write buffer accepts data.
        url: Request target of the head that is being received.
        headers: Headers of the head that is being received.
        head_bytes: Size of the head, or of the trailers, parsed so far.
        head_length: Number of headers that precede the trailers.
        unparsed_bytes: Minimum size of the bytes since the last one that the
            parser has reported: an incomplete header or trailer, the framing
            of a chunk, or empty lines before a request.
        parsed_bytes: Size of everything that the parser has reported.
        parse_error: Kind of the error that ended the parsing.
        received_s: Loop time of the last received byte.
        last_activity_s: Loop time of the last received part of a request, or
            of the last part of a response that the caller read.
        unsent_bytes: Bytes that the caller had not read at the last check of
            the time-outs.
        head_since_s: Loop time at which an incomplete head, or the trailers of
            a body, began; None if neither is being received.
        ignores_input: Whether further received bytes are ignored.
        discarded_bytes: Ignored bytes.
        breaks_off: Whether the caller may still be sending a request that is
            not read any further.
        write_closed_s: Loop time at which the sending side was closed; None
            before.
        closing: Whether a response requires the connection to close. New
            requests are then ignored; pending requests still get a response.
        paused: Whether reading from the transport is paused.
        account: What the connection holds.
        received_bytes: Bytes received in all.
    """

    def __init__(self, server: ConnectionHost) -> None:
        self.server = server
        self.account = BufferAccount(self)
        self.received_bytes = 0
        self.transport: asyncio.Transport | None = None
        self.loop: asyncio.AbstractEventLoop
        self.parser = httptools.HttpRequestParser(self)
        self.exchanges: deque[Exchange] = deque()
        self.reading: Exchange | None = None
        self.streaming: asyncio.Task[None] | None = None
        self.holds_requests = False
        self.writable = asyncio.Event()
        self.writable.set()
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.head_bytes = 0
        self.head_length = 0
        self.unparsed_bytes = 0
        self.parsed_bytes = 0
        self.parse_error = ErrorKind.BAD_REQUEST
        self.received_s = 0.0
        self.last_activity_s = 0.0
        self.unsent_bytes = 0
        self.head_since_s: float | None = None
        self.ignores_input = False
        self.discarded_bytes = 0
        self.breaks_off = False
        self.write_closed_s: float | None = None
        self.closing = False
        self.paused = False

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.loop = asyncio.get_running_loop()
        self.received_s = self.last_activity_s = self.loop.time()
        self.server.on_connected(self)

    def connection_lost(self, _: Exception | None) -> None:
        """Cancels the requests of a caller that has disconnected.

        Without the cancellation a target would spend its slots on responses
        that no caller reads, most of all under overload, when callers time out
        and retry.
        """
        self.ignores_input = True
        self.server.on_lost(self)
        self.writable.set()
        if self.streaming is not None:
            self.streaming.cancel()
        for exchange in self.exchanges:
            exchange.cancel()
        self.exchanges.clear()

    def pause_writing(self) -> None:
        """Pauses reading from a caller that does not read its responses."""
        self.writable.clear()
        self._adjust_reading()

    def resume_writing(self) -> None:
        """Goes on once the caller has read its responses."""
        self.writable.set()
        self._adjust_reading()
        self._flush()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        self.received_bytes += len(data)
        if self.ignores_input:
            self._discard(len(data))
            return
        self.received_s = self.loop.time()
        if len(data) <= _HEAD_SLICE_BYTES:
            self._parse(data)
        else:
            self._parse_slices(memoryview(data))
        self._adjust_reading()

    def _discard(self, size: int) -> None:
        self.discarded_bytes += size
        if self.discarded_bytes > _MAX_DISCARDED_BYTES:
            assert self.transport is not None
            self.transport.pause_reading()

    def _parse_slices(self, data: memoryview) -> None:
        while data and not self.ignores_input:
            size = self._slice_bytes()
            self._parse(data[:size])
            data = data[size:]

    def _slice_bytes(self) -> int:
        exchange = self.reading
        if exchange is None or self.head_since_s is not None:
            return _HEAD_SLICE_BYTES
        if exchange.length is None:
            return _CHUNKED_SLICE_BYTES
        return max(exchange.length - exchange.size, _HEAD_SLICE_BYTES)

    def _parse(self, data: bytes | memoryview) -> None:
        parsed_bytes = self.parsed_bytes
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The caller switches to another protocol, which this server does
            # not support. Further bytes must not be parsed as a request.
            self.ignores_input = True
            self._close_after_last()
        except httptools.HttpParserError:
            if not self.ignores_input:
                self._reject(self.parse_error)
        if self.ignores_input:
            return
        if self.parsed_bytes != parsed_bytes:
            self.unparsed_bytes = 0
            self.last_activity_s = self.received_s
        else:
            self._count_unparsed(len(data))

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Resets the head's state for a new request."""
        if self.ignores_input:
            return
        self.url = b""
        self.headers = []
        self.head_bytes = self.head_length = 0
        self.parsed_bytes += 1
        self.head_since_s = self.received_s

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self.url += url
        self._count_parsed(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header or a trailer with its name in lower case."""
        self.headers.append((name.lower(), value))
        if self.head_since_s is None:
            # Trailers have as much time as a head, whatever their body took.
            self.head_since_s = self.received_s
        self._count_parsed(len(name) + len(value) + _HEADER_FRAMING_BYTES)

    def on_headers_complete(self) -> None:
        """Creates the exchange, or rejects a body that exceeds the limit."""
        self.head_since_s = None
        self.head_bytes = 0
        self.head_length = len(self.headers)
        if self.closing:
            self.ignores_input = True
        if self.ignores_input:
            return
        exchange = Exchange(
            self.parser.get_method().decode("latin-1"),
            self.url,
            self.headers,
            self.parser.should_keep_alive(),
        )
        exchange.head_cost = len(self.headers) * _HEADER_COST
        self.exchanges.append(exchange)
        self.reading = exchange
        error_kind = self._body_error(exchange)
        if error_kind is not None:
            self._end_with_error(exchange, error_kind)
        elif find_header(self.headers, b"expect") and not self._is_pipelined():
            assert self.transport is not None
            self.transport.write(_CONTINUE)

    def on_body(self, data: bytes) -> None:
        """Buffers a short body; streams a long body to the handler."""
        exchange = self.reading
        if exchange is None or exchange.response is not None:
            return
        exchange.size += len(data)
        self.parsed_bytes += len(data)
        if exchange.size > self.server.limits.body_bytes:
            self._body_too_large(exchange)
        elif exchange.upload is not None:
            exchange.upload.put(data)
        else:
            exchange.add_part(data)
            if exchange.size > MAX_INLINE_BODY_BYTES:
                self._start_upload(exchange)

    def on_message_complete(self) -> None:
        """Passes a complete short request to the handler; ends a long body."""
        exchange, self.reading = self.reading, None
        self.head_since_s = None
        if exchange is None or exchange.response is not None:
            return
        if exchange.upload is not None:
            exchange.upload.end()
        else:
            self._start(exchange)
        if not exchange.keep_alive:
            self.ignores_input = True

    # Receiving requests.

    def _body_error(self, exchange: Exchange) -> ErrorKind | None:
        length = exchange.length = content_length(self.headers)
        if length is None:
            if find_header(self.headers, b"transfer-encoding") is None:
                return None
        elif length > self.server.limits.body_bytes:
            return ErrorKind.BODY_TOO_LARGE
        elif not length:
            return None
        budget = self.server.buffers.budget
        is_long = length is not None and length > MAX_INLINE_BODY_BYTES
        if not budget.accepts_requests or (
            is_long and not budget.accepts_long_bodies
        ):
            return ErrorKind.NO_ROOM
        return None

    def _is_pipelined(self) -> bool:
        return len(self.exchanges) > 1

    def _count_parsed(self, size: int) -> None:
        self.parsed_bytes += size
        self.head_bytes += size
        if (
            self.head_bytes > self.server.limits.head_bytes
            or len(self.headers) - self.head_length > _MAX_HEADERS
        ):
            self.parse_error = ErrorKind.HEAD_TOO_LARGE
            raise RequestError(ErrorKind.HEAD_TOO_LARGE)

    def _count_unparsed(self, size: int) -> None:
        # The parser reports a header only once the header is complete. Without
        # this check, an endless header would grow in the parser's memory
        # without a bound.
        self.unparsed_bytes += size
        if self.unparsed_bytes > self.server.limits.head_bytes:
            self._reject(ErrorKind.HEAD_TOO_LARGE)

    def _reject(self, kind: ErrorKind) -> None:
        """Ends the current request with an error and stops reading.

        The error is written after the responses to earlier requests.
        """
        exchange = self.reading
        if exchange is None or exchange.response is not None:
            exchange = Exchange("", b"", [], keep_alive=False)
            self.exchanges.append(exchange)
        if exchange.upload is not None:
            exchange.upload.fail(ErrorKind.BODY_INCOMPLETE)
            exchange.keep_alive = False
            self._break_off()
            return
        self._end_with_error(exchange, kind)

    def _end_with_error(self, exchange: Exchange, kind: ErrorKind) -> None:
        error = RequestError(kind)
        exchange.response = error_response(
            error, self.server.http_conventions, closes=True
        )
        exchange.discard_body()
        self._record_close(_CLOSE_REASONS.get(kind, CloseReason.TOO_LARGE))
        self._break_off()
        self._flush()

    def _record_close(self, reason: CloseReason) -> None:
        assert self.transport is not None
        client = self.transport.get_extra_info("peername") or ("", "")
        self.server.buffers.record(
            reason, self.server.name, f"{client[0]}:{client[1]}"
        )

    def _body_too_large(self, exchange: Exchange) -> None:
        if exchange.upload is None:
            self._end_with_error(exchange, ErrorKind.BODY_TOO_LARGE)
            return
        # A target may have received a part of the body already. The error is
        # therefore passed to the handler through the upload.
        exchange.upload.fail(ErrorKind.BODY_INCOMPLETE)
        exchange.keep_alive = False
        self._break_off()

    def _break_off(self) -> None:
        self.ignores_input = self.breaks_off = True
        self.head_since_s = None
        # Releases what the parser holds of an incomplete head.
        self.parser = httptools.HttpRequestParser(self)

    def _start_upload(self, exchange: Exchange) -> None:
        if not self.server.buffers.budget.accepts_long_bodies:
            self._end_with_error(exchange, ErrorKind.NO_ROOM)
            return
        exchange.upload = BodyBuffer(
            lambda _: self._adjust_reading(), lambda: None
        )
        self._start(exchange)

    def _start(self, exchange: Exchange) -> None:
        if self.holds_requests:
            # The connection has to be closed if the response being written
            # breaks off. A request behind it is lost then if a target runs it;
            # one that was not passed on can be sent again.
            return
        exchange.task = self.loop.create_task(self._serve(exchange))

    def _start_held(self) -> None:
        self.holds_requests = False
        for exchange in self.exchanges:
            received = exchange is not self.reading or exchange.upload
            is_new = exchange.task is None and exchange.response is None
            if received and is_new:
                self._start(exchange)

    def _adjust_reading(self) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        pause = (
            len(self.exchanges) >= _MAX_PIPELINED_REQUESTS
            or not self.writable.is_set()
            or self._holds_too_much()
        )
        if pause and not self.paused:
            transport.pause_reading()
        elif self.paused and not pause:
            transport.resume_reading()
        self.paused = pause
        self._book()

    def _holds_too_much(self) -> bool:
        buffers = self.server.buffers
        upload = self.reading.upload if self.reading is not None else None
        if upload is not None:
            return upload.size > buffers.budget.window_bytes(WINDOW_BYTES)
        if not self._is_pipelined():
            # Only the rest of the request lets the node release its bytes.
            return False
        limit = buffers.settings.connection_bytes
        if buffers.budget.is_short:
            limit = min(limit, _MIN_CONNECTION_BYTES)
        return sum(item.held_bytes for item in self.exchanges) > limit

    def _book(self) -> None:
        """Books what the connection holds; may end this connection."""
        held_bytes = self.unparsed_bytes
        if self.head_since_s is not None:
            held_bytes += self.head_bytes + len(self.headers) * _HEADER_COST
        for exchange in self.exchanges:
            held_bytes += exchange.held_bytes
        if not self.writable.is_set() and self.transport is not None:
            held_bytes += self.transport.get_write_buffer_size()
            if self.streaming is not None:
                held_bytes += WINDOW_BYTES
        buffers = self.server.buffers
        if self.paused and held_bytes > MIN_BOOKED_BYTES:
            held_bytes += buffers.settings.receive_bytes
        is_receiving = self.reading is not None or self.head_since_s is not None
        buffers.book(
            self.account,
            held_bytes,
            not self.writable.is_set() or (is_receiving and not self.paused),
            self.received_bytes,
        )

    def release_buffers(self) -> None:
        """Ends what the connection holds, because memory is short."""
        if not self.writable.is_set():
            self._record_close(CloseReason.NO_MEMORY)
            self.abort()
            return
        exchange = self.reading
        if exchange is None or exchange.upload is None:
            self._reject(ErrorKind.NO_ROOM)
            return
        # The target may have got a part of the body.
        exchange.cancel()
        self._end_with_error(exchange, ErrorKind.BODY_STALLED)

    # Writing responses.

    async def _serve(self, exchange: Exchange) -> None:
        try:
            response = await self.server.handler(exchange.request())
        except Exception:
            _logger.exception("request.failed")
            error = RequestError(ErrorKind.INTERNAL)
            response = error_response(
                error, self.server.http_conventions, closes=True
            )
        exchange.response = response
        if exchange.upload is not None and not exchange.upload.ended:
            # The request's body is not fully received. Its remaining bytes must
            # not be parsed as the next request.
            exchange.keep_alive = False
            self._break_off()
        self._flush()

    def _flush(self) -> None:
        while (
            self.exchanges and self.streaming is None and self.writable.is_set()
        ):
            exchange = self.exchanges[0]
            if exchange.response is None or self.transport is None:
                return
            if self._must_collect(exchange):
                self.streaming = asyncio.create_task(self._collect(exchange))
                return
            closes = self._closes_connection(exchange)
            head_only = exchange.method == "HEAD"
            self.transport.write(
                encode_response(exchange.response, head_only, closes)
            )
            if exchange.response.rest is not None:
                self.holds_requests = True
                self.streaming = asyncio.create_task(
                    self._stream(exchange, closes)
                )
                return
            self._finish_exchange(closes)

    def _must_collect(self, exchange: Exchange) -> bool:
        # If the body breaks off after its head was written, the connection has
        # to be closed, and the running requests behind it would be lost.
        assert exchange.response is not None
        if exchange.response.rest is None or exchange.collected:
            return False
        if not self.server.buffers.budget.accepts_long_bodies:
            return False
        return any(
            item.task is not None
            for item in self.exchanges
            if item is not exchange
        )

    async def _collect(self, exchange: Exchange) -> None:
        assert exchange.response is not None

        def on_size(size: int) -> None:
            exchange.collected_bytes = size
            self._book()

        exchange.response = await collect_body(
            exchange.response, self.server.http_conventions, on_size
        )
        exchange.collected = True
        exchange.collected_bytes = 0
        self.streaming = None
        self._flush()

    def _closes_connection(self, exchange: Exchange) -> bool:
        assert exchange.response is not None
        if not exchange.keep_alive:
            return True
        self.closing = self.closing or exchange.response.closes
        # Later requests of this connection may be in flight. Only the last
        # response may close the connection; if an earlier response closed it,
        # the caller would send the later requests again elsewhere.
        must_close = self.closing or self.server.draining
        return must_close and not self._is_pipelined()

    def _finish_exchange(self, closes: bool) -> None:
        self.exchanges.popleft()
        self.last_activity_s = self.loop.time()
        if closes:
            self._close()
        else:
            self._adjust_reading()

    def _close(self) -> None:
        self.ignores_input = True
        for exchange in self.exchanges:
            exchange.cancel()
        self.exchanges.clear()
        if self.transport is None:
            return
        if self.breaks_off and not self.transport.is_closing():
            self.reading = None
            self._adjust_reading()
            self.write_closed_s = self.loop.time()
            self._close_sending_side()
        else:
            self.transport.close()

    def _close_sending_side(self) -> None:
        assert self.transport is not None
        try:
            self.transport.write_eof()
        except OSError:
            # The caller has reset the connection, which the event loop has not
            # read yet.
            self.transport.abort()

    async def _stream(self, exchange: Exchange, closes: bool) -> None:
        response = exchange.response
        assert response is not None
        try:
            complete = await self._write_remaining_body(response)
        finally:
            assert response.rest is not None
            response.rest.close()
        if not complete:
            # The reset of the connection signals to the caller that the body is
            # incomplete.
            self.abort()
            return
        self.streaming = None
        self._finish_exchange(closes)
        self._start_held()
        self._flush()

    async def _write_remaining_body(self, response: HttpResponse) -> bool:
        assert response.rest is not None and self.transport is not None
        chunked = response.chunked
        if chunked:
            self.transport.write(encode_chunk(response.body))
        try:
            while data := await response.rest.read():
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

    # Time-outs and closing.

    def _close_after_last(self) -> None:
        if self.exchanges:
            self.exchanges[-1].keep_alive = False
        elif self.transport is not None:
            self.transport.close()

    def check_timeouts(self, now_s: float) -> None:
        """Closes the connection if it exceeds its idle or request time-out.

        Args:
            now_s: Current loop time.
        """
        limits = self.server.limits
        if self.write_closed_s is not None:
            if now_s - self.write_closed_s > _LINGER_S:
                self.abort()
            return
        self._extend_timeouts(now_s)
        if self.head_since_s is not None:
            if now_s - self.head_since_s > limits.head_timeout_ms / _MS_PER_S:
                self._reject(ErrorKind.HEAD_TIMEOUT)
            return
        idle = now_s - self.last_activity_s > limits.idle_timeout_ms / _MS_PER_S
        if idle and not self.writable.is_set():
            self._record_close(CloseReason.TIMED_OUT)
            self.abort()
        elif idle and self.reading is not None and not self.ignores_input:
            self._reject(ErrorKind.HEAD_TIMEOUT)
        elif idle:
            self.close_if_idle()

    def _extend_timeouts(self, now_s: float) -> None:
        if not self.writable.is_set():
            assert self.transport is not None
            unsent_bytes = self.transport.get_write_buffer_size()
            if unsent_bytes != self.unsent_bytes:
                self.unsent_bytes = unsent_bytes
                self.last_activity_s = now_s
        elif self.paused:
            # The caller cannot send while the node does not read.
            self.last_activity_s = now_s
            if self.head_since_s is not None:
                self.head_since_s = now_s

    @property
    def activity(self) -> ConnectionActivity:
        """What the connection is doing."""
        if any(item is not self.reading for item in self.exchanges):
            return ConnectionActivity.BUSY
        if self.reading is not None and self.reading.task is not None:
            return ConnectionActivity.BUSY
        if self.reading is not None or self.head_since_s is not None:
            return ConnectionActivity.ARRIVING
        return ConnectionActivity.IDLE

    def give_way(self) -> None:
        """Closes the connection, because others need its descriptor."""
        if self.activity is ConnectionActivity.ARRIVING:
            self._reject(ErrorKind.NO_ROOM)
            return
        self._record_close(CloseReason.NO_DESCRIPTOR)
        self.ignores_input = True
        if self.transport is not None:
            self.transport.close()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is in flight or arriving."""
        idle = not self.exchanges and self.head_since_s is None
        if idle and self.transport is not None:
            self.ignores_input = True
            self.transport.close()

    def fail_pending(self) -> None:
        """Fails unanswered requests, so that ready responses are written.

        Responses are written in the order of their requests. Without this
        method a ready response would be lost when the connection closes while
        an earlier request still has no response.
        """
        for exchange in self.exchanges:
            if exchange.response is None:
                # Without a task, the request was not passed to the handler.
                is_new = exchange.task is None
                error = RequestError(
                    ErrorKind.DRAINING if is_new else ErrorKind.STOPPED_UNKNOWN
                )
                exchange.cancel()
                exchange.response = error_response(
                    error, self.server.http_conventions
                )
                exchange.keep_alive = exchange is not self.exchanges[-1]
        self.ignores_input = True
        self._flush()

    @property
    def is_writing(self) -> bool:
        """Whether a response is pending or not fully sent."""
        if self.exchanges:
            return True
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def abort(self) -> None:
        """Closes the connection at once."""
        if self.transport is not None:
            self.transport.abort()
