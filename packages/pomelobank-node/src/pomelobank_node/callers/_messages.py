"""HTTP/1.1 requests and responses of the node's servers."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

import attrs

from pomelobank_node._bodies import BodySource
from pomelobank_node._http_messages import (
    CONTENT_LENGTH,
    NO_BODY_STATUSES,
    find_header,
)
from pomelobank_node._requests import Headers

_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode()
    for status in HTTPStatus
}


@attrs.frozen
class HttpLimits:
    """Limits on the size and the duration of callers' requests.

    Attributes:
        head_bytes: Maximum size of a request's head.
        body_bytes: Maximum size of a request's body.
        head_timeout_ms: Maximum time from the first byte of a head to its end.
        idle_timeout_ms: Maximum time that an idle connection stays open.
    """

    # Maximum size of a head. Common servers reject heads above 8 to 64 KiB;
    # larger heads are errors of the caller or attacks.
    head_bytes: int = 64 * 1024
    # Maximum size of a body. The largest legitimate body, a complete revision
    # history, has tens of megabytes.
    body_bytes: int = 64 * 1024 * 1024
    # Time limit for receiving a head. A head is one or two packets, and ten
    # seconds leave time for their TCP retransmissions.
    head_timeout_ms: int = 10_000
    # Idle time after which the server closes a connection. Callers' HTTP
    # libraries commonly close idle connections after a minute, so the caller
    # mostly closes first.
    idle_timeout_ms: int = 75_000


@attrs.frozen(eq=False)
class HttpRequest:
    """A request received from a caller.

    Attributes:
        method: HTTP method.
        target: Raw path with query.
        headers: Headers with lower-case names.
        body: The whole body, or its first part.
        rest: The remaining body; None if `body` is the whole body.
        head_length: Number of headers that belong to the head; the others are
            trailers. None if all headers belong to the head.
    """

    method: str
    target: bytes
    headers: Headers
    body: bytes = b""
    rest: BodySource | None = None
    head_length: int | None = None

    @property
    def head_headers(self) -> Headers:
        """Headers without trailers, which must not authenticate a request."""
        if self.head_length in (None, len(self.headers)):
            return self.headers
        return self.headers[: self.head_length]


@attrs.frozen(eq=False)
class HttpResponse:
    """A response to a caller.

    Attributes:
        status: HTTP status.
        headers: Headers, without hop-by-hop headers.
        body: The whole body, or its first part.
        rest: The remaining body; None if `body` is the whole body.
        closes: Whether the connection is closed after the response.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    rest: BodySource | None = None
    closes: bool = False

    @property
    def chunked(self) -> bool:
        """Whether the body is sent chunked because its length is unknown."""
        if self.rest is None:
            return False
        return find_header(self.headers, CONTENT_LENGTH) is None


def encode_response(
    response: HttpResponse, head_only: bool, closes: bool
) -> bytes:
    """Returns the encoded head of a response and the first part of its body.

    The first part of a chunked body is left to the caller of this function.

    Args:
        response: The response.
        head_only: Whether the body is omitted, as for a HEAD request.
        closes: Whether the connection is closed after the response.
    """
    parts = [
        _STATUS_LINES.get(response.status)
        or _nonstandard_status_line(response.status)
    ]
    complete = response.rest is None and not head_only
    for name, value in response.headers:
        if not (complete and name == CONTENT_LENGTH):
            parts += (name, b": ", value, b"\r\n")
    if complete and response.status not in NO_BODY_STATUSES:
        parts.append(b"content-length: %d\r\n" % len(response.body))
    elif response.chunked and not head_only:
        parts.append(b"transfer-encoding: chunked\r\n")
    if closes:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    if not head_only and not response.chunked:
        parts.append(response.body)
    return b"".join(parts)


def _nonstandard_status_line(status: int) -> bytes:
    return b"HTTP/1.1 %d \r\n" % status


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
