"""A heap of events that drives admission as callers and one target would."""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from pomelobank_core import (
    Admission,
    AdmissionPolicy,
    AdmissionRequest,
    ConcurrencyLimit,
    ErrorKind,
    FirstCome,
    FixedPartition,
    GuaranteedShared,
    QueueChange,
    Rejected,
    Started,
    TrafficClass,
    WorkResult,
)

PERCENT = {
    TrafficClass.INTERACTIVE: 40,
    TrafficClass.INTERNAL: 10,
    TrafficClass.BATCH: 10,
}
POLICIES = {
    "guaranteed_shared": GuaranteedShared(PERCENT),
    "fixed_partition": FixedPartition(PERCENT),
    "first_come": FirstCome(),
}


@attrs.define
class EventQueue:
    """Events in the order of their times; the clock of a test."""

    now_ms: float = 0.0
    heap: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list
    )
    number: itertools.count = attrs.field(factory=itertools.count)

    def schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (at_ms, next(self.number), action))

    def run(self) -> None:
        while self.heap:
            self.now_ms, _, action = heapq.heappop(self.heap)
            action()


@attrs.define(eq=False)
class Call:
    """A caller's request and what became of it."""

    traffic_class: TrafficClass
    at_ms: float
    work_ms: float
    timeout_ms: float
    route: str
    outcome: str = ""
    ended_ms: float = 0.0

    @property
    def took_ms(self) -> float:
        return self.ended_ms - self.at_ms


@attrs.define(slots=False)
class Bench:
    """One target behind admission; the target obeys its slots."""

    policy: AdmissionPolicy
    slots: int = 10
    max_queue_ms: int = 200
    events: EventQueue = attrs.field(factory=EventQueue)
    calls: list[Call] = attrs.field(factory=list)
    waiting: dict[AdmissionRequest, Call] = attrs.field(factory=dict)
    slow_factor: float = 1.0
    max_in_flight: int = 0

    def __attrs_post_init__(self) -> None:
        limit = ConcurrencyLimit(self.slots, current=self.slots, cold=False)
        self.admission = Admission(
            self.policy, limit, self.max_queue_ms, random.Random(1)
        )

    def call(
        self,
        at_ms: float,
        traffic_class: TrafficClass = TrafficClass.INTERACTIVE,
        work_ms: float = 10,
        timeout_ms: float = 1000,
    ) -> None:
        call = Call(
            traffic_class,
            at_ms,
            work_ms,
            timeout_ms,
            f"{traffic_class.value}-{work_ms}",
        )
        self.calls.append(call)
        self.events.schedule(at_ms, lambda: self._offer(call))

    def load(
        self, per_s: float, until_ms: float, seed: int = 1, **arguments: object
    ) -> None:
        """Adds calls at random times, so many a second on average."""
        rng = random.Random(seed)
        at_ms = rng.expovariate(per_s / 1000)
        while at_ms < until_ms:
            self.call(at_ms, **arguments)  # type: ignore[arg-type]
            at_ms += rng.expovariate(per_s / 1000)

    def outcomes(
        self, traffic_class: TrafficClass | None = None
    ) -> dict[str, list[float]]:
        """Returns the times to each outcome."""
        found: dict[str, list[float]] = {}
        for call in self.calls:
            if traffic_class in (None, call.traffic_class):
                found.setdefault(call.outcome, []).append(call.took_ms)
        return found

    def _offer(self, call: Call) -> None:
        now_ms = self.events.now_ms
        ticket = AdmissionRequest(
            call.traffic_class, call.route, now_ms + call.timeout_ms
        )
        verdict = self.admission.offer(ticket, now_ms)
        if isinstance(verdict, Rejected):
            self._end(call, verdict.kind.value)
        elif isinstance(verdict, Started):
            self._begin(ticket, call)
        else:
            self.waiting[ticket] = call
            self.events.schedule(ticket.deadline_ms, self._look)

    def _look(self) -> None:
        self._carry_out(self.admission.start_waiting(self.events.now_ms))

    def _begin(self, ticket: AdmissionRequest, call: Call) -> None:
        self.max_in_flight = max(self.max_in_flight, self.admission.in_flight)
        end_ms = self.events.now_ms + call.work_ms * self.slow_factor
        self.events.schedule(end_ms, lambda: self._finish(ticket, call))

    def _finish(self, ticket: AdmissionRequest, call: Call) -> None:
        now_ms = self.events.now_ms
        in_time = now_ms <= ticket.deadline_ms
        self._end(call, "answered" if in_time else "deadline_unknown")
        change = self.admission.finish(ticket, WorkResult.RESPONDED, now_ms)
        self._carry_out(change)

    def _carry_out(self, change: QueueChange) -> None:
        for ticket in change.started:
            self._begin(ticket, self.waiting.pop(ticket))
        for ticket in change.expired:
            call = self.waiting.pop(ticket)
            self._end(call, ErrorKind.DEADLINE_NOT_RUN.value)

    def _end(self, call: Call, outcome: str) -> None:
        call.outcome = outcome
        call.ended_ms = self.events.now_ms


def quantile(values: list[float], part: float) -> float:
    """Returns a quantile of values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
