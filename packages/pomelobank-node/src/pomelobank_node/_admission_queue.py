"""Queues requests until admission grants each of them a slot."""

import asyncio
import math
import random
from typing import Any

import attrs

from pomelobank_core import (
    Admission,
    AdmissionPolicy,
    AdmissionRequest,
    Clock,
    ConcurrencyLimit,
    DeadlineAdmission,
    ErrorKind,
    FirstCome,
    FixedPartition,
    GuaranteedShared,
    QueueChange,
    Rejected,
    SlotLimit,
    Started,
    TrafficClass,
    Unlimited,
    WorkResult,
)
from pomelobank_node._requests import RequestError
from pomelobank_schema.generated.settings import RequestSettings

_MS_PER_S = 1000


def admission_policy(settings: RequestSettings) -> AdmissionPolicy:
    """Returns the admission policy that the settings select."""
    percent = {
        TrafficClass.INTERACTIVE: settings.interactive_percent,
        TrafficClass.INTERNAL: settings.internal_percent,
        TrafficClass.BATCH: settings.batch_percent,
    }
    policies: dict[str, AdmissionPolicy] = {
        "guaranteed_shared": GuaranteedShared(percent),
        "fixed_partition": FixedPartition(percent),
        "first_come": FirstCome(),
        "none": Unlimited(),
    }
    return policies[settings.admission]


_BY_DEADLINE = "by_deadline"


def new_admission(
    settings: RequestSettings,
) -> Admission | DeadlineAdmission:
    """Returns the admission of a target that has not announced itself yet."""
    if settings.admission == _BY_DEADLINE:
        return DeadlineAdmission(SlotLimit(settings.slots))
    return Admission(
        admission_policy(settings),
        ConcurrencyLimit.start(settings.slots),
        settings.max_queue_ms,
        random.Random(),
    )


@attrs.define(eq=False)
class AdmissionQueue:
    """Applies the decisions of admission to requests that wait for a slot.

    Attributes:
        admission: Decides which request runs, waits or is rejected.
        clock: Source of the current time.
        max_waiting: Maximum number of requests that wait. Each decision looks
            at all of them, so a longer queue takes the time of those that run.
        waiting: Queued requests, each with the future that ends its wait.
        waiting_tasks: Tasks of the queued requests.
        wait_count: Number of requests that had to wait, for the metrics.
        total_wait_ms: Sum of the waits of all requests.
        idle: Set while no request waits or runs.
    """

    admission: Admission | DeadlineAdmission
    clock: Clock
    max_waiting: int = RequestSettings().max_waiting
    waiting: dict[AdmissionRequest, asyncio.Future[None]] = attrs.field(
        factory=dict
    )
    waiting_tasks: dict[asyncio.Task[Any], AdmissionRequest] = attrs.field(
        factory=dict
    )
    wait_count: int = 0
    total_wait_ms: int = 0
    idle: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self.idle.set()

    @property
    def outstanding(self) -> int:
        """Number of requests that wait or run."""
        return self.admission.in_flight + self.admission.waiting

    def expected_service_ms(self, route: str) -> float:
        """Returns the expected service time of a route at the target."""
        return self.admission.expected_service_ms(route, self.clock.now_ms())

    def max_expected_service_ms(self) -> float:
        """Returns the slowest route's expected service time at the target."""
        return self.admission.max_expected_service_ms(self.clock.now_ms())

    async def acquire(self, request: AdmissionRequest) -> None:
        """Waits until the request holds a slot.

        Args:
            request: The request; the caller must `release` its slot later.

        Raises:
            RequestError: OVERLOADED or DEADLINE_NOT_RUN; the request has not
                run.
        """
        if self.admission.waiting >= self.max_waiting:
            raise RequestError(ErrorKind.OVERLOADED)
        decision = self.admission.offer(request, self.clock.now_ms())
        if isinstance(decision, Rejected):
            raise RequestError(decision.kind, decision.retry_after_ms)
        self.idle.clear()
        if isinstance(decision, Started):
            return
        await self._wait(request)

    def release(self, request: AdmissionRequest, result: WorkResult) -> None:
        """Releases the slot of a request that has ended."""
        now_ms = self.clock.now_ms()
        self._apply(self.admission.finish(request, result, now_ms))

    def reject_waiting(self, latest_deadline_ms: float = -math.inf) -> None:
        """Rejects queued requests because the target is draining.

        Args:
            latest_deadline_ms: Requests with an earlier deadline stay queued.
        """
        for request in list(self.waiting):
            if request.deadline_ms > latest_deadline_ms:
                self._reject_unless_started(request)

    def reject_if_waiting(self, task: asyncio.Task[Any]) -> None:
        """Rejects the queued request of a task; a running request goes on."""
        request = self.waiting_tasks.get(task)
        if request is not None:
            self._reject_unless_started(request)

    def _reject_unless_started(self, request: AdmissionRequest) -> None:
        if request.started_ms is None:
            self._resolve(request, RequestError(ErrorKind.DRAINING))

    def set_slots(self, slots: int) -> None:
        """Sets the number of slots."""
        now_ms = self.clock.now_ms()
        self._apply(self.admission.set_slots(slots, now_ms))

    async def _wait(self, request: AdmissionRequest) -> None:
        slot_granted = asyncio.get_running_loop().create_future()
        self.waiting[request] = slot_granted
        task = asyncio.current_task()
        assert task is not None
        self.waiting_tasks[task] = request
        wait_deadline_ms = self.admission.wait_deadline_ms(request)
        max_wait_ms = wait_deadline_ms - self.clock.now_ms()
        self.wait_count += 1
        started_ms = self.clock.now_ms()
        try:
            async with asyncio.timeout(max_wait_ms / _MS_PER_S):
                await slot_granted
        except TimeoutError:
            self._withdraw(request)
            raise RequestError(self._expiry_error(request)) from None
        except (asyncio.CancelledError, RequestError):
            self._withdraw(request)
            raise
        finally:
            self.waiting.pop(request, None)
            self.waiting_tasks.pop(task, None)
            self.total_wait_ms += self.clock.now_ms() - started_ms

    def _expiry_error(self, request: AdmissionRequest) -> ErrorKind:
        # With time left before the deadline, another target may still run the
        # request; OVERLOADED lets the sender retry there.
        if self.clock.now_ms() < request.deadline_ms:
            return ErrorKind.OVERLOADED
        return ErrorKind.DEADLINE_NOT_RUN

    def _withdraw(self, request: AdmissionRequest) -> None:
        # Admission may have granted the slot just before the request gave up.
        # A slot that is not released then would stay occupied forever.
        if request.started_ms is not None:
            self.release(request, WorkResult.ABANDONED)
            return
        now_ms = self.clock.now_ms()
        self._apply(self.admission.cancel(request, now_ms))

    def _apply(self, change: QueueChange) -> None:
        for request in change.started:
            self._resolve(request, None)
        for request in change.expired:
            self._resolve(request, RequestError(self._expiry_error(request)))
        if not self.outstanding:
            self.idle.set()

    def _resolve(
        self, request: AdmissionRequest, error: RequestError | None
    ) -> None:
        slot_granted = self.waiting.get(request)
        if slot_granted is None or slot_granted.done():
            return
        if error is None:
            slot_granted.set_result(None)
        else:
            slot_granted.set_exception(error)
