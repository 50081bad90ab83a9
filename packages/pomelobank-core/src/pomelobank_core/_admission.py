"""Admission by traffic class: starts, queues or rejects requests."""

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

# Time without a request after which a class lends out its guaranteed slots, so
# that a target that serves a single class can use all of its slots. A minute is
# longer than the pauses in a counter's look-ups. When the class returns, its
# first request may wait once for a long request to finish.
CLASS_IDLE_AFTER_MS = 60_000
# Expected service time of a class without measurements. With 0 the queue of a
# cold target would have no bound during a burst.
DEFAULT_SERVICE_TIME_MS = 100.0


def _per_class() -> dict[TrafficClass, int]:
    return dict.fromkeys(TrafficClass, 0)


def _queues() -> dict[TrafficClass, deque[AdmissionRequest]]:
    return {traffic_class: deque() for traffic_class in TrafficClass}


@attrs.define
class Admission(BaseAdmission):
    """Slots and queues of one target, shared by traffic class.

    Handles bursts above the target's capacity and batch work that takes every
    free slot. Without admission control, requests would queue inside the target
    past their callers' deadlines, and the target would compute responses that
    no caller waits for: goodput falls while the target is busy. The node
    therefore sends at most `limit` requests at once, keeps a short queue in
    front of the target and rejects requests that the queue cannot serve.

    Attributes:
        policy: How classes share the slots.
        limit: Limit of concurrent requests at the target.
        max_queue_ms: Maximum expected wait of a request that is queued. The
            queue absorbs bursts; a standing queue would add its length to
            every response time without raising throughput.
        rng: Random number generator.
        service_times: Measured service times.
        running: Number of requests at the target, by class.
        queues: Queued requests, by class.
        last_request_ms: Time of each class's last request.
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
    last_request_ms: dict[TrafficClass, float] = attrs.field(factory=dict)

    @property
    def in_flight(self) -> int:
        """Number of requests at the target."""
        return sum(self.running.values())

    @property
    def queued(self) -> int:
        """Number of queued requests, without a waiting isolated request."""
        return sum(len(queue) for queue in self.queues.values())

    def offer(
        self, request: AdmissionRequest, now_ms: float
    ) -> AdmissionDecision:
        """Decides about a request that has just arrived.

        Args:
            request: The request.
            now_ms: Current time.

        Returns:
            Whether the request starts, waits or is rejected.
        """
        self.last_request_ms[request.traffic_class] = now_ms
        return super().offer(request, now_ms)

    def expected_service_ms(self, route: str, now_ms: float) -> float:
        """Returns the expected service time of a route in ms."""
        return self.service_times.of_route(route)

    def max_expected_service_ms(self, now_ms: float) -> float:
        """Returns the slowest route's expected service time in ms."""
        return self.service_times.max_ms()

    def wait_deadline_ms(self, request: AdmissionRequest) -> float:
        """Returns the time until which a request may wait: its deadline."""
        return request.deadline_ms

    def queued_requests(self) -> list[AdmissionRequest]:
        """Returns the queued requests, class by class."""
        return [request for queue in self.queues.values() for request in queue]

    def _offer_shared(
        self, request: AdmissionRequest, now_ms: float
    ) -> AdmissionDecision:
        if self._can_start_now(request, now_ms):
            self._start(request, now_ms)
            return Started()
        return self._offer_wait(request, now_ms)

    def _offer_wait(
        self, request: AdmissionRequest, now_ms: float
    ) -> AdmissionDecision:
        # An immediate rejection leaves the caller time to try another target. A
        # request that waits and then misses its deadline takes a place in the
        # queue and returns no response.
        wait_ms = self._wait_ms(request.traffic_class, now_ms)
        available_ms = request.deadline_ms - now_ms
        available_ms -= self.service_times.of_route(request.route)
        expected_ms = self._expected_class_ms(request.traffic_class)
        # A wait of one service time is always allowed: work that takes longer
        # than max_queue_ms could otherwise never be queued.
        max_wait_ms = min(available_ms, max(self.max_queue_ms, expected_ms))
        if wait_ms > max_wait_ms:
            return self._reject(ErrorKind.OVERLOADED, wait_ms)
        self.queues[request.traffic_class].append(request)
        return Queued()

    def _offer_isolated(
        self, request: AdmissionRequest, now_ms: float
    ) -> AdmissionDecision:
        # Only one isolated request is admitted at a time: with several, the
        # target would be emptied for each in turn, and they would take the
        # slots from requests that are not suspects.
        if self.isolated_request is not None:
            return self._reject(ErrorKind.OVERLOADED, self.max_queue_ms)
        # All other requests are held until the target is empty. If the running
        # requests still take long, slots that become free would stand idle for
        # seconds, so the suspect is rejected and its caller retries later.
        until_empty_ms = self._time_until_empty_ms()
        available_ms = min(request.deadline_ms - now_ms, MAX_ISOLATION_HOLD_MS)
        if until_empty_ms > available_ms:
            return self._reject(ErrorKind.OVERLOADED, until_empty_ms)
        return self._start_isolated(request, now_ms)

    def _time_until_empty_ms(self) -> float:
        busy_classes = [item for item, slots in self.running.items() if slots]
        return max(map(self._expected_class_ms, busy_classes), default=0.0)

    def _can_start_now(self, request: AdmissionRequest, now_ms: float) -> bool:
        if self.isolated_request is not None:
            return False
        if not may_start(self.policy, self, request.traffic_class, now_ms):
            return False
        return not queued_ahead(self.policy, self, request.traffic_class)

    def _acquire(self, request: AdmissionRequest) -> None:
        self.running[request.traffic_class] += 1

    def _release(self, request: AdmissionRequest) -> None:
        self.running[request.traffic_class] -= 1

    def _remove_queued(self, request: AdmissionRequest) -> None:
        queue = self.queues[request.traffic_class]
        if request in queue:
            queue.remove(request)

    def _start_queued(self, now_ms: float) -> Iterator[AdmissionRequest]:
        while (chosen := next_class(self.policy, self, now_ms)) is not None:
            request = self.queues[chosen].popleft()
            self._start(request, now_ms)
            yield request

    def _drop_queued(self, now_ms: float) -> list[AdmissionRequest]:
        timed_out = [
            request
            for request in self.queued_requests()
            if request.deadline_ms <= now_ms
        ]
        for request in timed_out:
            self.queues[request.traffic_class].remove(request)
        return timed_out

    def _wait_ms(self, traffic_class: TrafficClass, now_ms: float) -> float:
        ahead = queued_ahead(self.policy, self, traffic_class) + 1
        rate = sum(
            slots / max(self._expected_class_ms(other), 1.0)
            for other, slots in usable_busy_slots(
                self.policy, self, traffic_class, now_ms
            ).items()
        )
        if not rate:
            return float(MAX_RETRY_AFTER_MS)
        return ahead / rate

    def _expected_class_ms(self, traffic_class: TrafficClass) -> float:
        return (
            self.service_times.of_class(traffic_class.value)
            or DEFAULT_SERVICE_TIME_MS
        )

    def _add_service_time(
        self, request: AdmissionRequest, took_ms: float, now_ms: float
    ) -> None:
        self.service_times.add(
            request.traffic_class.value, request.route, took_ms
        )

    def reserved(self, traffic_class: TrafficClass, now_ms: float) -> int:
        """Returns the number of slots now reserved for a class."""
        if not isinstance(self.policy, GuaranteedShared):
            return 0
        guaranteed = self.policy.slots_for(traffic_class, self.limit.current)
        seen_ms = self.last_request_ms.get(traffic_class)
        if seen_ms is not None and now_ms - seen_ms < CLASS_IDLE_AFTER_MS:
            return guaranteed
        # One slot stays reserved for the first interactive request after a
        # pause; without the slot the request would wait for a long report.
        return min(guaranteed, int(traffic_class is TrafficClass.INTERACTIVE))
