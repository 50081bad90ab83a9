"""Interface of load balancers and the request outcomes given to them."""

import enum
from collections.abc import Set as AbstractSet
from typing import Protocol

import attrs

from pomelobank_core._candidates import Candidates
from pomelobank_core._errors import ErrorKind
from pomelobank_schema.generated.peer import MemberEntry


class TargetResult(enum.Enum):
    """Result of a request from the view of the target's health and load.

    Attributes:
        RESPONDED: The target responded.
        FULL: The target has no free slot at present.
        WOULD_WAIT: The request would wait at the target longer than the entry
            node allowed.
        NOT_ACCEPTING: The target accepts no more requests.
        LIMITED: The target has got as many requests as it allows for now.
        SLOW: The target has not responded within a multiple of the expected
            time.
        FAILED: The target could not be reached, or the connection to it was
            lost.
        NEUTRAL: The result says nothing about the target, because the caller
            cancelled the request or the request was invalid.
    """

    RESPONDED = "answered"
    FULL = "full"
    WOULD_WAIT = "busy"
    NOT_ACCEPTING = "leaving"
    LIMITED = "limited"
    SLOW = "slow"
    FAILED = "failed"
    NEUTRAL = "neutral"


TARGET_RESULTS: dict[ErrorKind, TargetResult] = {
    ErrorKind.OVERLOADED: TargetResult.FULL,
    ErrorKind.DRAINING: TargetResult.NOT_ACCEPTING,
    ErrorKind.NO_TARGET: TargetResult.NOT_ACCEPTING,
    ErrorKind.NOT_READY: TargetResult.NOT_ACCEPTING,
    ErrorKind.PEER_UNREACHABLE: TargetResult.FAILED,
    ErrorKind.PEER_LOST: TargetResult.FAILED,
    ErrorKind.UPSTREAM_UNREACHABLE: TargetResult.FAILED,
    ErrorKind.TARGET_REFUSED: TargetResult.FULL,
    ErrorKind.TARGET_REPLACED: TargetResult.NOT_ACCEPTING,
    ErrorKind.TARGET_LIMITED: TargetResult.LIMITED,
    ErrorKind.UPSTREAM_LOST: TargetResult.FAILED,
    ErrorKind.ANSWER_TRUNCATED: TargetResult.FAILED,
}
# Minimum time that a target must have had for a request before a passed
# deadline counts as the target's failure. Otherwise, callers with short
# deadlines would cause ejections of healthy targets.
MIN_DEADLINE_FAILURE_MS = 1000


def target_result(error: ErrorKind, allowed_ms: float) -> TargetResult:
    """Maps the error of a request to a result for the target.

    Args:
        error: The error that ended the request.
        allowed_ms: Time that the target had for the request.

    Returns:
        The result; NEUTRAL for an error that the target did not cause.
    """
    if error is ErrorKind.DEADLINE_UNKNOWN:
        long_enough = allowed_ms >= MIN_DEADLINE_FAILURE_MS
        return TargetResult.FAILED if long_enough else TargetResult.NEUTRAL
    return TARGET_RESULTS.get(error, TargetResult.NEUTRAL)


@attrs.frozen
class RequestOutcome:
    """Outcome of a request, as reported to the load balancer.

    Attributes:
        result: Result for the target.
        traffic_class: The request's class.
        took_ms: Time from sending the request to its end.
        outstanding: Requests at the target as its node reported them.
        retry_after_ms: Time until a full target expects a free slot.
        route: The request's route.
        aim_ms: The route's latency objective; 0 without one.
    """

    result: TargetResult
    traffic_class: str = ""
    took_ms: float = 0.0
    outstanding: int = 0
    retry_after_ms: int = 0
    route: str = ""
    aim_ms: float = 0.0


class LoadBalancer(Protocol):
    """Picks targets and learns from the outcomes of requests."""

    def pick(
        self,
        candidates: Candidates,
        attempted: AbstractSet[str],
        traffic_class: str,
        now_ms: float,
    ) -> MemberEntry | None:
        """Returns a target that was not attempted yet, None without any."""

    def pick_several(
        self, candidates: Candidates, count: int, now_ms: float
    ) -> list[MemberEntry]:
        """Returns targets for a request that queues at several of them."""

    def on_sent(self, target: MemberEntry, now_ms: float) -> None:
        """Records that a request is sent to a target."""

    def on_ended(
        self,
        target: MemberEntry,
        candidates: Candidates,
        outcome: RequestOutcome,
        now_ms: float,
    ) -> None:
        """Records the outcome of a request that was sent."""

    def has_capacity(
        self, target: MemberEntry, traffic_class: str, now_ms: float
    ) -> bool:
        """Returns whether a target probably has a free slot for a request."""

    def may_accept(
        self, target: MemberEntry, traffic_class: str, now_ms: float
    ) -> bool:
        """Returns whether a target is not ejected and did not just refuse."""

    def all_full_retry_after_ms(
        self, candidates: Candidates, traffic_class: str, now_ms: float
    ) -> int:
        """Returns the retry delay if all targets are full; 0 otherwise."""
