"""Sends a forwarded request to the target and turns its answer into a reply."""

import asyncio

from pomelobank_node._bodies import StreamedReply, rest_of
from pomelobank_node._http_messages import (
    CONTENT_LENGTH,
    content_length,
    encode_request,
    end_to_end,
    find_header,
)
from pomelobank_node._requests import ForwardReply, ForwardRequest
from pomelobank_node._upstream_client import UpstreamAnswer, UpstreamPool
from pomelobank_schema.generated.peer import Header

_MS_PER_S = 1000
_HEAD = "HEAD"


async def call_target(
    pool: UpstreamPool, request: ForwardRequest, outstanding: int
) -> ForwardReply:
    """Runs a request on the target.

    Args:
        pool: Connections to the target.
        request: The request; its remaining time counts from now.
        outstanding: Requests at the target, for the reply.

    Returns:
        The target's answer.

    Raises:
        RequestError: If there is none.
    """
    deadline_s = asyncio.get_running_loop().time()
    deadline_s += request.remaining_ms / _MS_PER_S
    headers = [(item.name, item.value) for item in request.headers]
    headers.append((b"x-request-id", request.trace_id.encode()))
    headers.append((b"x-pomelobank-timeout-ms", b"%d" % request.remaining_ms))
    rest = rest_of(request)
    more = rest is not None
    answer = await pool.request(
        encode_request(
            request.method, request.target, headers, request.body, more
        ),
        deadline_s,
        rest,
        chunked=more and content_length(headers) is None,
    )
    return _reply(request, answer, outstanding)


def _reply(
    request: ForwardRequest, answer: UpstreamAnswer, outstanding: int
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
