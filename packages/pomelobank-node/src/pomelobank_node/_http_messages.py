"""Encodes HTTP/1.1 requests and selects the headers to forward."""

from pomelobank_node._requests import Headers

CONTENT_LENGTH = b"content-length"
# Headers of an error response of the node: the kind of the error, and whether
# the request ran.
ERROR_HEADER = b"x-pomelobank-error"
RUN_HEADER = b"x-pomelobank-run"
# Responses with these statuses have no body, even if their headers state a
# length.
NO_BODY_STATUSES = frozenset({204, 304})
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        CONTENT_LENGTH,
        b"expect",
    }
)
# Values of the connection header that are not names of further headers.
_CONNECTION_OPTIONS = frozenset({b"keep-alive", b"close"})


def end_to_end(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Returns the headers to forward, without hop-by-hop headers.

    The connection header may name further headers that are hop-by-hop.

    >>> end_to_end([(b"te", b"trailers"), (b"accept", b"*/*")])
    [(b'accept', b'*/*')]
    >>> end_to_end([(b"connection", b"X-Hop"), (b"x-hop", b"1")])
    []
    """
    dropped = _HOP_BY_HOP
    named = find_header(headers, b"connection")
    if named is not None and named.lower() not in _CONNECTION_OPTIONS:
        dropped = dropped | {item.strip() for item in named.lower().split(b",")}
    return [item for item in headers if item[0] not in dropped]


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header; None if the header is absent."""
    for key, value in headers:
        if key == name:
            return value
    return None


def content_length(headers: Headers) -> int | None:
    """Returns the value of the content-length header as a number.

    Returns None if the header is absent or not a number.

    >>> content_length([(b"content-length", b"12")])
    12
    """
    value = find_header(headers, CONTENT_LENGTH)
    if value is None or not value.isdigit():
        return None
    return int(value)


def encode_request(
    method: str,
    target: bytes,
    headers: Headers,
    body: bytes,
    more: bool = False,
) -> bytes:
    """Returns the bytes of an HTTP/1.1 request.

    Args:
        method: HTTP method.
        target: Raw path with query.
        headers: Headers; hop-by-hop headers are omitted.
        body: The whole body, or its first part.
        more: Whether further parts follow. The body is sent with the
            content-length of the headers, or chunked if they state none.

    Returns:
        The encoded head and the given part of the body.
    """
    parts = [method.encode(), b" ", target, b" HTTP/1.1\r\n"]
    for name, value in headers:
        if name not in _HOP_BY_HOP:
            parts += (name, b": ", value, b"\r\n")
    if not more:
        parts += (b"content-length: %d\r\n\r\n" % len(body), body)
        return b"".join(parts)
    length = content_length(headers)
    if length is None:
        parts += (b"transfer-encoding: chunked\r\n\r\n", encode_chunk(body))
    else:
        parts += (b"content-length: %d\r\n\r\n" % length, body)
    return b"".join(parts)


def encode_chunk(data: bytes) -> bytes:
    r"""Returns data as one chunk of a chunked body; empty for empty data.

    >>> encode_chunk(b"abc")
    b'3\r\nabc\r\n'
    """
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


LAST_CHUNK = b"0\r\n\r\n"
