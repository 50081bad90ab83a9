"""HTTP responses for requests that the node ends with an error."""

import json

from pomelobank_core import ERROR_RESPONSES, ErrorKind
from pomelobank_node._http_conventions import HttpConventions
from pomelobank_node._http_messages import ERROR_HEADER, RUN_HEADER
from pomelobank_node._requests import RequestError
from pomelobank_node.callers._messages import HttpResponse

_MS_PER_S = 1000


def error_response(
    error: RequestError, conventions: HttpConventions, closes: bool = False
) -> HttpResponse:
    """Returns the HTTP response that reports an error to a caller.

    Args:
        error: The error.
        conventions: Defines the format of the Retry-After header.
        closes: Whether the connection is closed after the response.
    """
    response = ERROR_RESPONSES[error.kind]
    retry_after_ms = error.retry_after_ms
    if retry_after_ms is None:
        retry_after_ms = response.retry_after_ms
    document = {
        "error": error.kind.value,
        "run": response.run_state.value,
        "retry_after_ms": retry_after_ms,
        "message": response.message,
    }
    if error.reason:
        document["reason"] = error.reason
    headers = [
        (b"content-type", b"application/json"),
        (ERROR_HEADER, error.kind.value.encode()),
        (RUN_HEADER, response.run_state.value.encode()),
    ]
    if retry_after_ms:
        headers.append((b"retry-after", _seconds(retry_after_ms, conventions)))
    if error.kind is ErrorKind.UNAUTHENTICATED:
        headers.append((b"www-authenticate", b"Bearer"))
    body = json.dumps(document).encode()
    return HttpResponse(response.status, headers, body, closes=closes)


def _seconds(time_ms: int, conventions: HttpConventions) -> bytes:
    if conventions.fractional_retry_after:
        return b"%.3f" % (time_ms / _MS_PER_S)
    return b"%d" % -(-time_ms // _MS_PER_S)
