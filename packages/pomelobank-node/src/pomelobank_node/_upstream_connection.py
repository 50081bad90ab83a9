"""A single HTTP/1.1 connection to the node's own target."""

from __future__ import annotations

import asyncio
import select
from typing import Protocol

import attrs
import httptools

from pomelobank_core import ErrorKind
from pomelobank_node._bodies import (
    MAX_INLINE_BODY_BYTES,
    WINDOW_BYTES,
    BodyBuffer,
    BodySource,
)
from pomelobank_node._http_messages import (
    LAST_CHUNK,
    NO_BODY_STATUSES,
    content_length,
    encode_chunk,
    find_header,
)
from pomelobank_node._requests import Headers, RequestError
from pomelobank_node._socket_options import enable_dead_peer_detection

_FIRST_FINAL_STATUS = 200
# Maximum size of all that is not a body: heads, trailers and the framing of
# chunks. Common servers limit a head to 8 to 64 KiB.
_MAX_OVERHEAD_BYTES = 64 * 1024
# Overhead that is allowed for each byte of a body, because a chunk of one byte
# has five bytes of framing.
_MAX_OVERHEAD_RATIO = 8
_HEAD = b"HEAD "


@attrs.frozen
class ExpectedId:
    """The header in which a target repeats the id of a request.

    Attributes:
        header: The header's name, in lower case.
        value: The id.
    """

    header: bytes
    value: bytes


@attrs.frozen
class UpstreamResponse:
    """A response of the target.

    Attributes:
        status: HTTP status.
        headers: Headers as received.
        body: The whole body, or its first part.
        rest: The rest of the body, None if `body` is the whole body.
    """

    status: int
    headers: Headers
    body: bytes
    rest: BodyBuffer | None = None


class ConnectionPool(Protocol):
    """The pool that a connection is released to after its request.

    Attributes:
        max_body_bytes: Size of the largest response body that is accepted.
        allows_close_delimited: Whether the end of the connection may end a
            response.
    """

    max_body_bytes: int
    allows_close_delimited: bool

    def release(self, connection: UpstreamConnection) -> None:
        """Returns a connection whose request has ended to the pool."""

    def remove(self, connection: UpstreamConnection) -> None:
        """Removes a closed connection from the pool."""


