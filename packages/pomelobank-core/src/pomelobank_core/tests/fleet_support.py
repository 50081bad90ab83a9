"""Simulates entries and targets on an event queue.

The simulation covers load balancing, admission and retries.
"""

import random

import attrs

from pomelobank_core import (
    Admission,
    AdmissionRequest,
    CandidateIndex,
    ConcurrencyLimit,
    ErrorKind,
    FailedAttempt,
    LoadBalancer,
    MemberTable,
    QueueChange,
    Rejected,
    RequestOutcome,
    RetryPolicy,
    RoundRobin,
    Started,
    TargetResult,
    TrafficClass,
    TwoChoices,
    WorkResult,
    target_result,
)
from pomelobank_core.tests.load_support import POLICIES, Call, EventQueue
from pomelobank_schema.generated.peer import MemberEntry

HOP_MS = 1.0
UPSTREAM = "stock"
TRAFFIC_CLASS = TrafficClass.INTERACTIVE.value


def member(name: str, data_centre: str = "hobart", slots: int = 10, **changes):
    return MemberEntry(
        node=name,
        incarnation=changes.pop("incarnation", 1),
        state=changes.pop("state", "ready"),
        data_centre=data_centre,
        upstream=changes.pop("upstream", UPSTREAM),
        slots=slots,
        **changes,
    )


@attrs.define(eq=False)
class FleetTarget:
    """A target with its own admission; the target may be slow or dead."""

    entry: MemberEntry
    admission: Admission
    slow_factor: float = 1.0
    dead: bool = False
    runs: int = 0
    waiting: dict[AdmissionRequest, "Visit"] = attrs.field(factory=dict)
    present: list["Visit"] = attrs.field(factory=list)


@attrs.define(eq=False)
class Visit:
    """One attempt of a call at a target."""

    call: Call
    entry: "FleetEntry"
    target: FleetTarget
    attempted: set[str]
    sent_ms: float
    ticket: AdmissionRequest | None = None
    ended: bool = False
    retry_after_ms: int = 0


@attrs.define(eq=False)
class FleetEntry:
    """A node that receives requests from callers."""

    index: CandidateIndex
    load_balancer: LoadBalancer
    retries: RetryPolicy


