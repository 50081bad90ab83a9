"""What placing is told about targets, and what it must be able to do."""

import enum
from collections.abc import Set as AbstractSet
from typing import Protocol

import attrs

from pomelobank_core._candidates import Candidates
from pomelobank_core._errors import ErrorKind
from pomelobank_schema.generated.peer import MemberEntry


class TargetResult(enum.Enum):
    """What a request's end says about the target.

    Attributes:
        RESPONDED: It works.
        FULL: It has no room just now.
        WOULD_WAIT: A request would wait there longer than it was offered to.
        NOT_ACCEPTING: It takes no more requests.
        SLOW: It has not answered within a multiple of the usual time.
        FAILED: It could not be reached, or it was lost on the way.
        NEUTRAL: Nothing; the caller went away or the request was wrong.
    """

    RESPONDED = "answered"
    FULL = "full"
    WOULD_WAIT = "busy"
    NOT_ACCEPTING = "leaving"
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
    ErrorKind.UPSTREAM_LOST: TargetResult.FAILED,
    ErrorKind.ANSWER_TRUNCATED: TargetResult.FAILED,
}
# A deadline that passes at the target counts against it only where it had this
# long; a caller in a hurry would else get healthy targets ejected.
MIN_DEADLINE_FAILURE_MS = 1000


def target_result(error: ErrorKind, allowed_ms: float) -> TargetResult:
    """Returns what an error says about the target.

    Args:
        error: How the request ended.
        allowed_ms: Time that the target had for it.

    Returns:
        The result.
    """
    if error is ErrorKind.DEADLINE_UNKNOWN:
        long_enough = allowed_ms >= MIN_DEADLINE_FAILURE_MS
        return TargetResult.FAILED if long_enough else TargetResult.NEUTRAL
    return TARGET_RESULTS.get(error, TargetResult.NEUTRAL)


@attrs.frozen
class RequestOutcome:
    """The end of a request, as placing sees it.

    Attributes:
        result: What it says about the target.
        traffic_class: The request's class.
        took_ms: Time from sending to the end.
        outstanding: Requests at the target as its node reported them.
        retry_after_ms: When a full target expects to have room.
        route: The request's route.
        aim_ms: Time within which its answer is of full use; 0 if not named.
    """

    result: TargetResult
    traffic_class: str = ""
    took_ms: float = 0.0
    outstanding: int = 0
    retry_after_ms: int = 0
    route: str = ""
    aim_ms: float = 0.0


class LoadBalancer(Protocol):
    """Chooses targets and learns from what becomes of the requests."""

    def pick(
        self,
        candidates: Candidates,
        tried: AbstractSet[str],
        traffic_class: str,
        now_ms: float,
    ) -> MemberEntry | None:
        """Returns a target that was not tried yet, None without any."""

    def pick_several(
        self, candidates: Candidates, count: int, now_ms: float
    ) -> list[MemberEntry]:
        """Returns targets for a request that waits at several of them."""

    def on_sent(self, target: MemberEntry, now_ms: float) -> None:
        """Notes that a request is sent to a target."""

    def on_ended(
        self,
        target: MemberEntry,
        candidates: Candidates,
        seen: RequestOutcome,
        now_ms: float,
    ) -> None:
        """Takes the end of a request that was sent."""

    def has_capacity(
        self, target: MemberEntry, traffic_class: str, now_ms: float
    ) -> bool:
        """Tells whether a target plausibly has room for one more request."""

    def may_accept(
        self, target: MemberEntry, traffic_class: str, now_ms: float
    ) -> bool:
        """Tells whether a target works and has not refused the class lately."""

    def all_full_retry_after_ms(
        self, candidates: Candidates, traffic_class: str, now_ms: float
    ) -> int:
        """Returns when to come back if all are full; 0 if they are not."""
