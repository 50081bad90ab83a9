"""Simulation of callers and one target behind admission."""

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
    """Priority queue of timed events; its time is the clock of a test."""

    now_ms: float = 0.0
    heap: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list
    )
    sequence: itertools.count = attrs.field(factory=itertools.count)

    def schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (at_ms, next(self.sequence), action))

    def run(self) -> None:
        while self.heap:
            self.now_ms, _, action = heapq.heappop(self.heap)
            action()


@attrs.define(eq=False)
class Call:
    """A caller's request and its outcome."""

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
    """One simulated target behind admission, which enforces its slots."""

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
        """Adds calls at random times, `per_s` a second on average."""
        rng = random.Random(seed)
        at_ms = rng.expovariate(per_s / 1000)
        while at_ms < until_ms:
            self.call(at_ms, **arguments)  # type: ignore[arg-type]
            at_ms += rng.expovariate(per_s / 1000)

    def outcomes(
        self, traffic_class: TrafficClass | None = None
    ) -> dict[str, list[float]]:
        """Returns the durations of the calls by outcome."""
        durations: dict[str, list[float]] = {}
        for call in self.calls:
            if traffic_class in (None, call.traffic_class):
                durations.setdefault(call.outcome, []).append(call.took_ms)
        return durations

    def _offer(self, call: Call) -> None:
        now_ms = self.events.now_ms
        request = AdmissionRequest(
            call.traffic_class, call.route, now_ms + call.timeout_ms
        )
        decision = self.admission.offer(request, now_ms)
        if isinstance(decision, Rejected):
            self._end(call, decision.kind.value)
        elif isinstance(decision, Started):
            self._begin(request, call)
        else:
            self.waiting[request] = call
            self.events.schedule(request.deadline_ms, self._start_waiting)

    def _start_waiting(self) -> None:
        self._apply_change(self.admission.start_waiting(self.events.now_ms))

    def _begin(self, request: AdmissionRequest, call: Call) -> None:
        self.max_in_flight = max(self.max_in_flight, self.admission.in_flight)
        end_ms = self.events.now_ms + call.work_ms * self.slow_factor
        self.events.schedule(end_ms, lambda: self._finish(request, call))

    def _finish(self, request: AdmissionRequest, call: Call) -> None:
        now_ms = self.events.now_ms
        in_time = now_ms <= request.deadline_ms
        self._end(call, "answered" if in_time else "deadline_unknown")
        change = self.admission.finish(request, WorkResult.RESPONDED, now_ms)
        self._apply_change(change)

    def _apply_change(self, change: QueueChange) -> None:
        for request in change.started:
            self._begin(request, self.waiting.pop(request))
        for request in change.expired:
            call = self.waiting.pop(request)
            self._end(call, ErrorKind.DEADLINE_NOT_RUN.value)

    def _end(self, call: Call, outcome: str) -> None:
        call.outcome = outcome
        call.ended_ms = self.events.now_ms


def quantile(values: list[float], fraction: float) -> float:
    """Returns the quantile of the values at a fraction from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
