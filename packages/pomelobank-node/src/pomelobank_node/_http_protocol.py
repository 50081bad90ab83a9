"""Uvicorn's HTTP/1.1 connection with the habits that a mesh needs."""

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

# Larger heads are mistakes or attacks; common servers stop at 8 to 64 KiB.
MAX_HEAD_BYTES = 64 * 1024
MAX_HEADERS = 128
_STATUS_LINE = b"HTTP/1.1 "
_CONTINUE = b"HTTP/1.1 100"
_HEAD_END = b"\r\n\r\n"


class _JoiningTransport:
    """Sends the head of an answer together with the first part of its body.

    Uvicorn writes them one after the other. On its own each write is a system
    call and a packet, and the caller wakes up twice for one answer.
    """

    __slots__ = ("head", "inner")

    def __init__(self, inner: asyncio.Transport) -> None:
        self.inner = inner
        self.head = b""

    def write(self, data: bytes) -> None:
        """Writes, or holds a head back until the body's first part."""
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
        """Writes a head that has no body."""
        if self.head:
            head, self.head = self.head, b""
            self.inner.write(head)

    def close(self) -> None:
        """Closes after what was written is sent."""
        self.flush()
        self.inner.close()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)


class HttpProtocol(HttpToolsProtocol):
    """One caller's connection.

    Attributes:
        joining: The connection's transport, which joins head and body.
        request_task: The task of the request under way.
        head_bytes: Bytes of a head that is not complete.
        in_head: Whether a head is not complete.
    """

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Takes the connection."""
        self.joining = _JoiningTransport(transport)
        self.request_task: asyncio.Task[None] | None = None
        self.head_bytes = 0
        self.in_head = False
        super().connection_made(self.joining)  # type: ignore[arg-type]

    def data_received(self, data: bytes) -> None:
        """Takes bytes of a caller."""
        super().data_received(data)
        if self.in_head:
            self.head_bytes += len(data)
            if self.head_bytes > MAX_HEAD_BYTES:
                self.send_400_response("")

    def on_message_begin(self) -> None:
        """Begins to count the bytes of a head."""
        self.in_head = True
        self.head_bytes = 0
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Starts the request, unless its head is too large."""
        self.in_head = False
        if len(self.headers) > MAX_HEADERS:
            raise httptools.HttpParserError("too many headers")
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Sends what was held back."""
        self.joining.flush()
        super().on_response_complete()

    def send_400_response(self, msg: str) -> None:
        """Answers what is not HTTP with the system's own error."""
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            # The answer would be taken for that of the request under way.
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
    """A caller's connection whose end cancels the request under way."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request of a caller that has gone.

        Without this a target would go on working for nobody, most of all in
        an overload, when callers give up and try again.
        """
        super().connection_lost(exc)
        task = self.request_task
        if task is not None and not task.done():
            task.cancel()


def _bad_request() -> bytes:
    error = RequestError(ErrorKind.BAD_REQUEST)
    answer = error_response(error, HttpConventions(), closes=True)
    return encode_response(answer, head_only=False, closes=True)
