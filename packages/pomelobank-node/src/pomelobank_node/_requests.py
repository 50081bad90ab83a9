"""Admitted requests, and the errors that end a request."""

from collections.abc import Sequence

import attrs

from pomelobank_core import ERROR_RESPONSES, ErrorKind
from pomelobank_core.workspaces import Workspace
from pomelobank_schema.generated.peer import ForwardReply, ForwardRequest

Headers = Sequence[tuple[bytes, bytes]]


@attrs.frozen
class RequestError(Exception):
    """Reports that the node, not the target, ended a request.

    Attributes:
        kind: Kind of the error.
        retry_after_ms: Time after which the caller may retry; None for the
            default of the kind.
        reason: Reason within the kind, for the caller; empty without one.
    """

    kind: ErrorKind
    retry_after_ms: int | None = None
    reason: str = ""


@attrs.frozen
class AdmittedCall:
    """A caller's request that may run.

    Attributes:
        workspace: Workspace of the request; None without one.
        headers: Headers to forward.
        rank: Rank of the request among those that wait at a target.
    """

    workspace: Workspace | None
    headers: Headers
    rank: int


def error_reply(request_id: int, error: RequestError) -> ForwardReply:
    """Returns the reply that reports an error to the entry node."""
    retry_after_ms = error.retry_after_ms
    if retry_after_ms is None:
        retry_after_ms = ERROR_RESPONSES[error.kind].retry_after_ms
    return ForwardReply(
        request_id=request_id,
        error=error.kind.value,
        retry_after_ms=retry_after_ms,
    )


def reply_error(reply: ForwardReply) -> RequestError | None:
    """Returns the error that a reply reports; None for a response."""
    if not reply.error:
        return None
    try:
        kind = ErrorKind(reply.error)
    except ValueError:
        kind = ErrorKind.INTERNAL
    return RequestError(kind, reply.retry_after_ms)


__all__ = [
    "AdmittedCall",
    "ForwardReply",
    "ForwardRequest",
    "Headers",
    "RequestError",
    "error_reply",
    "reply_error",
]
