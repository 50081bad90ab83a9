"""Answers that the system itself gives."""

import json

from pomelobank_core import ERROR_RESPONSES
from pomelobank_node._http_conventions import HttpConventions
from pomelobank_node._http_messages import ERROR_HEADER, RUN_HEADER
from pomelobank_node._requests import RequestError
from pomelobank_node.callers._messages import HttpResponse

_MS_PER_S = 1000


def error_response(
    error: RequestError, dialect: HttpConventions, closes: bool = False
) -> HttpResponse:
    """Returns what a caller is told of an error.

    Args:
        error: The error.
        dialect: How the caller reads times.
        closes: Whether the connection ends after it.
    """
    answer = ERROR_RESPONSES[error.kind]
    retry_after_ms = error.retry_after_ms
    if retry_after_ms is None:
        retry_after_ms = answer.retry_after_ms
    document = {
        "error": error.kind.value,
        "run": answer.run_state.value,
        "retry_after_ms": retry_after_ms,
        "message": answer.message,
    }
    headers = [
        (b"content-type", b"application/json"),
        (ERROR_HEADER, error.kind.value.encode()),
        (RUN_HEADER, answer.run_state.value.encode()),
    ]
    if retry_after_ms:
        headers.append((b"retry-after", _seconds(retry_after_ms, dialect)))
    body = json.dumps(document).encode()
    return HttpResponse(answer.status, headers, body, closes=closes)


def _seconds(time_ms: int, dialect: HttpConventions) -> bytes:
    if dialect.fractional_retry_after:
        return b"%.3f" % (time_ms / _MS_PER_S)
    return b"%d" % -(-time_ms // _MS_PER_S)
