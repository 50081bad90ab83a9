"""Sends a request to the target and converts the response into a reply."""

import asyncio
from collections.abc import Callable

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
from pomelobank_node._target_signals import TargetSignals, read_signals
from pomelobank_node._upstream_client import (
    MAX_IDLE_S,
    ExpectedId,
    UpstreamPool,
    UpstreamResponse,
)
from pomelobank_schema.generated.peer import Header

_MS_PER_S = 1000
# Longest idle time of a connection that is reused for a request that must not
# run twice. A target may drop idle connections earlier than it announces. The
# request on such a connection is reset, and it cannot be sent again because
# the node does not know whether the request ran. At ten requests a second, half
# of the connections have been idle for less time; opening a new connection
# takes a millisecond.
RUN_ONCE_MAX_IDLE_S = 0.3
_HEAD = "HEAD"
_MISDIRECTED = 421
_SUCCESSES = range(200, 300)


async def call_target(
    pool: UpstreamPool,
    request: ForwardRequest,
    outstanding: int,
    conventions: HttpConventions,
    instance: str = "",
    on_signals: Callable[[TargetSignals], None] | None = None,
) -> ForwardReply:
    """Runs a request on the target.

    Args:
        pool: Connections to the target.
        request: The request; its remaining time counts from now.
        outstanding: Number of requests at the target, for the reply.
        conventions: Names of the headers.
        instance: Name of the only instance that may run the request.
        on_signals: Called with what the target says of itself in its response.

    Returns:
        The target's response.

    Raises:
        RequestError: If the target sent no usable response, or reported that it
            has not run the request.
    """
    deadline_s = asyncio.get_running_loop().time()
    deadline_s += request.remaining_ms / _MS_PER_S
    headers = _request_headers(request, conventions, instance)
    rest = rest_of(request)
    has_rest = rest is not None
    expected_id = None
    if conventions.echoes_request_id:
        expected_id = ExpectedId(
            conventions.request_id, request.trace_id.encode()
        )
    response = await pool.request(
        encode_request(
            request.method, request.target, headers, request.body, has_rest
        ),
        deadline_s,
        rest,
        chunked=has_rest and content_length(headers) is None,
        expected_id=expected_id,
        max_idle_s=(MAX_IDLE_S if request.idempotent else RUN_ONCE_MAX_IDLE_S),
    )
    if on_signals is not None:
        signals = read_signals(response.headers, conventions)
        if signals is not None:
            on_signals(signals)
    _raise_if_unusable(response, conventions)
    return _reply(request, response, outstanding)


def _request_headers(
    request: ForwardRequest, conventions: HttpConventions, instance: str
) -> list[tuple[bytes, bytes]]:
    headers = [(item.name, item.value) for item in request.headers]
    headers.append((conventions.request_id, request.trace_id.encode()))
    headers.append((conventions.timeout, b"%d" % request.remaining_ms))
    if conventions.expected_instance and instance:
        headers.append((conventions.expected_instance, instance.encode()))
    return headers


def _raise_if_unusable(
    response: UpstreamResponse, conventions: HttpConventions
) -> None:
    kind = None
    if conventions.expected_instance and response.status == _MISDIRECTED:
        kind = ErrorKind.TARGET_REPLACED
    elif conventions.not_run and find_header(
        response.headers, conventions.not_run
    ):
        kind = ErrorKind.TARGET_REFUSED
    elif conventions.response_marker and response.status in _SUCCESSES:
        # A success response without the target's marker or request id was
        # written by other software, such as a proxy. The caller must not
        # receive that response as the result of the request.
        has_marker = (
            find_header(response.headers, conventions.response_marker)
            is not None
        )
        has_id = not conventions.echoes_request_id or _has_request_id(
            response, conventions
        )
        if not (has_marker and has_id):
            kind = ErrorKind.ANSWER_TRUNCATED
    if kind is not None:
        if response.rest is not None:
            response.rest.close()
        raise RequestError(kind)


def _has_request_id(
    response: UpstreamResponse, conventions: HttpConventions
) -> bool:
    return find_header(response.headers, conventions.request_id) is not None


def _reply(
    request: ForwardRequest, response: UpstreamResponse, outstanding: int
) -> ForwardReply:
    headers = end_to_end(response.headers)
    if response.rest is not None or request.method == _HEAD:
        # `end_to_end` drops the length, but a body that is sent in parts and
        # the response to a HEAD request need it.
        length = find_header(response.headers, CONTENT_LENGTH)
        if length is not None:
            headers.append((CONTENT_LENGTH, length))
    wire_headers = tuple(
        Header(name=name, value=value) for name, value in headers
    )
    if response.rest is None:
        return ForwardReply(
            request_id=request.request_id,
            status=response.status,
            headers=wire_headers,
            body=response.body,
            outstanding=outstanding,
        )
    return StreamedReply(
        request_id=request.request_id,
        status=response.status,
        headers=wire_headers,
        body=response.body,
        more=True,
        outstanding=outstanding,
        rest=response.rest,
    )