class UpstreamConnection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Attributes:
        pool: Pool that the connection is released to after a request.
        transport: The transport of the connection.
        open: Whether the connection can be used.
        idle_since_s: Loop time at which the last request ended.
        future: Receives the response or the error of the current request.
        rest: Buffer for the rest of a streamed response body.
        timer: Fails the current request at its deadline.
        upload: Task that sends the rest of the request's body.
        uploading: Whether a part of the request's body is still unsent.
        head_only: Whether the current request is a HEAD request.
        expected_id: Id that the response must have if it has an id.
        is_other_response: Whether the response being read belongs to another
            request.
        saw_other_response: Whether a response to another request was read since
            the current request was sent.
        close_delimited: Whether the end of the connection ends the response
            body.
        started: Whether a response to the current request has begun.
        received_bytes: Bytes received since the current request was sent.
        body_bytes: Bytes of bodies among them, also of other responses.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.loop: asyncio.AbstractEventLoop
        self.open = False
        self.idle_since_s = 0.0
        self.future: asyncio.Future[UpstreamResponse] | None = None
        self.rest: BodyBuffer | None = None
        self.upload: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.uploading = False
        self.head_only = False
        self.expected_id: ExpectedId | None = None
        self.saw_other_response = False
        self.write_ready = asyncio.Event()
        self.write_ready.set()
        self.poll = select.poll()
        self._reset()

    def _reset(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: list[bytes] = []
        self.size = 0
        self.received_bytes = 0
        self.body_bytes = 0
        self.started = False
        self.is_other_response = False
        self.close_delimited = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and prepares the socket."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.loop = asyncio.get_running_loop()
        self.open = True
        enable_dead_peer_detection(transport)
        sock = transport.get_extra_info("socket")
        self.poll.register(sock.fileno(), select.POLLIN)

    def is_usable(self) -> bool:
        """Tells whether a request can be sent safely on the connection.

        A target may close a connection just before the pool hands it out. A
        request on that connection would be lost, and the node would not know
        whether the request ran. The method therefore asks the kernel whether
        the target's end of stream has arrived before the event loop has read
        it. The pool does not reuse connections that were idle for long.
        """
        return self.open and not self.poll.poll(0)

    def send(
        self,
        data: bytes,
        deadline_s: float | None,
        expected_id: ExpectedId | None = None,
    ) -> asyncio.Future[UpstreamResponse]:
        """Sends a request, or the first part of it.

        Args:
            data: Head and body.
            deadline_s: Loop time at which the request fails; the deadline
                includes the whole response body.
            expected_id: Id that the response must have if it has an id.

        Returns:
            The response, once its head and first part have arrived.
        """
        assert self.transport is not None
        self.expected_id = expected_id
        self.saw_other_response = False
        self.future = self.loop.create_future()
        if deadline_s is not None:
            self.timer = self.loop.call_at(
                deadline_s, self.fail, ErrorKind.DEADLINE_UNKNOWN
            )
        self.head_only = data.startswith(_HEAD)
        self.transport.write(data)
        return self.future

    def start_upload(self, source: BodySource, chunked: bool) -> None:
        """Sends the rest of the request's body.

        Args:
            source: The rest of the body.
            chunked: Whether the rest is sent with chunked transfer encoding.
        """
        self.uploading = True
        self.upload = asyncio.create_task(self._upload(source, chunked))

    async def _upload(self, source: BodySource, chunked: bool) -> None:
        assert self.transport is not None
        try:
            while data := await source.read():
                await self.write_ready.wait()
                if not self.open:
                    return
                self.transport.write(encode_chunk(data) if chunked else data)
            if chunked:
                self.transport.write(LAST_CHUNK)
            self.uploading = False
        except RequestError as error:
            # The closed connection tells the target that the body is
            # incomplete.
            self.fail(error.kind)
        finally:
            source.close()

    @property
    def busy(self) -> bool:
        """Whether the connection has a request in flight."""
        return self.future is not None or self.rest is not None

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if not self.busy:
            # Bytes that the target sends without a request must not be
            # treated as the response to the next request.
            self.close()
            return
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.fail(ErrorKind.ANSWER_TRUNCATED)
        self._limit_overhead()

    def _limit_overhead(self) -> None:
        # A faulty target may send a head without end, or any number of
        # responses to other requests.
        overhead_bytes = self.received_bytes - self.body_bytes
        max_bytes = _MAX_OVERHEAD_BYTES + _MAX_OVERHEAD_RATIO * self.body_bytes
        if self.busy and overhead_bytes > max_bytes:
            self.fail(ErrorKind.ANSWER_TRUNCATED)

    def eof_received(self) -> None:
        """Completes a response whose body ends with the connection.

        asyncio does not call this method for a connection that was reset, so a
        truncated response is not treated as complete.
        """
        if self.busy and self.close_delimited and not self.is_other_response:
            self._complete()

    def connection_lost(self, _: Exception | None) -> None:
        """Fails the request in flight."""
        self.open = False
        self.write_ready.set()
        self.pool.remove(self)
        self.fail(
            ErrorKind.ANSWER_TRUNCATED
            if self.started
            else ErrorKind.UPSTREAM_LOST
        )

    def pause_writing(self) -> None:
        """Pauses the upload until the target has read more bytes."""
        self.write_ready.clear()

    def resume_writing(self) -> None:
        """Continues the upload."""
        self.write_ready.set()

    def on_message_begin(self) -> None:
        """Records that a response has begun."""
        self.started = True
        if not self.busy:
            # The target sent more bytes after the end of a response; see
            # data_received.
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Rejects a too large response; completes a response without body."""
        if not self._is_final():
            return
        length = content_length(self.headers)
        self.is_other_response = self._is_foreign()
        if self.is_other_response:
            return
        self.close_delimited = length is None and self._is_close_delimited()
        if self.head_only:
            self._complete()
        elif length is not None and length > self.pool.max_body_bytes:
            self.fail(ErrorKind.ANSWER_TOO_LARGE)

    def _is_foreign(self) -> bool:
        # A target may send a second response to an earlier request in place of
        # the response to this request. If the node passed it on, this caller
        # would receive the data of another caller. The request id in the
        # response shows which request the response belongs to.
        expected = self.expected_id
        if expected is None:
            return False
        value = find_header(self.headers, expected.header)
        return value is not None and value != expected.value

    def _is_close_delimited(self) -> bool:
        if not self.pool.allows_close_delimited:
            return False
        if self.parser.get_status_code() in NO_BODY_STATUSES:
            return False
        return find_header(self.headers, b"transfer-encoding") is None

    def on_body(self, data: bytes) -> None:
        """Collects the body, or streams the body once it is large."""
        if not self.busy:
            return
        self.body_bytes += len(data)
        if not self.is_other_response:
            self.size += len(data)
        max_bytes = self.pool.max_body_bytes
        if max(self.size, self.body_bytes - self.size) > max_bytes:
            self.fail(ErrorKind.ANSWER_TOO_LARGE)
        elif self.is_other_response:
            return
        elif self.rest is not None:
            self._buffer_part(self.rest, data)
        else:
            self.chunks.append(data)
            if self.size > MAX_INLINE_BODY_BYTES:
                self._start_streaming()

    def _start_streaming(self) -> None:
        rest = BodyBuffer(
            self._on_part_read, lambda: self._on_rest_closed(rest)
        )
        self.rest = rest
        self._deliver_response(rest)

    def _buffer_part(self, rest: BodyBuffer, data: bytes) -> None:
        rest.put(data)
        if rest.size > WINDOW_BYTES and self.transport is not None:
            # The caller reads more slowly than the target writes, so the node
            # applies back-pressure to the target.
            self.transport.pause_reading()

    def _on_part_read(self, _: int) -> None:
        rest, transport = self.rest, self.transport
        if rest is None or transport is None or transport.is_closing():
            return
        if rest.size <= WINDOW_BYTES // 2:
            transport.resume_reading()

    def _on_rest_closed(self, rest: BodyBuffer) -> None:
        # The connection is closed only if it still carries this body; it may
        # already carry another request.
        if self.rest is rest:
            self.close()

    def _is_final(self) -> bool:
        return bool(self.parser.get_status_code() >= _FIRST_FINAL_STATUS)

    def on_message_complete(self) -> None:
        """Completes the response."""
        if self.is_other_response or not self._is_final():
            self.saw_other_response = (
                self.saw_other_response or self.is_other_response
            )
            self.headers = []
            self.started = False
            self.is_other_response = False
            return
        self._complete()

    def _complete(self) -> None:
        if not self.busy:
            return
        keep_alive = self.parser.should_keep_alive() and not self.uploading
        # A target that sent one response twice may also send the next
        # response twice, so the connection is not reused.
        keep_alive = (
            keep_alive
            and not self.close_delimited
            and not self.saw_other_response
        )
        self._cancel_timer_and_upload()
        if self.rest is not None:
            self.rest.end()
            self.rest = None
            assert self.transport is not None
            self.transport.resume_reading()
        else:
            self._deliver_response(None)
        if self.head_only or not keep_alive:
            self.close()
            return
        self._reset()
        self.pool.release(self)

    def _deliver_response(self, rest: BodyBuffer | None) -> None:
        response = UpstreamResponse(
            self.parser.get_status_code(),
            self.headers,
            b"".join(self.chunks),
            rest,
        )
        self.chunks = []
        future, self.future = self.future, None
        if future is not None and not future.done():
            future.set_result(response)

    def _cancel_timer_and_upload(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.upload is not None:
            self.upload.cancel()
            self.upload = None

    def fail(self, kind: ErrorKind) -> None:
        """Fails the request in flight with an error; closes the connection."""
        self._cancel_timer_and_upload()
        future, self.future = self.future, None
        rest, self.rest = self.rest, None
        if future is not None and not future.done():
            future.set_exception(RequestError(kind))
        if rest is not None:
            rest.fail(kind)
        self.close()

    def close(self) -> None:
        """Closes the connection at once."""
        self.open = False
        if self.transport is not None:
            self.transport.abort()
