"""Requests and answers of HTTP/1.1 as the node's servers exchange them."""

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
    """What a caller may send, and how long it may take.

    Attributes:
        head_bytes: Largest head of a request.
        body_bytes: Largest body of a request.
        head_timeout_ms: Longest time from the first byte of a head to its end.
        idle_timeout_ms: Longest time that a connection is kept unused.
    """

    # Common servers stop at 8 to 64 KiB; larger heads are mistakes or attacks.
    head_bytes: int = 64 * 1024
    # A complete revision history is tens of megabytes.
    body_bytes: int = 64 * 1024 * 1024
    # A head is one or two packets; ten seconds outlast their repeats.
    head_timeout_ms: int = 10_000
    # Callers' libraries commonly keep connections for a minute.
    idle_timeout_ms: int = 75_000


@attrs.frozen(eq=False)
class HttpRequest:
    """A request as it was read.

    Attributes:
        method: HTTP method.
        target: Raw path with query.
        headers: Headers with lower-case names.
        body: Whole body, or its first part.
        rest: The rest of the body, None where `body` is the whole.
    """

    method: str
    target: bytes
    headers: Headers
    body: bytes = b""
    rest: BodySource | None = None


@attrs.frozen(eq=False)
class HttpResponse:
    """An answer to be written.

    Attributes:
        status: HTTP status.
        headers: Headers, without those of the connection.
        body: Whole body, or its first part.
        rest: The rest of the body, None where `body` is the whole.
        closes: Whether the connection ends after it.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    rest: BodySource | None = None
    closes: bool = False

    @property
    def chunked(self) -> bool:
        """Whether the body's length is not known when the head is written."""
        if self.rest is None:
            return False
        return find_header(self.headers, CONTENT_LENGTH) is None


def encode_response(
    answer: HttpResponse, head_only: bool, closes: bool
) -> bytes:
    """Returns the bytes of an answer's head and of its body's first part.

    Args:
        answer: The answer.
        head_only: Whether it answers a HEAD request and so has no body.
        closes: Whether the connection ends after it.
    """
    parts = [_STATUS_LINES.get(answer.status) or _unnamed(answer.status)]
    whole = answer.rest is None and not head_only
    for name, value in answer.headers:
        if not (whole and name == CONTENT_LENGTH):
            parts += (name, b": ", value, b"\r\n")
    if whole and answer.status not in NO_BODY_STATUSES:
        parts.append(b"content-length: %d\r\n" % len(answer.body))
    elif answer.chunked and not head_only:
        parts.append(b"transfer-encoding: chunked\r\n")
    if closes:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    if not head_only and not answer.chunked:
        parts.append(answer.body)
    return b"".join(parts)


def _unnamed(status: int) -> bytes:
    return b"HTTP/1.1 %d \r\n" % status


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
