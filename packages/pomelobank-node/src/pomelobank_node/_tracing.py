"""Collects the data for the log line of a request."""

import contextvars

import attrs


@attrs.frozen
class AttemptTrace:
    """One attempt to run a request on a target.

    Attributes:
        node: Node beside the target.
        incarnation: Incarnation of that node in this node's member table.
        outcome: Status of the response, or the kind of the error.
        took_ms: Time from sending the request to the outcome.
    """

    node: str
    incarnation: int
    outcome: str
    took_ms: int

    def __str__(self) -> str:
        return f"{self.node}@{self.incarnation}:{self.outcome}:{self.took_ms}ms"


@attrs.define(eq=False)
class RequestTrace:
    """Routing decision and attempts of one request.

    Attributes:
        route: Route that the request matched.
        version: Configuration version that the request was routed with.
        upstream: Upstream that the route's weights selected.
        deadline_ms: Time that the request had until its deadline.
        attempts: Attempts, in order of their outcomes.
    """

    route: str = ""
    version: int = 0
    upstream: str = ""
    deadline_ms: int = 0
    attempts: list[AttemptTrace] = attrs.field(factory=list)


_current: contextvars.ContextVar[RequestTrace | None] = contextvars.ContextVar(
    "request_trace", default=None
)


def begin_trace() -> RequestTrace:
    """Creates the trace of a new request and makes it the current trace."""
    trace = RequestTrace()
    _current.set(trace)
    return trace


def current_trace() -> RequestTrace:
    """Returns the trace of the request that the current task handles.

    Outside of a request the function returns a new trace, which is discarded.
    """
    return _current.get() or RequestTrace()
