"""Why a node refuses a request, or closes a connection, of a client."""

import enum


class CloseReason(enum.Enum):
    """Reasons, as logs and metrics name them.

    Attributes:
        MALFORMED: The client sent bytes that are not HTTP.
        TOO_LARGE: A head, trailers or a body exceed their limit.
        TIMED_OUT: A head, a body or the reading of a response took too long.
        NO_MEMORY: The connection held bytes that others needed.
        NO_DESCRIPTOR: The connection was idle, and others needed descriptors.
        BODY_STALLED: A body arrived too slowly while others waited for the
            slot of its request.
        RESPONSE_STALLED: A response was read too slowly while others waited
            for the slot of its request.
    """

    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    TIMED_OUT = "timed_out"
    NO_MEMORY = "no_memory"
    NO_DESCRIPTOR = "no_descriptor"
    BODY_STALLED = "body_stalled"
    RESPONSE_STALLED = "response_stalled"
