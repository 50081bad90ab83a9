"""Mechanisms that an experiment can switch off separately."""

import sys
from collections.abc import Callable

import attrs

from pomelobank_core import (
    AdmissionDecision,
    AdmissionRequest,
    BriefWork,
    CallerTimeouts,
    Candidates,
    DeadlineAdmission,
    Rank,
    RankLoad,
    RateLimit,
    SlotLimit,
    TwoChoices,
)
from pomelobank_core._deadline_admission import SortKey
from pomelobank_core._route_times import PLAIN_MEAN_SAMPLES
from pomelobank_core.shedding import (
    FULL_TARGET_DELAY_MS,
    CallGroup,
    Importance,
    RandomRejections,
    RejectionDelay,
    RouteImportance,
    SiblingCalls,
)
from pomelobank_node._forwarder import Forwarder
from pomelobank_node._owner import Owner
from pomelobank_schema.generated.peer import MemberEntry


@attrs.define(eq=False)
class ModelNode:
    """The components of one node that decide about requests.

    Attributes:
        name: The node's name.
        forwarder: Selects a target for each request and sends the request.
        owner: Runs requests on the node's own target.
        caller_timeouts: Estimates the time that callers have used on earlier
            attempts.
    """

    name: str
    forwarder: Forwarder
    owner: Owner
    caller_timeouts: CallerTimeouts = attrs.field(factory=CallerTimeouts)


Switch = Callable[[ModelNode], None]


class _NoRankLoad(RankLoad):
    """Estimates waits without later requests of a better rank."""

    def available_fraction(
        self, rank: Rank, slots: int, now_ms: float
    ) -> float:
        return 1.0


class _NoRateLimit(RateLimit):
    """Ignores the limits that targets name."""

    def set_rate(self, per_s: float | None, now_ms: float) -> bool:
        return False


class _NoElapsedTime(CallerTimeouts):
    """Treats every attempt as its caller's first."""

    def elapsed_ms(self, route: str, given_ms: int) -> int:
        return 0


class _NoLimitPastObjective(DeadlineAdmission):
    """Keeps requests queued past their objective until their wait deadline."""

    def _expected_to_time_out(
        self, ranked: list[tuple[SortKey, AdmissionRequest]], now_ms: float
    ) -> list[AdmissionRequest]:
        return [
            ticket
            for _, ticket in ranked
            if now_ms >= self.wait_deadline_ms(ticket)
        ]

    def _excess_past_objective(
        self, ranked: list[tuple[SortKey, AdmissionRequest]]
    ) -> list[AdmissionRequest]:
        return []


class _NoLateBinding(TwoChoices):
    """Queues each request at one target only."""

    def pick_several(
        self, candidates: Candidates, count: int, now_ms: float
    ) -> list[MemberEntry]:
        return []


class _NoBriefWork(BriefWork):
    """Gives brief requests no precedence."""

    def is_brief(self, route: str, slots: int, now_ms: float) -> bool:
        return False


class _Unranked(DeadlineAdmission):
    """Admits requests of all priorities as equally urgent."""

    def offer(
        self, ticket: AdmissionRequest, now_ms: float
    ) -> AdmissionDecision:
        ticket.priority = 0
        return super().offer(ticket, now_ms)


class _NoRandomRejections(RandomRejections):
    """Takes every rejection for that of a full target."""

    def on_rejected(self, in_flight: int, slots: int, now_ms: float) -> bool:
        return False


class _NoImportance(RouteImportance):
    """Gives every request the same claim to the retry budget."""

    def of(self, upstream: str, route: str, idempotent: bool) -> Importance:
        return Importance.OTHER


class _NoSiblings(SiblingCalls):
    """Decides about each call without its siblings."""

    def join(self, route: str, deadline_ms: float, now_ms: float) -> CallGroup:
        return CallGroup(now_ms, deadline_ms, size=1)


def _without_random_rejections(node: ModelNode) -> None:
    node.owner.random_rejections = _NoRandomRejections()


def _without_call_first(node: ModelNode) -> None:
    node.forwarder.retries.importance = _NoImportance()


def _without_siblings(node: ModelNode) -> None:
    node.forwarder.retries.siblings = _NoSiblings()


def _without_short_delay(node: ModelNode) -> None:
    longest_ms = FULL_TARGET_DELAY_MS - 1
    node.owner.rejection_delay = RejectionDelay(longest_ms, longest_ms)


def _without_rank_load(node: ModelNode) -> None:
    admission = node.owner.admission_queue.admission
    assert isinstance(admission, DeadlineAdmission)
    admission.rank_load = _NoRankLoad()


def _use_admission(node: ModelNode, kind: type[DeadlineAdmission]) -> None:
    limit = node.owner.admission_queue.admission.limit
    assert isinstance(limit, SlotLimit)
    node.owner.admission_queue.admission = kind(limit)


def _without_brief_first(node: ModelNode) -> None:
    admission = node.owner.admission_queue.admission
    assert isinstance(admission, DeadlineAdmission)
    admission.brief_work = _NoBriefWork(admission.service_times)


def _without_late_binding(node: ModelNode) -> None:
    balancer = node.forwarder.load_balancer
    assert isinstance(balancer, TwoChoices)
    node.forwarder.load_balancer = _NoLateBinding(balancer.rng, balancer.ramp)


def _without_free_rejections(node: ModelNode) -> None:
    node.forwarder.retries.free_rejections = False


def _without_caller_timeouts(node: ModelNode) -> None:
    node.caller_timeouts = _NoElapsedTime()


def _without_first_callers(node: ModelNode) -> None:
    node.caller_timeouts.first_callers = 1


def _without_first_samples(node: ModelNode) -> None:
    admission = node.owner.admission_queue.admission
    assert isinstance(admission, DeadlineAdmission)
    admission.service_times.first_samples = PLAIN_MEAN_SAMPLES
    if node.forwarder.hedging is not None:
        node.forwarder.hedging.response_times.first_samples = PLAIN_MEAN_SAMPLES


def _without_deferred_bodies(node: ModelNode) -> None:
    node.forwarder.deferred_body_min_bytes = sys.maxsize


def _without_rate_limits(node: ModelNode) -> None:
    node.owner.rate_limit = _NoRateLimit()


def _without_hedging(node: ModelNode) -> None:
    node.forwarder.hedging = None


MECHANISMS: dict[str, Switch] = {
    "brief-first": _without_brief_first,
    "calls-retried-first": _without_call_first,
    "first-callers": _without_first_callers,
    "first-samples": _without_first_samples,
    "hedging": _without_hedging,
    "held-back-bodies": _without_deferred_bodies,
    "late-binding": _without_late_binding,
    "late-limit": lambda node: _use_admission(node, _NoLimitPastObjective),
    "offers": _without_free_rejections,
    "joint-rejections": _without_siblings,
    "overtaking": _without_rank_load,
    "patience": _without_caller_timeouts,
    "random-rejections": _without_random_rejections,
    "rate-limits": _without_rate_limits,
    "ranks": lambda node: _use_admission(node, _Unranked),
    "short-delays": _without_short_delay,
}
