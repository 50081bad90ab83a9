"""One request of a caller's connection, and its response."""

import asyncio

import attrs

from pomelobank_core import ErrorKind
from pomelobank_node._bodies import BodyBuffer
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
        parts: Body data received before the handler is called.
        size: Bytes of the body received so far.
        length: Stated length of the body; None if the head states none.
        upload: Receives the remainder of a body that is too long to buffer;
            None for other requests.
        task: Runs the handler; None until the handler is called.
        response: The response; None until the handler returns.
        collected: Whether the response's body was collected as far as possible.
    """

    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    keep_alive: bool
    parts: list[bytes] = attrs.field(factory=list)
    size: int = 0
    length: int | None = None
    upload: BodyBuffer | None = None
    task: asyncio.Task[None] | None = None
    response: HttpResponse | None = None
    collected: bool = False
    head_length: int = attrs.field(init=False)

    @head_length.default
    def _initial_length(self) -> int:
        return len(self.headers)

    def request(self) -> HttpRequest:
        """Returns the request with the body data received so far."""
        return HttpRequest(
            self.method,
            self.target,
            self.headers,
            b"".join(self.parts),
            self.upload,
            self.head_length,
        )

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
