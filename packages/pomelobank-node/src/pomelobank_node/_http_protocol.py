"""Uvicorn's HTTP/1.1 protocol with head limits and fewer writes."""

import asyncio
from typing import Any

import httptools
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from pomelobank_core import ErrorKind
from pomelobank_node._http_conventions import HttpConventions
from pomelobank_node._requests import RequestError
from pomelobank_node.callers import error_response
from pomelobank_node.callers._messages import encode_response

# Maximum size of a head. Common servers reject heads above 8 to 64 KiB; larger
# heads are errors of the caller or attacks.
MAX_HEAD_BYTES = 64 * 1024
MAX_HEADERS = 128
# Maximum size of a body. Announcements have a few hundred bytes.
MAX_BODY_BYTES = 64 * 1024
# Time limit for receiving a whole request.
REQUEST_TIMEOUT_S = 10.0
# Maximum number of bytes that are parsed before the limits are checked.
_SLICE_BYTES = 4 * 1024
_STATUS_LINE = b"HTTP/1.1 "
_CONTINUE = b"HTTP/1.1 100"
_HEAD_END = b"\r\n\r\n"


class _CoalescingTransport:
    """Sends the head of a response together with the first part of its body.

    Uvicorn writes the head and the body separately. Each write costs a system
    call and a packet, and wakes up the caller once more.
    """

    __slots__ = ("head", "inner")

    def __init__(self, inner: asyncio.Transport) -> None:
        self.inner = inner
        self.head = b""

    def write(self, data: bytes) -> None:
        """Writes data; delays a head until the first part of the body."""
        if self.head:
            data = self.head + data
            self.head = b""
        elif (
            data.startswith(_STATUS_LINE)
            and data.endswith(_HEAD_END)
            and not data.startswith(_CONTINUE)
        ):
            self.head = data
            return
        self.inner.write(data)

    def flush(self) -> None:
        """Writes a delayed head whose response has no body."""
        if self.head:
            head, self.head = self.head, b""
            self.inner.write(head)

    def close(self) -> None:
        """Closes the transport after sending all written data."""
        self.flush()
        self.inner.close()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)


class HttpProtocol(HttpToolsProtocol):
    """One connection to a server of the node.

    Attributes:
        coalescing_transport: The connection's transport, which sends a
            response's head together with its body.
        request_task: The task of the request in flight.
        received_bytes: Bytes of the request that is being received.
        body_bytes: Bytes of its body.
    """

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Wraps the transport of a new connection."""
        self.coalescing_transport = _CoalescingTransport(transport)
        self.request_task: asyncio.Task[None] | None = None
        self.received_bytes = self.body_bytes = 0
        super().connection_made(self.coalescing_transport)  # type: ignore[arg-type]

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; closes at a request that is too large."""
        for start in range(0, len(data), _SLICE_BYTES):
            if self.transport.is_closing():
                return
            self._parse(data[start : start + _SLICE_BYTES])

    def _parse(self, data: bytes) -> None:
        self.received_bytes += len(data)
        super().data_received(data)
        if self.exceeds_limits():
            self.send_400_response("")

    def exceeds_limits(self) -> bool:
        """Tells whether the request that is being received is too large."""
        overhead_bytes = self.received_bytes - self.body_bytes
        # A chunk of one byte has five bytes of framing.
        return overhead_bytes > MAX_HEAD_BYTES + 8 * self.body_bytes

    def on_message_begin(self) -> None:
        """Starts to count the bytes of a request."""
        self.received_bytes = self.body_bytes = 0
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header or a trailer, or rejects one too many."""
        super().on_header(name, value)
        if len(self.headers) > MAX_HEADERS:
            raise httptools.HttpParserError("too many headers")

    def on_body(self, body: bytes) -> None:
        """Counts and stores a part of a body."""
        self.body_bytes += len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Ends the count of a complete request."""
        self.received_bytes = self.body_bytes = 0
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Sends a delayed head."""
        self.coalescing_transport.flush()
        super().on_response_complete()

    def send_400_response(self, msg: str) -> None:
        """Responds to malformed HTTP with the node's own error format."""
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            # The connection is closed without an error response, because the
            # caller would take the error for the response to the request in
            # flight.
            self.transport.close()
            return
        if not self.transport.is_closing():
            self.transport.write(_bad_request())
            self.transport.close()

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        task = self.loop.create_task(cycle.run_asgi(app))
        task.add_done_callback(self.tasks.discard)
        self.tasks.add(task)
        self.request_task = task


class BoundedHttpProtocol(HttpProtocol):
    """A connection that may send short requests only, each within some time.

    Attributes:
        request_timer: Closes the connection if the request is not complete.
    """

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Starts the timer; closes the connection above the limit."""
        self.request_timer: asyncio.TimerHandle | None = None
        super().connection_made(transport)
        self._start_timer()
        limit = self.limit_concurrency
        if limit is not None and len(self.connections) > limit:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the timer."""
        self._stop_timer()
        super().connection_lost(exc)

    def _start_timer(self) -> None:
        self._stop_timer()
        self.request_timer = self.loop.call_later(
            REQUEST_TIMEOUT_S, self.transport.close
        )

    def _stop_timer(self) -> None:
        if self.request_timer is not None:
            self.request_timer.cancel()
            self.request_timer = None

    def exceeds_limits(self) -> bool:
        """Tells whether the request that is being received is too large."""
        return super().exceeds_limits() or self.body_bytes > MAX_BODY_BYTES

    def on_message_begin(self) -> None:
        """Starts the timer of a request."""
        self._start_timer()
        super().on_message_begin()

    def on_message_complete(self) -> None:
        """Stops the timer of a complete request."""
        self._stop_timer()
        super().on_message_complete()


class CancellingHttpProtocol(HttpProtocol):
    """A connection whose loss cancels the request in flight."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request of a caller that has disconnected.

        Without the cancellation a target would spend its slots on responses
        that no caller reads, most of all under overload, when callers time out
        and retry.
        """
        super().connection_lost(exc)
        task = self.request_task
        if task is not None and not task.done():
            task.cancel()


def _bad_request() -> bytes:
    error = RequestError(ErrorKind.BAD_REQUEST)
    response = error_response(error, HttpConventions(), closes=True)
    return encode_response(response, head_only=False, closes=True)
