"""One request of a caller's connection, and its response."""

import asyncio

import attrs

from pomelobank_core import ErrorKind
from pomelobank_node._bodies import MAX_BODY_PARTS, BodyBuffer
from pomelobank_node.callers._messages import HttpRequest, HttpResponse


@attrs.define(eq=False)
class Exchange:
    """A request, the state of its body, and its response.

    Attributes:
        method: HTTP method.
        target: Raw path with query.
        headers: Headers with lower-case names.
        head_length: Number of headers that belong to the head. The parser adds
            the trailers of a chunked body to the headers.
        keep_alive: Whether the connection stays open after the response.
        head_cost: Memory that the head takes in bytes.
        parts: Body data received before the handler is called.
        inline_bytes: Bytes of `parts`, also once the handler has them.
        size: Bytes of the body received so far.
        length: Stated length of the body; None if the head states none.
        upload: Receives the remainder of a body that is too long to buffer;
            None for other requests.
        task: Runs the handler; None until the handler is called.
        response: The response; None until the handler returns.
        collected: Whether the response's body was collected as far as possible.
        collected_bytes: Bytes of the body that are being collected.
    """

    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    keep_alive: bool
    head_cost: int = 0
    parts: list[bytes] = attrs.field(factory=list)
    inline_bytes: int = 0
    size: int = 0
    length: int | None = None
    upload: BodyBuffer | None = None
    task: asyncio.Task[None] | None = None
    response: HttpResponse | None = None
    collected: bool = False
    collected_bytes: int = 0
    head_length: int = attrs.field(init=False)

    @head_length.default
    def _initial_length(self) -> int:
        return len(self.headers)

    @property
    def held_bytes(self) -> int:
        """Bytes that the request or its response occupies in memory."""
        if self.response is not None:
            return len(self.response.body) + self.collected_bytes
        held_bytes = self.head_cost + self.inline_bytes
        return held_bytes + self.upload.size if self.upload else held_bytes

    def add_part(self, data: bytes) -> None:
        """Adds body data that the handler gets with the request's head."""
        self.parts.append(data)
        self.inline_bytes += len(data)
        if len(self.parts) >= MAX_BODY_PARTS:
            self.parts = [b"".join(self.parts)]

    def request(self) -> HttpRequest:
        """Returns the request, with the body data received so far, once."""
        body = b"".join(self.parts)
        self.parts = []
        return HttpRequest(
            self.method,
            self.target,
            self.headers,
            body,
            self.upload,
            self.head_length,
        )

    def discard_body(self) -> None:
        """Releases the request's body; the handler must not need it."""
        self.parts = []
        self.inline_bytes = 0
        if self.upload is not None:
            self.upload.close()

    def cancel(self) -> None:
        """Cancels the handler and closes the bodies of request and response.

        The connection calls this method when the caller has disconnected or
        when the connection closes before this response can be written.
        """
        if self.task is not None:
            self.task.cancel()
        if self.upload is not None:
            self.upload.fail(ErrorKind.BODY_INCOMPLETE)
        if self.response is not None and self.response.rest is not None:
            self.response.rest.close()
