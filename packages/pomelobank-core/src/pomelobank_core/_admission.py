"""Decides which requests a target runs, which wait and which are refused."""

import random
from collections import deque
from collections.abc import Iterator

import attrs

from pomelobank_core._admission_request import (
    AdmissionDecision,
    AdmissionRequest,
    Queued,
    Started,
    TrafficClass,
)
from pomelobank_core._base_admission import MAX_ISOLATION_HOLD_MS, BaseAdmission
from pomelobank_core._concurrency import ConcurrencyLimit
from pomelobank_core._errors import ErrorKind
from pomelobank_core._latency import ServiceTimes
from pomelobank_core._rejections import (
    MAX_RETRY_AFTER_MS,
)
from pomelobank_core._slot_sharing import (
    AdmissionPolicy,
    GuaranteedShared,
    may_start,
    next_class,
    queued_ahead,
    usable_busy_slots,
)

# A class that has not asked for this long lends its guaranteed part, so that a
# target which serves one class only is used in full. A minute outlasts the
# pauses of a counter; what it costs is one long request's time, once, when the
# class comes back.
RESERVE_MS = 60_000
# Taken for a class's service time before the first was measured: a burst at a
# cold target would otherwise queue without any bound.
UNMEASURED_MS = 100.0


def _per_class() -> dict[TrafficClass, int]:
    return dict.fromkeys(TrafficClass, 0)


def _queues() -> dict[TrafficClass, deque[AdmissionRequest]]:
    return {traffic_class: deque() for traffic_class in TrafficClass}


