"""Sends a forwarded request to the target and turns its answer into a reply."""

import asyncio

from pomelobank_core import ErrorKind
from pomelobank_node._bodies import StreamedReply, rest_of
from pomelobank_node._http_conventions import HttpConventions
from pomelobank_node._http_messages import (
    CONTENT_LENGTH,
    content_length,
    encode_request,
    end_to_end,
    find_header,
)
from pomelobank_node._requests import (
    ForwardReply,
    ForwardRequest,
    RequestError,
)
from pomelobank_node._upstream_client import (
    MAX_IDLE_S,
    ExpectedId,
    UpstreamPool,
    UpstreamResponse,
)
from pomelobank_schema.generated.peer import Header

_MS_PER_S = 1000
# Longest time for which a connection was idle that carries a request which may
# run once only. A target may forget idle connections sooner than it says, and
# what is sent then is reset: nobody knows whether it ran, and it cannot be sent
# again. At ten requests a second half of the connections are younger; a new
# one costs a millisecond.
RUNS_ONCE_IDLE_S = 0.3
_HEAD = "HEAD"
_MISDIRECTED = 421
_SUCCESSES = range(200, 300)


async def call_target(
    pool: UpstreamPool,
    request: ForwardRequest,
    outstanding: int,
    dialect: HttpConventions,
    instance: str = "",
) -> ForwardReply:
    """Runs a request on the target.

    Args:
        pool: Connections to the target.
        request: The request; its remaining time counts from now.
        outstanding: Requests at the target, for the reply.
        dialect: Names of the headers.
        instance: The start of the target that may run the request.

    Returns:
        The target's answer.

    Raises:
        RequestError: If there is none, or the target says that it has not run
            the request.
    """
    deadline_s = asyncio.get_running_loop().time()
    deadline_s += request.remaining_ms / _MS_PER_S
    headers = _request_headers(request, dialect, instance)
    rest = rest_of(request)
    more = rest is not None
    expected = None
    if dialect.echoes_request_id:
        expected = ExpectedId(dialect.request_id, request.trace_id.encode())
    answer = await pool.request(
        encode_request(
            request.method, request.target, headers, request.body, more
        ),
        deadline_s,
        rest,
        chunked=more and content_length(headers) is None,
        expected_id=expected,
        max_idle_s=(MAX_IDLE_S if request.idempotent else RUNS_ONCE_IDLE_S),
    )
    _check(answer, dialect)
    return _reply(request, answer, outstanding)


def _request_headers(
    request: ForwardRequest, dialect: HttpConventions, instance: str
) -> list[tuple[bytes, bytes]]:
    headers = [(item.name, item.value) for item in request.headers]
    headers.append((dialect.request_id, request.trace_id.encode()))
    headers.append((dialect.timeout, b"%d" % request.remaining_ms))
    if dialect.expected_instance and instance:
        headers.append((dialect.expected_instance, instance.encode()))
    return headers


def _check(answer: UpstreamResponse, dialect: HttpConventions) -> None:
    kind = None
    if dialect.expected_instance and answer.status == _MISDIRECTED:
        kind = ErrorKind.TARGET_REPLACED
    elif dialect.not_run and find_header(answer.headers, dialect.not_run):
        kind = ErrorKind.TARGET_REFUSED
    elif dialect.response_marker and answer.status in _SUCCESSES:
        # Something else than the target's work wrote this; a caller must not
        # take it for the answer.
        proven = (
            find_header(answer.headers, dialect.response_marker) is not None
        )
        named = not dialect.echoes_request_id or _has_id(answer, dialect)
        if not (proven and named):
            kind = ErrorKind.ANSWER_TRUNCATED
    if kind is not None:
        if answer.rest is not None:
            answer.rest.close()
        raise RequestError(kind)


def _has_id(answer: UpstreamResponse, dialect: HttpConventions) -> bool:
    return find_header(answer.headers, dialect.request_id) is not None


def _reply(
    request: ForwardRequest, answer: UpstreamResponse, outstanding: int
) -> ForwardReply:
    headers = end_to_end(answer.headers)
    if answer.rest is not None or request.method == _HEAD:
        # The length of a body that follows in parts, or that HEAD leaves out.
        length = find_header(answer.headers, CONTENT_LENGTH)
        if length is not None:
            headers.append((CONTENT_LENGTH, length))
    wire_headers = tuple(
        Header(name=name, value=value) for name, value in headers
    )
    if answer.rest is None:
        return ForwardReply(
            request_id=request.request_id,
            status=answer.status,
            headers=wire_headers,
            body=answer.body,
            outstanding=outstanding,
        )
    return StreamedReply(
        request_id=request.request_id,
        status=answer.status,
        headers=wire_headers,
        body=answer.body,
        more=True,
        outstanding=outstanding,
        rest=answer.rest,
    )
