"""Collects a long response body before its head is written."""

from collections.abc import Callable

import attrs

from pomelobank_core import ERROR_RESPONSES, ErrorKind, RunState
from pomelobank_node._http_conventions import HttpConventions
from pomelobank_node._requests import RequestError
from pomelobank_node.callers._error_responses import error_response
from pomelobank_node.callers._messages import HttpResponse

# Maximum number of bytes of one body that are kept in memory: twice the largest
# archives and scans that callers download.
MAX_COLLECTED_BYTES = 1024 * 1024


async def collect_body(
    response: HttpResponse,
    conventions: HttpConventions,
    on_size: Callable[[int], None],
) -> HttpResponse:
    """Reads the rest of a response's body.

    Args:
        response: A response whose body is not complete.
        conventions: Defines the format of an error response.
        on_size: Called with the number of bytes collected so far.

    Returns:
        The response with its whole body; with a rest if the body is longer than
        `MAX_COLLECTED_BYTES`; an error response if the body breaks off.
    """
    assert response.rest is not None
    parts = [response.body]
    size = len(response.body)
    while size <= MAX_COLLECTED_BYTES:
        try:
            part = await response.rest.read()
        except RequestError as error:
            response.rest.close()
            return error_response(_as_run(error), conventions)
        if not part:
            response.rest.close()
            return attrs.evolve(response, body=b"".join(parts), rest=None)
        parts.append(part)
        size += len(part)
        on_size(size)
    return attrs.evolve(response, body=b"".join(parts))


def _as_run(error: RequestError) -> RequestError:
    # A request whose response has begun has run.
    if ERROR_RESPONSES[error.kind].run_state is RunState.NOT_RUN:
        return RequestError(ErrorKind.ANSWER_TRUNCATED)
    return error
