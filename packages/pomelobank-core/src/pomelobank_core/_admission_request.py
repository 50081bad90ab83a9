"""Requests at the door of a target and what is decided about them."""

import enum
import math

import attrs

from pomelobank_core._errors import ErrorKind


class TrafficClass(enum.Enum):
    """Classes of requests, the most urgent first.

    Attributes:
        INTERACTIVE: Somebody waits for the answer.
        INTERNAL: A service asks on behalf of a request that is under way.
        BATCH: Reports and lists that are due hours later.
    """

    INTERACTIVE = "interactive"
    INTERNAL = "internal"
    BATCH = "batch"


@attrs.define(eq=False)
class AdmissionRequest:
    """A request at the door of a target.

    Attributes:
        traffic_class: Its class.
        route: Its route.
        deadline_ms: When its caller stops waiting.
        isolated: Whether nothing else may run beside it.
        priority: Its rank; 0 is the most urgent.
        objective_at_ms: Until when an answer is of full use.
        max_wait_ms: Longest expected wait with which it is taken.
        past_objective: Whether it was let in though its answer will be late.
        brief: Whether it takes a small part of the target's other work.
        offered_ms: When it came.
        started_ms: When it went to the target; None before.
    """

    traffic_class: TrafficClass
    route: str
    deadline_ms: float
    isolated: bool = False
    priority: int = 0
    objective_at_ms: float = math.inf
    max_wait_ms: float = math.inf
    past_objective: bool = False
    brief: bool = False
    offered_ms: float = 0.0
    started_ms: float | None = None


@attrs.frozen
class Started:
    """The request goes to the target now."""


@attrs.frozen
class Queued:
    """The request waits; a later change starts or expires it."""


@attrs.frozen
class Rejected:
    """The request will not run.

    Attributes:
        kind: Why.
        retry_after_ms: When there is likely to be room.
    """

    kind: ErrorKind
    retry_after_ms: int


AdmissionDecision = Started | Queued | Rejected


@attrs.frozen
class QueueChange:
    """What an event did to requests that were waiting.

    Attributes:
        started: Those that go to the target now.
        expired: Those whose deadline passed; they have not run.
    """

    started: tuple[AdmissionRequest, ...] = ()
    expired: tuple[AdmissionRequest, ...] = ()


class WorkResult(enum.Enum):
    """How a request's time at the target ended.

    Attributes:
        RESPONDED: With an answer.
        SHED: The target turned it away without working on it.
        LOST: The target broke the connection or took none.
        ABANDONED: The caller went away or its deadline passed.
    """

    RESPONDED = "answered"
    SHED = "shed"
    LOST = "lost"
    ABANDONED = "abandoned"
