"""One HTTP/1.1 connection to the node's own target."""

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
_HEAD = b"HEAD "


@attrs.frozen
class ExpectedId:
    """The header by which a target repeats the id of a request.

    Attributes:
        header: The header's name, in lower case.
        value: The id.
    """

    header: bytes
    value: bytes


@attrs.frozen
class UpstreamResponse:
    """An answer of the target.

    Attributes:
        status: HTTP status.
        headers: Headers as received.
        body: The whole body, or its first part.
        rest: The rest of the body, None where it is whole.
    """

    status: int
    headers: Headers
    body: bytes
    rest: BodyBuffer | None = None


class ConnectionPool(Protocol):
    """Where a connection returns to after its request.

    Attributes:
        max_body_bytes: Largest answer that is taken.
        allows_close_delimited: Whether the end of the connection may end an
            answer.
    """

    max_body_bytes: int
    allows_close_delimited: bool

    def release(self, connection: UpstreamConnection) -> None:
        """Takes a connection whose request has ended."""

    def remove(self, connection: UpstreamConnection) -> None:
        """Drops a connection that was closed."""


class UpstreamConnection(asyncio.Protocol):
    """Carries one request at a time.

    Attributes:
        pool: Where it returns to after a request.
        transport: The connection.
        open: Whether it can be used.
        idle_since_s: Loop time since which it has no request.
        timer: Ends the request under way at its deadline.
        upload: Sends the rest of the request's body.
        uploading: Whether that has not come to its end.
        expected_id: Id that the answer must bear where it bears one.
        foreign: Whether the answer being read belongs to another request.
        met_foreign: Whether one was read since the request was sent.
        until_closed: Whether the answer's body ends with the connection.
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
        self.met_foreign = False
        self.write_ready = asyncio.Event()
        self.write_ready.set()
        self.poll = select.poll()
        self._reset()

    def _reset(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: list[bytes] = []
        self.size = 0
        self.started = False
        self.foreign = False
        self.until_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.loop = asyncio.get_running_loop()
        self.open = True
        enable_dead_peer_detection(transport)
        sock = transport.get_extra_info("socket")
        self.poll.register(sock.fileno(), select.POLLIN)

    def is_usable(self) -> bool:
        """Tells whether a request can be sent without a doubt.

        A target may close a connection just when it is taken out of the pool.
        The request would be lost with nobody knowing whether it ran. So the
        kernel is asked whether the target's end has arrived before the event
        loop has seen it; the pool leaves those alone that were idle for long.
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
            deadline_s: Loop time at which it is given up, its answer's body
                included.
            expected_id: Id that the answer must bear where it bears one.

        Returns:
            The answer, once its head and first part are there.
        """
        assert self.transport is not None
        self.expected_id = expected_id
        self.met_foreign = False
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
            source: The rest.
            chunked: Whether it goes in HTTP's chunks.
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
            # Closing the connection is what tells the target that the body
            # is not whole.
            self.fail(error.kind)
        finally:
            source.close()

    @property
    def busy(self) -> bool:
        """Whether a request is under way."""
        return self.future is not None or self.rest is not None

    def data_received(self, data: bytes) -> None:
        """Parses what came in."""
        if not self.busy:
            # Bytes that answer no request must never be taken for the answer
            # to the next one.
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.fail(ErrorKind.ANSWER_TRUNCATED)

    def eof_received(self) -> None:
        """Completes an answer whose body ends with the connection.

        A connection that is reset on the way never comes here, so what was
        cut off is not taken for the whole.
        """
        if self.busy and self.until_closed and not self.foreign:
            self._complete()

    def connection_lost(self, _: Exception | None) -> None:
        """Ends the request under way."""
        self.open = False
        self.write_ready.set()
        self.pool.remove(self)
        self.fail(
            ErrorKind.ANSWER_TRUNCATED
            if self.started
            else ErrorKind.UPSTREAM_LOST
        )

    def pause_writing(self) -> None:
        """Stops the upload until the target has read more."""
        self.write_ready.clear()

    def resume_writing(self) -> None:
        """Continues the upload."""
        self.write_ready.set()

    def on_message_begin(self) -> None:
        """Notes that an answer has begun."""
        self.started = True
        if not self.busy:
            # More bytes came with the end of an answer; see data_received.
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header."""
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Refuses what is too large; ends an answer without a body."""
        if not self._is_final():
            return
        length = content_length(self.headers)
        self.foreign = self._is_foreign()
        if self.foreign:
            return
        self.until_closed = length is None and self._has_open_end()
        if self.head_only:
            self._complete()
        elif length is not None and length > self.pool.max_body_bytes:
            self.fail(ErrorKind.ANSWER_TOO_LARGE)

    def _is_foreign(self) -> bool:
        # A target may send a second answer to an earlier request, where the
        # answer to this one is due. Handed on, it would tell this caller what
        # belongs to another; the id is what gives it away.
        expected = self.expected_id
        if expected is None:
            return False
        value = find_header(self.headers, expected.header)
        return value is not None and value != expected.value

    def _has_open_end(self) -> bool:
        if not self.pool.allows_close_delimited:
            return False
        if self.parser.get_status_code() in NO_BODY_STATUSES:
            return False
        return find_header(self.headers, b"transfer-encoding") is None

    def on_body(self, data: bytes) -> None:
        """Collects the body, or passes it on once it is large."""
        if not self.busy or self.foreign:
            return
        self.size += len(data)
        if self.size > self.pool.max_body_bytes:
            self.fail(ErrorKind.ANSWER_TOO_LARGE)
        elif self.rest is not None:
            self._pass_on(self.rest, data)
        else:
            self.chunks.append(data)
            if self.size > MAX_INLINE_BODY_BYTES:
                self._begin_rest()

    def _begin_rest(self) -> None:
        rest = BodyBuffer(self._was_read, lambda: self._rest_closed(rest))
        self.rest = rest
        self._answer(rest)

    def _pass_on(self, rest: BodyBuffer, data: bytes) -> None:
        rest.put(data)
        if rest.size > WINDOW_BYTES and self.transport is not None:
            # The caller reads more slowly than the target writes.
            self.transport.pause_reading()

    def _was_read(self, _: int) -> None:
        rest, transport = self.rest, self.transport
        if rest is None or transport is None or transport.is_closing():
            return
        if rest.size <= WINDOW_BYTES // 2:
            transport.resume_reading()

    def _rest_closed(self, rest: BodyBuffer) -> None:
        # The connection may carry another request by now.
        if self.rest is rest:
            self.close()

    def _is_final(self) -> bool:
        return bool(self.parser.get_status_code() >= _FIRST_FINAL_STATUS)

    def on_message_complete(self) -> None:
        """Ends the answer."""
        if self.foreign or not self._is_final():
            self.met_foreign = self.met_foreign or self.foreign
            self.headers = []
            self.started = False
            self.foreign = False
            return
        self._complete()

    def _complete(self) -> None:
        if not self.busy:
            return
        keep = self.parser.should_keep_alive() and not self.uploading
        # Where one answer came twice, the next may do so too.
        keep = keep and not self.until_closed and not self.met_foreign
        self._end_helpers()
        if self.rest is not None:
            self.rest.end()
            self.rest = None
            assert self.transport is not None
            self.transport.resume_reading()
        else:
            self._answer(None)
        if self.head_only or not keep:
            self.close()
            return
        self._reset()
        self.pool.release(self)

    def _answer(self, rest: BodyBuffer | None) -> None:
        answer = UpstreamResponse(
            self.parser.get_status_code(),
            self.headers,
            b"".join(self.chunks),
            rest,
        )
        self.chunks = []
        future, self.future = self.future, None
        if future is not None and not future.done():
            future.set_result(answer)

    def _end_helpers(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.upload is not None:
            self.upload.cancel()
            self.upload = None

    def fail(self, kind: ErrorKind) -> None:
        """Ends the request under way with an error; closes the connection."""
        self._end_helpers()
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
