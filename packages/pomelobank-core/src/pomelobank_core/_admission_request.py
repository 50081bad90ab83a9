"""Requests at a target's admission queue, and decisions about them."""

import enum
import math

import attrs

from pomelobank_core._errors import ErrorKind


class TrafficClass(enum.Enum):
    """Classes of requests, the most urgent first.

    Attributes:
        INTERACTIVE: A person waits for the response.
        INTERNAL: A service calls on behalf of a request in progress.
        BATCH: Reports and lists that are due hours later.
    """

    INTERACTIVE = "interactive"
    INTERNAL = "internal"
    BATCH = "batch"


@attrs.define(eq=False)
class AdmissionRequest:
    """A request that asks for, waits for or holds a slot of a target.

    Attributes:
        traffic_class: Traffic class of the request.
        route: Name of the request's route.
        deadline_ms: Time at which the caller stops waiting.
        isolated: Whether no other request may run beside this one.
        priority: Priority of the route; 0 is the most urgent.
        objective_at_ms: Time at which the latency objective ends.
        max_wait_ms: Maximum expected wait; a request that would wait longer is
            rejected.
        past_objective: Whether the request was expected on arrival to miss its
            objective.
        brief: Whether the request is short next to the target's other work.
        offered_ms: Time of arrival.
        started_ms: Time at which the request went to the target; None before.
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
    """The request is sent to the target now."""


@attrs.frozen
class Queued:
    """The request is queued; a later QueueChange starts or expires it."""


@attrs.frozen
class Rejected:
    """The request is rejected and will not run.

    Attributes:
        kind: Error kind of the rejection.
        retry_after_ms: Delay after which a slot is likely to be free.
    """

    kind: ErrorKind
    retry_after_ms: int


AdmissionDecision = Started | Queued | Rejected


@attrs.frozen
class QueueChange:
    """Queued requests that an event started or removed.

    Attributes:
        started: Requests that are sent to the target now.
        expired: Requests that were dropped from the queue before they ran.
    """

    started: tuple[AdmissionRequest, ...] = ()
    expired: tuple[AdmissionRequest, ...] = ()


class WorkResult(enum.Enum):
    """How a request's time at the target ended.

    Attributes:
        RESPONDED: The target responded.
        SHED: The target shed the request without working on it.
        LOST: The target broke the connection or did not accept one.
        ABANDONED: The caller went away or the deadline passed.
    """

    RESPONDED = "answered"
    SHED = "shed"
    LOST = "lost"
    ABANDONED = "abandoned"
