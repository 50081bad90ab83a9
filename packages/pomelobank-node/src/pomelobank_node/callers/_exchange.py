"""A caller's request on one connection, and its answer."""

import asyncio

import attrs

from pomelobank_core import ErrorKind
from pomelobank_node._bodies import BodyBuffer
from pomelobank_node.callers._messages import HttpRequest, HttpResponse


@attrs.define(eq=False)
class Exchange:
    """A request and its answer.

    Attributes:
        method: HTTP method.
        target: Raw path with query.
        headers: Headers with lower-case names.
        keep_alive: Whether the caller wants the connection kept.
        parts: The body so far, until the request is handed on.
        size: Bytes of the body so far.
        upload: The rest of a long body.
        task: Finds the answer.
        response: The answer, once it is known.
    """

    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    keep_alive: bool
    parts: list[bytes] = attrs.field(factory=list)
    size: int = 0
    upload: BodyBuffer | None = None
    task: asyncio.Task[None] | None = None
    response: HttpResponse | None = None

    def request(self) -> HttpRequest:
        """Returns the request with what has been read of its body."""
        return HttpRequest(
            self.method,
            self.target,
            self.headers,
            b"".join(self.parts),
            self.upload,
        )

    def cancel(self) -> None:
        """Gives the request up: its caller has gone, or will not be told."""
        if self.task is not None:
            self.task.cancel()
        if self.upload is not None:
            self.upload.fail(ErrorKind.BODY_INCOMPLETE)
        if self.response is not None and self.response.rest is not None:
            self.response.rest.close()
