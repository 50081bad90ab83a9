"""What is remembered of a request for the one line that explains it."""

import contextvars

import attrs


@attrs.frozen
class AttemptTrace:
    """One try at a target.

    Attributes:
        node: Node beside the target.
        incarnation: Start of that node, as this node knew it.
        outcome: Status of the answer, or the kind of the error.
        took_ms: Time from sending to the outcome.
    """

    node: str
    incarnation: int
    outcome: str
    took_ms: int

    def __str__(self) -> str:
        return f"{self.node}@{self.incarnation}:{self.outcome}:{self.took_ms}ms"


@attrs.define(eq=False)
class RequestTrace:
    """How a request went.

    Attributes:
        route: Route that it matched.
        version: Configuration version that it was routed by.
        upstream: Upstream that the weights chose.
        deadline_ms: Time that it had.
        attempts: What became of it at each target.
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
    """Returns the trace of a request that has just come."""
    trace = RequestTrace()
    _current.set(trace)
    return trace


def current_trace() -> RequestTrace:
    """Returns the trace of the request under way.

    Work that no caller asked for gets one that nobody reads.
    """
    return _current.get() or RequestTrace()
