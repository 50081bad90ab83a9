"""Mechanisms that an experiment can switch off, one by one."""

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
    SlotLimit,
    TwoChoices,
)
from pomelobank_node._forwarder import Forwarder
from pomelobank_node._owner import Owner
from pomelobank_schema.generated.peer import MemberEntry


@attrs.define(eq=False)
class ModelNode:
    """The parts of one node that decide about requests.

    Attributes:
        name: Its name.
        forwarder: Places requests and sends them.
        owner: Runs them on its target.
        caller_timeouts: Tells what callers have used on earlier attempts.
    """

    name: str
    forwarder: Forwarder
    owner: Owner
    caller_timeouts: CallerTimeouts = attrs.field(factory=CallerTimeouts)


Switch = Callable[[ModelNode], None]


class _NobodyOvertakes(RankLoad):
    def available_fraction(
        self, rank: Rank, slots: int, now_ms: float
    ) -> float:
        return 1.0


class _AllAreNew(CallerTimeouts):
    def elapsed_ms(self, route: str, given_ms: int) -> int:
        return 0


class _LateMayWait(DeadlineAdmission):
    def _expected_to_time_out(self, now_ms: float) -> list[AdmissionRequest]:
        return [
            ticket
            for ticket in self.queue
            if now_ms >= self.wait_deadline_ms(ticket)
        ]

    def _excess_past_objective(self, now_ms: float) -> list[AdmissionRequest]:
        return []


class _OneQueue(TwoChoices):
    def pick_several(
        self, candidates: Candidates, count: int, now_ms: float
    ) -> list[MemberEntry]:
        return []


class _NothingIsBrief(BriefWork):
    def is_brief(self, route: str, slots: int, now_ms: float) -> bool:
        return False


class _Unranked(DeadlineAdmission):
    def offer(
        self, ticket: AdmissionRequest, now_ms: float
    ) -> AdmissionDecision:
        ticket.priority = 0
        return super().offer(ticket, now_ms)


def _without_overtaking(node: ModelNode) -> None:
    admission = node.owner.admission_queue.admission
    assert isinstance(admission, DeadlineAdmission)
    admission.rank_load = _NobodyOvertakes()


def _admit_by(node: ModelNode, kind: type[DeadlineAdmission]) -> None:
    limit = node.owner.admission_queue.admission.limit
    assert isinstance(limit, SlotLimit)
    node.owner.admission_queue.admission = kind(limit)


def _without_brief_first(node: ModelNode) -> None:
    admission = node.owner.admission_queue.admission
    assert isinstance(admission, DeadlineAdmission)
    admission.brief_work = _NothingIsBrief(admission.service_times)


def _without_late_binding(node: ModelNode) -> None:
    placing = node.forwarder.load_balancer
    assert isinstance(placing, TwoChoices)
    node.forwarder.load_balancer = _OneQueue(placing.rng, placing.ramp)


def _without_offers(node: ModelNode) -> None:
    node.forwarder.retries.free_rejections = False


def _without_patience(node: ModelNode) -> None:
    node.caller_timeouts = _AllAreNew()


def _without_held_back_bodies(node: ModelNode) -> None:
    node.forwarder.deferred_body_min_bytes = sys.maxsize


def _without_hedging(node: ModelNode) -> None:
    node.forwarder.hedging = None


MECHANISMS: dict[str, Switch] = {
    "brief-first": _without_brief_first,
    "hedging": _without_hedging,
    "held-back-bodies": _without_held_back_bodies,
    "late-binding": _without_late_binding,
    "late-limit": lambda node: _admit_by(node, _LateMayWait),
    "offers": _without_offers,
    "overtaking": _without_overtaking,
    "patience": _without_patience,
    "ranks": lambda node: _admit_by(node, _Unranked),
}
