"""Collects the data for the log line of a request."""

import contextvars

import attrs

from pomelobank_core import ERROR_RESPONSES, RunState

IN_PROGRESS = "in_progress"


_NOT_RUN = frozenset(
    kind.value
    for kind, response in ERROR_RESPONSES.items()
    if response.run_state is RunState.NOT_RUN
)


@attrs.define(eq=False)
class AttemptTrace:
    """One attempt to run a request on a target.

    Attributes:
        node: Node beside the target.
        incarnation: Incarnation of that node in this node's member table.
        started_ms: Time at which the attempt began.
        outcome: Status of the response, or the kind of the error.
        took_ms: Time from the begin to the outcome; None while the attempt is
            in progress.
        revision: Revision of the target; empty if unknown.
    """

    node: str
    incarnation: int
    started_ms: int
    outcome: str = IN_PROGRESS
    took_ms: int | None = None
    revision: str = ""

    def end(self, outcome: str, took_ms: int) -> None:
        """Records the outcome of the attempt."""
        self.outcome = outcome
        self.took_ms = took_ms

    def describe(self, now_ms: int) -> str:
        """Returns the attempt as it is written to the log.

        >>> AttemptTrace("node-1", 7, started_ms=100).describe(now_ms=150)
        'node-1@7:in_progress:50ms'
        >>> AttemptTrace("node-1", 7, 100, "200", 20, "v2").describe(now_ms=150)
        'node-1@7:200:20ms:v2'
        """
        took_ms = self.took_ms
        if took_ms is None:
            took_ms = now_ms - self.started_ms
        parts = [
            f"{self.node}@{self.incarnation}",
            self.outcome,
            f"{took_ms}ms",
        ]
        return ":".join(parts + [self.revision] * bool(self.revision))


@attrs.define(eq=False)
class RequestTrace:
    """Routing decision and attempts of one request.

    Attributes:
        route: Route that the request matched.
        version: Configuration version that the request was routed with.
        upstream: Upstream that the route's weights selected.
        deadline_ms: Time that the request had until its deadline.
        workspace: Workspace whose key the request carries; empty without one.
        rejection_reason: Why the request's key was rejected; empty otherwise.
        key_digest: First bytes of the digest of an unknown key, in hexadecimal;
            empty otherwise.
        attempts: Attempts, in the order of their begin.
    """

    route: str = ""
    version: int = 0
    upstream: str = ""
    deadline_ms: int = 0
    workspace: str = ""
    rejection_reason: str = ""
    key_digest: str = ""
    attempts: list[AttemptTrace] = attrs.field(factory=list)

    @property
    def runs(self) -> int:
        """Number of attempts that may have run."""
        return sum(item.outcome not in _NOT_RUN for item in self.attempts)

    def describe_key(self) -> dict[str, str]:
        """Returns the log fields about the request's key; empty without."""
        fields = {
            "workspace": self.workspace,
            "reason": self.rejection_reason,
            "key_digest": self.key_digest,
        }
        return {name: value for name, value in fields.items() if value}

    def begin_attempt(
        self, node: str, incarnation: int, now_ms: int, revision: str = ""
    ) -> AttemptTrace:
        """Adds an attempt and returns it, so that its end can be recorded."""
        attempt = AttemptTrace(node, incarnation, now_ms, revision=revision)
        self.attempts.append(attempt)
        return attempt


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