class Fleet:
    """Entries, targets and the outcome of every call."""

    def __init__(
        self,
        members: list[MemberEntry],
        entries: int = 3,
        round_robin: bool = False,
        data_centre: str = "hobart",
        retrying: bool = True,
        aim_ms: float = 0.0,
    ) -> None:
        self.events = EventQueue()
        self.calls: list[Call] = []
        self.runs: dict[int, int] = {}
        self.retrying = retrying
        self.aim_ms = aim_ms
        self.attempts = 0
        self.targets = {item.node: _new_target(item) for item in members}
        self.entries = []
        for number in range(entries):
            own = member(f"entry-{number}", data_centre, upstream="")
            table = MemberTable(own)
            table.merge(members)
            load_balancer: LoadBalancer = RoundRobin()
            if not round_robin:
                load_balancer = TwoChoices(random.Random(number))
            self.entries.append(
                FleetEntry(
                    CandidateIndex(table),
                    load_balancer,
                    RetryPolicy(random.Random(number)),
                )
            )

    def load(
        self,
        per_s: float,
        until_ms: float,
        from_ms: float = 0,
        work_ms: float = 10,
        timeout_ms: float = 1000,
        seed: int = 1,
        weights: tuple[int, ...] | None = None,
    ) -> None:
        rng = random.Random(seed)
        at_ms = from_ms
        while (at_ms := at_ms + rng.expovariate(per_s / 1000)) < until_ms:
            call = Call(
                TrafficClass.INTERACTIVE, at_ms, work_ms, timeout_ms, "r"
            )
            (entry,) = rng.choices(self.entries, weights)
            self.calls.append(call)
            self.events.schedule(
                at_ms, lambda c=call, e=entry: self._start_call(c, e)
            )

    def merge(self, *entries: MemberEntry) -> None:
        for entry in self.entries:
            entry.index.table.merge(entries)

    def kill(self, name: str) -> None:
        """Ends the target's instance and all calls that are present there."""
        target = self.targets[name]
        target.dead = True
        for visit in list(target.present):
            self._end_visit(visit, ErrorKind.PEER_LOST)
        target.admission = _new_target(target.entry).admission
        target.waiting.clear()

    def outcomes(self, from_ms: float = 0, until_ms: float = 1e9):
        times_by_outcome: dict[str, list[float]] = {}
        for call in self.calls:
            if from_ms <= call.at_ms < until_ms:
                times_by_outcome.setdefault(call.outcome, []).append(
                    call.took_ms
                )
        return times_by_outcome

    def _start_call(self, call: Call, entry: FleetEntry) -> None:
        entry.retries.on_first_attempt(UPSTREAM, self.events.now_ms)
        self._attempt(call, entry, set())

    def _attempt(self, call: Call, entry: FleetEntry, tried: set[str]) -> None:
        now_ms = self.events.now_ms
        candidates = entry.index.of(UPSTREAM)
        retry_after_ms = entry.load_balancer.all_full_retry_after_ms(
            candidates, TRAFFIC_CLASS, now_ms
        )
        if retry_after_ms and not tried:
            self._end(call, ErrorKind.OVERLOADED.value)
            return
        chosen = entry.load_balancer.pick(
            candidates, tried, TRAFFIC_CLASS, now_ms
        )
        if chosen is None:
            self._end(call, ErrorKind.NO_TARGET.value)
            return
        self.attempts += 1
        tried.add(chosen.node)
        entry.load_balancer.on_sent(chosen, now_ms)
        target = self.targets[chosen.node]
        visit = Visit(call, entry, target, tried, now_ms)
        target.present.append(visit)
        self.events.schedule(now_ms + HOP_MS, lambda: self._arrive(visit))

    def _arrive(self, visit: Visit) -> None:
        if visit.ended:
            return
        if visit.target.dead:
            self._end_visit(visit, ErrorKind.PEER_UNREACHABLE)
            return
        now_ms = self.events.now_ms
        call = visit.call
        visit.ticket = AdmissionRequest(
            call.traffic_class, call.route, call.at_ms + call.timeout_ms
        )
        verdict = visit.target.admission.offer(visit.ticket, now_ms)
        if isinstance(verdict, Rejected):
            visit.retry_after_ms = verdict.retry_after_ms
            self._end_visit(visit, verdict.kind)
        elif isinstance(verdict, Started):
            self._run(visit)
        else:
            visit.target.waiting[visit.ticket] = visit
            self.events.schedule(
                visit.ticket.deadline_ms,
                lambda: self._start_waiting(visit.target),
            )

    def _start_waiting(self, target: FleetTarget) -> None:
        change = target.admission.start_waiting(self.events.now_ms)
        self._apply_change(target, change)

    def _run(self, visit: Visit) -> None:
        visit.target.runs += 1
        key = id(visit.call)
        self.runs[key] = self.runs.get(key, 0) + 1
        work_ms = visit.call.work_ms * visit.target.slow_factor
        end_ms = self.events.now_ms + work_ms
        self.events.schedule(end_ms, lambda: self._on_run_ended(visit))

    def _on_run_ended(self, visit: Visit) -> None:
        if visit.ended:
            return
        assert visit.ticket is not None
        now_ms = self.events.now_ms
        change = visit.target.admission.finish(
            visit.ticket, WorkResult.RESPONDED, now_ms
        )
        past_deadline = now_ms > visit.ticket.deadline_ms
        self._end_visit(
            visit, ErrorKind.DEADLINE_UNKNOWN if past_deadline else None
        )
        self._apply_change(visit.target, change)

    def _apply_change(self, target: FleetTarget, change: QueueChange) -> None:
        for ticket in change.started:
            self._run(target.waiting.pop(ticket))
        for ticket in change.expired:
            self._end_visit(
                target.waiting.pop(ticket), ErrorKind.DEADLINE_NOT_RUN
            )

    def _end_visit(self, visit: Visit, error: ErrorKind | None) -> None:
        visit.ended = True
        visit.target.present.remove(visit)
        self.events.schedule(
            self.events.now_ms + HOP_MS, lambda: self._on_returned(visit, error)
        )

    def _on_returned(self, visit: Visit, error: ErrorKind | None) -> None:
        now_ms = self.events.now_ms
        result = TargetResult.RESPONDED
        if error is not None:
            result = target_result(error, visit.call.timeout_ms)
        admission = visit.target.admission
        outcome = RequestOutcome(
            result,
            TRAFFIC_CLASS,
            now_ms - visit.sent_ms,
            admission.in_flight + admission.waiting,
            visit.retry_after_ms,
            visit.call.route,
            self.aim_ms,
        )
        entry = visit.entry
        candidates = entry.index.of(UPSTREAM)
        chosen = visit.target.entry
        entry.load_balancer.on_ended(chosen, candidates, outcome, now_ms)
        if error is None:
            self._end(visit.call, "answered")
            return
        self._retry(visit, error)

    def _retry(self, visit: Visit, error: ErrorKind) -> None:
        now_ms = self.events.now_ms
        entry = visit.entry
        alternative = entry.load_balancer.pick(
            entry.index.of(UPSTREAM), visit.attempted, TRAFFIC_CLASS, now_ms
        )
        attempt = FailedAttempt(
            error=error,
            idempotent=True,
            attempts=len(visit.attempted),
            transparent_retries=0,
            remaining_ms=visit.call.at_ms + visit.call.timeout_ms - now_ms,
            other_has_capacity=alternative is not None
            and entry.load_balancer.has_capacity(
                alternative, TRAFFIC_CLASS, now_ms
            ),
        )
        retry = entry.retries.decide(UPSTREAM, attempt, now_ms)
        if retry is None or not self.retrying:
            self._end(visit.call, error.value)
            return
        self.events.schedule(
            now_ms + retry.delay_ms,
            lambda: self._attempt(visit.call, entry, visit.attempted),
        )

    def _end(self, call: Call, outcome: str) -> None:
        call.outcome = outcome
        call.ended_ms = self.events.now_ms


def _new_target(entry: MemberEntry) -> FleetTarget:
    limit = ConcurrencyLimit(entry.slots, entry.slots, cold=False)
    policy = POLICIES["guaranteed_shared"]
    return FleetTarget(
        entry, Admission(policy, limit, 200, random.Random(entry.node))
    )
