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
        head_bytes: Bytes of the head that is being received.
        in_head: Whether a head is being received.
    """

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Wraps the transport of a new connection."""
        self.coalescing_transport = _CoalescingTransport(transport)
        self.request_task: asyncio.Task[None] | None = None
        self.head_bytes = 0
        self.in_head = False
        super().connection_made(self.coalescing_transport)  # type: ignore[arg-type]

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; rejects a head that is too large."""
        super().data_received(data)
        if self.in_head:
            self.head_bytes += len(data)
            if self.head_bytes > MAX_HEAD_BYTES:
                self.send_400_response("")

    def on_message_begin(self) -> None:
        """Starts to count the bytes of a head."""
        self.in_head = True
        self.head_bytes = 0
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Starts the request, or rejects a head with too many headers."""
        self.in_head = False
        if len(self.headers) > MAX_HEADERS:
            raise httptools.HttpParserError("too many headers")
        super().on_headers_complete()

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
