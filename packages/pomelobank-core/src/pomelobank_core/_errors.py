"""All kinds of errors and the response that a caller gets for each."""

import enum

import attrs


class RunState(enum.Enum):
    """Whether a request ran, as far as the node knows.

    Attributes:
        NOT_RUN: No byte of the request reached an upstream; a retry is safe.
        UNKNOWN: Bytes of the request may have reached an upstream.
        RAN: An upstream ran the request.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class ErrorKind(enum.Enum):
    """Kinds of errors with which the mesh itself ends a request."""

    BAD_REQUEST = "bad_request"
    HEAD_TOO_LARGE = "head_too_large"
    HEAD_TIMEOUT = "head_timeout"
    BODY_TOO_LARGE = "body_too_large"
    BODY_INCOMPLETE = "body_incomplete"
    NO_ROUTE = "no_route"
    UNAUTHENTICATED = "unauthenticated"
    STALE_CONFIGURATION = "stale_configuration"
    USAGE_CAP = "usage_cap"
    CAP_UNAVAILABLE = "cap_unavailable"
    NOT_READY = "not_ready"
    NO_TARGET = "no_target"
    OVERLOADED = "overloaded"
    NO_ROOM = "no_room"
    BODY_STALLED = "body_stalled"
    DRAINING = "draining"
    QUARANTINED = "quarantined"
    DEADLINE_NOT_RUN = "deadline_not_run"
    DEADLINE_UNKNOWN = "deadline_unknown"
    STOPPED_UNKNOWN = "stopped_unknown"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_LOST = "peer_lost"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    TARGET_REFUSED = "target_refused"
    TARGET_REPLACED = "target_replaced"
    TARGET_LIMITED = "target_limited"
    UPSTREAM_LOST = "upstream_lost"
    ANSWER_TOO_LARGE = "answer_too_large"
    ANSWER_TRUNCATED = "answer_truncated"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIM_UNKNOWN = "claim_unknown"
    CLAIM_ANSWERED = "claim_answered"
    KEY_IN_USE = "key_in_use"
    KEY_MISMATCH = "key_mismatch"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


@attrs.frozen
class ErrorResponse:
    """Response to the caller for an error kind.

    Attributes:
        status: HTTP status.
        run_state: Whether the request ran.
        retry_after_ms: Delay before a retry, unless the error itself carries a
            more exact delay; 0 if a retry does not help.
        message: One sentence for people.
    """

    status: int
    run_state: RunState
    retry_after_ms: int
    message: str


_NOT_RUN = RunState.NOT_RUN
_UNKNOWN = RunState.UNKNOWN

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(
        400, _NOT_RUN, 0, "The request is malformed."
    ),
    ErrorKind.HEAD_TOO_LARGE: ErrorResponse(
        431, _NOT_RUN, 0, "The request's head is larger than this mesh allows."
    ),
    ErrorKind.HEAD_TIMEOUT: ErrorResponse(
        408, _NOT_RUN, 0, "The request's head did not arrive in time."
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(
        413, _NOT_RUN, 0, "The request's body is larger than this mesh allows."
    ),
    ErrorKind.BODY_INCOMPLETE: ErrorResponse(
        400,
        _UNKNOWN,
        0,
        "The request's body broke off or grew too large on its way.",
    ),
    ErrorKind.NO_ROUTE: ErrorResponse(
        404, _NOT_RUN, 0, "No route matches the service and path."
    ),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(
        401, _NOT_RUN, 0, "The request has no valid API key."
    ),
    ErrorKind.STALE_CONFIGURATION: ErrorResponse(
        503,
        _NOT_RUN,
        1000,
        "This node cannot tell at the moment whether the API key is valid.",
    ),
    ErrorKind.USAGE_CAP: ErrorResponse(
        429, _NOT_RUN, 1000, "The workspace has reached its usage cap."
    ),
    ErrorKind.CAP_UNAVAILABLE: ErrorResponse(
        503,
        _NOT_RUN,
        500,
        "This node cannot tell at the moment whether the usage cap is reached.",
    ),
    ErrorKind.NOT_READY: ErrorResponse(
        503,
        _NOT_RUN,
        1000,
        "This node has not caught up with the configuration yet.",
    ),
    ErrorKind.NO_TARGET: ErrorResponse(
        503, _NOT_RUN, 1000, "No target of the route can serve requests now."
    ),
    ErrorKind.OVERLOADED: ErrorResponse(
        503, _NOT_RUN, 500, "The route's targets have no room for this request."
    ),
    ErrorKind.NO_ROOM: ErrorResponse(
        503,
        _NOT_RUN,
        1000,
        "This node has no room for the request at the moment.",
    ),
    ErrorKind.BODY_STALLED: ErrorResponse(
        504,
        _UNKNOWN,
        1000,
        "The request's body arrived too slowly while other requests waited.",
    ),
    ErrorKind.DRAINING: ErrorResponse(
        503, _NOT_RUN, 200, "The node is stopping and takes no new requests."
    ),
    ErrorKind.QUARANTINED: ErrorResponse(
        503,
        _NOT_RUN,
        60000,
        "Requests like this one crashed several targets.",
    ),
    ErrorKind.DEADLINE_NOT_RUN: ErrorResponse(
        503, _NOT_RUN, 500, "The deadline passed before the request could run."
    ),
    ErrorKind.DEADLINE_UNKNOWN: ErrorResponse(
        504,
        _UNKNOWN,
        1000,
        "The deadline passed while the request was at a target.",
    ),
    ErrorKind.STOPPED_UNKNOWN: ErrorResponse(
        504,
        _UNKNOWN,
        200,
        "The node has to end while the request is at a target.",
    ),
    ErrorKind.PEER_UNREACHABLE: ErrorResponse(
        503, _NOT_RUN, 500, "The target's node could not be reached."
    ),
    ErrorKind.PEER_LOST: ErrorResponse(
        502,
        _UNKNOWN,
        1000,
        "The stream to the target's node broke while the request was there.",
    ),
    ErrorKind.UPSTREAM_UNREACHABLE: ErrorResponse(
        503, _NOT_RUN, 500, "The target did not accept a connection."
    ),
    ErrorKind.TARGET_REFUSED: ErrorResponse(
        503, _NOT_RUN, 200, "The target turned the request away unrun."
    ),
    ErrorKind.TARGET_REPLACED: ErrorResponse(
        503, _NOT_RUN, 200, "Another instance has taken the target's address."
    ),
    ErrorKind.TARGET_LIMITED: ErrorResponse(
        503,
        _NOT_RUN,
        500,
        "The target limits the rate of its requests.",
    ),
    ErrorKind.UPSTREAM_LOST: ErrorResponse(
        502,
        _UNKNOWN,
        1000,
        "The target broke the connection before a whole answer.",
    ),
    ErrorKind.ANSWER_TOO_LARGE: ErrorResponse(
        502, RunState.RAN, 0, "The answer is larger than this mesh allows."
    ),
    ErrorKind.ANSWER_TRUNCATED: ErrorResponse(
        502, _UNKNOWN, 1000, "The answer broke off before its end."
    ),
    ErrorKind.CLAIM_UNAVAILABLE: ErrorResponse(
        503,
        _NOT_RUN,
        1000,
        "The idempotency key cannot be claimed at the moment.",
    ),
    ErrorKind.CLAIM_UNKNOWN: ErrorResponse(
        409,
        _UNKNOWN,
        1000,
        "An earlier request with this key may have run.",
    ),
    ErrorKind.CLAIM_ANSWERED: ErrorResponse(
        409,
        RunState.RAN,
        0,
        "A request with this key was answered; the answer is no longer kept.",
    ),
    ErrorKind.KEY_IN_USE: ErrorResponse(
        409, _UNKNOWN, 500, "A request with this idempotency key is under way."
    ),
    ErrorKind.KEY_MISMATCH: ErrorResponse(
        422,
        _NOT_RUN,
        0,
        "The idempotency key was used before with a different request.",
    ),
    ErrorKind.CANCELLED: ErrorResponse(
        499, _UNKNOWN, 0, "The caller went away."
    ),
    ErrorKind.INTERNAL: ErrorResponse(
        500, _UNKNOWN, 1000, "The node failed while it handled the request."
    ),
}
