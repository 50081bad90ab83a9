"""How a request ends: an upstream's answer or an error of the system."""

from collections.abc import Sequence

import attrs

from pomelobank_core import ERROR_RESPONSES, ErrorKind
from pomelobank_schema.generated.peer import ForwardReply, ForwardRequest

Headers = Sequence[tuple[bytes, bytes]]


@attrs.frozen
class RequestError(Exception):
    """A request that the system itself ended.

    Attributes:
        kind: Why, out of the closed list.
        retry_after_ms: When to come back; None for the kind's usual time.
    """

    kind: ErrorKind
    retry_after_ms: int | None = None


def error_reply(request_id: int, error: RequestError) -> ForwardReply:
    """Returns the frame that reports an error to the entry node."""
    retry_after_ms = error.retry_after_ms
    if retry_after_ms is None:
        retry_after_ms = ERROR_RESPONSES[error.kind].retry_after_ms
    return ForwardReply(
        request_id=request_id,
        error=error.kind.value,
        retry_after_ms=retry_after_ms,
    )


def reply_error(reply: ForwardReply) -> RequestError | None:
    """Returns the error that a reply reports, None where it is an answer."""
    if not reply.error:
        return None
    try:
        kind = ErrorKind(reply.error)
    except ValueError:
        kind = ErrorKind.INTERNAL
    return RequestError(kind, reply.retry_after_ms)


__all__ = [
    "ForwardReply",
    "ForwardRequest",
    "Headers",
    "RequestError",
    "error_reply",
    "reply_error",
]