@attrs.define
class Admission(BaseAdmission):
    """Slots and queue of one target.

    Made for bursts above what the target can run, and for batch work that
    takes every slot it can get. Without it, requests wait inside the target
    past their callers' deadlines and the target works on answers that nobody
    waits for; one notices by goodput that falls while the target is busy.

    Attributes:
        policy: How classes share the slots.
        limit: Requests tried at once.
        max_queue_ms: Longest wait that is planned. A queue is for bursts; a
            standing one adds its length to every answer and serves no more.
        rng: Source of randomness.
        service_times: Measured service times.
        running: Requests at the target, by class.
        queues: Waiting requests, by class.
        seen_ms: When each class asked last.
    """

    policy: AdmissionPolicy
    limit: ConcurrencyLimit
    max_queue_ms: int
    rng: random.Random = attrs.field(factory=random.Random)
    service_times: ServiceTimes = attrs.field(factory=ServiceTimes)
    running: dict[TrafficClass, int] = attrs.field(factory=_per_class)
    queues: dict[TrafficClass, deque[AdmissionRequest]] = attrs.field(
        factory=_queues
    )
    seen_ms: dict[TrafficClass, float] = attrs.field(factory=dict)

    @property
    def in_flight(self) -> int:
        """Requests at the target."""
        return sum(self.running.values())

    @property
    def queued(self) -> int:
        """Requests in the queue, without one that waits to run alone."""
        return sum(len(queue) for queue in self.queues.values())

    def offer(
        self, ticket: AdmissionRequest, now_ms: float
    ) -> AdmissionDecision:
        """Decides about a request that has just come.

        Args:
            ticket: The request.
            now_ms: Current time.

        Returns:
            Whether it starts, waits or is refused.
        """
        self.seen_ms[ticket.traffic_class] = now_ms
        return super().offer(ticket, now_ms)

    def expected_service_ms(self, route: str, now_ms: float) -> float:
        """Returns the time that a route's requests usually take."""
        return self.service_times.of_route(route)

    def max_expected_service_ms(self, now_ms: float) -> float:
        """Returns the usual request time of the slowest route in ms."""
        return self.service_times.max_ms()

    def wait_deadline_ms(self, ticket: AdmissionRequest) -> float:
        """Returns until when a request may wait: to its deadline."""
        return ticket.deadline_ms

    def queued_requests(self) -> list[AdmissionRequest]:
        """Returns the waiting requests, class by class."""
        return [ticket for queue in self.queues.values() for ticket in queue]

    def _offer_shared(
        self, ticket: AdmissionRequest, now_ms: float
    ) -> AdmissionDecision:
        if self._starts_at_once(ticket, now_ms):
            self._start(ticket, now_ms)
            return Started()
        return self._offer_wait(ticket, now_ms)

    def _offer_wait(
        self, ticket: AdmissionRequest, now_ms: float
    ) -> AdmissionDecision:
        # Refusing at once leaves the caller time to go elsewhere; a request
        # that waits and then misses its deadline has cost a place for nothing.
        wait_ms = self._wait_ms(ticket.traffic_class, now_ms)
        room_ms = ticket.deadline_ms - now_ms
        room_ms -= self.service_times.of_route(ticket.route)
        usual_ms = self._usual_ms(ticket.traffic_class)
        # One service time is always planned for: work that takes longer than
        # the longest wait could otherwise never wait for its turn.
        planned_ms = min(room_ms, max(self.max_queue_ms, usual_ms))
        if wait_ms > planned_ms:
            return self._reject(ErrorKind.OVERLOADED, wait_ms)
        self.queues[ticket.traffic_class].append(ticket)
        return Queued()

    def _offer_isolated(
        self, ticket: AdmissionRequest, now_ms: float
    ) -> AdmissionDecision:
        # One at a time: several would empty the target for each in turn and
        # take it from the requests that are no danger.
        if self.isolated_request is not None:
            return self._reject(ErrorKind.OVERLOADED, self.max_queue_ms)
        # Everything else is held until the target is empty. Behind long work
        # that would idle it for seconds; the suspect comes back later.
        empty_ms = self._empty_ms()
        room_ms = min(ticket.deadline_ms - now_ms, MAX_ISOLATION_HOLD_MS)
        if empty_ms > room_ms:
            return self._reject(ErrorKind.OVERLOADED, empty_ms)
        return self._start_isolated(ticket, now_ms)

    def _empty_ms(self) -> float:
        busy = [item for item, slots in self.running.items() if slots]
        return max(map(self._usual_ms, busy), default=0.0)

    def _starts_at_once(self, ticket: AdmissionRequest, now_ms: float) -> bool:
        if self.isolated_request is not None:
            return False
        if not may_start(self.policy, self, ticket.traffic_class, now_ms):
            return False
        return not queued_ahead(self.policy, self, ticket.traffic_class)

    def _acquire(self, ticket: AdmissionRequest) -> None:
        self.running[ticket.traffic_class] += 1

    def _release(self, ticket: AdmissionRequest) -> None:
        self.running[ticket.traffic_class] -= 1

    def _remove_queued(self, ticket: AdmissionRequest) -> None:
        queue = self.queues[ticket.traffic_class]
        if ticket in queue:
            queue.remove(ticket)

    def _start_queued(self, now_ms: float) -> Iterator[AdmissionRequest]:
        while (chosen := next_class(self.policy, self, now_ms)) is not None:
            ticket = self.queues[chosen].popleft()
            self._start(ticket, now_ms)
            yield ticket

    def _drop_queued(self, now_ms: float) -> list[AdmissionRequest]:
        passed = [
            ticket
            for ticket in self.queued_requests()
            if ticket.deadline_ms <= now_ms
        ]
        for ticket in passed:
            self.queues[ticket.traffic_class].remove(ticket)
        return passed

    def _wait_ms(self, traffic_class: TrafficClass, now_ms: float) -> float:
        ahead = queued_ahead(self.policy, self, traffic_class) + 1
        rate = sum(
            slots / max(self._usual_ms(other), 1.0)
            for other, slots in usable_busy_slots(
                self.policy, self, traffic_class, now_ms
            ).items()
        )
        if not rate:
            return float(MAX_RETRY_AFTER_MS)
        return ahead / rate

    def _usual_ms(self, traffic_class: TrafficClass) -> float:
        return self.service_times.of_class(traffic_class.value) or UNMEASURED_MS

    def _add_service_time(
        self, ticket: AdmissionRequest, took_ms: float, now_ms: float
    ) -> None:
        self.service_times.add(
            ticket.traffic_class.value, ticket.route, took_ms
        )

    def reserved(self, traffic_class: TrafficClass, now_ms: float) -> int:
        """Returns the slots kept free for a class just now."""
        if not isinstance(self.policy, GuaranteedShared):
            return 0
        part = self.policy.slots_for(traffic_class, self.limit.current)
        seen_ms = self.seen_ms.get(traffic_class)
        if seen_ms is not None and now_ms - seen_ms < RESERVE_MS:
            return part
        # One slot stays for the first interactive request after a pause, which
        # would else wait for the end of a long report.
        return min(part, int(traffic_class is TrafficClass.INTERACTIVE))
