"""Lets requests wait for the slot that admission gives them."""

import asyncio
import random

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
    """Returns the policy that the settings name."""
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
    """Returns the admission of a target that is not known yet."""
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
    """Carries out what admission decides.

    Attributes:
        admission: Decides.
        clock: Tells the time.
        waiting: Requests that wait, each with what wakes it.
        wait_count: Requests that had to wait, for the metrics.
        total_wait_ms: Time that they waited, in all.
        idle: Set while no request waits or runs.
    """

    admission: Admission | DeadlineAdmission
    clock: Clock
    waiting: dict[AdmissionRequest, asyncio.Future[None]] = attrs.field(
        factory=dict
    )
    wait_count: int = 0
    total_wait_ms: int = 0
    idle: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self.idle.set()

    @property
    def outstanding(self) -> int:
        """Requests that wait or run."""
        return self.admission.in_flight + self.admission.waiting

    def expected_service_ms(self, route: str) -> float:
        """Returns the time that a route's requests usually take there."""
        return self.admission.expected_service_ms(route, self.clock.now_ms())

    def max_expected_service_ms(self) -> float:
        """Returns the slowest route's usual time at the target in ms."""
        return self.admission.max_expected_service_ms(self.clock.now_ms())

    async def acquire(self, ticket: AdmissionRequest) -> None:
        """Returns once the request may go to the target.

        Args:
            ticket: The request; `release` must follow.

        Raises:
            RequestError: OVERLOADED or DEADLINE_NOT_RUN; it has not run.
        """
        verdict = self.admission.offer(ticket, self.clock.now_ms())
        if isinstance(verdict, Rejected):
            raise RequestError(verdict.kind, verdict.retry_after_ms)
        self.idle.clear()
        if isinstance(verdict, Started):
            return
        await self._wait(ticket)

    def release(self, ticket: AdmissionRequest, result: WorkResult) -> None:
        """Takes the end of a request that had entered."""
        now_ms = self.clock.now_ms()
        self._carry_out(self.admission.finish(ticket, result, now_ms))

    def reject_waiting(self) -> None:
        """Sends away what waits, because the target takes nothing more."""
        for ticket in list(self.waiting):
            if ticket.started_ms is None:
                self._wake(ticket, RequestError(ErrorKind.DRAINING))

    def set_slots(self, slots: int) -> None:
        """Takes a new number of slots."""
        now_ms = self.clock.now_ms()
        self._carry_out(self.admission.set_slots(slots, now_ms))

    async def _wait(self, ticket: AdmissionRequest) -> None:
        woken = asyncio.get_running_loop().create_future()
        self.waiting[ticket] = woken
        until_ms = self.admission.wait_deadline_ms(ticket)
        room_ms = until_ms - self.clock.now_ms()
        self.wait_count += 1
        begun_ms = self.clock.now_ms()
        try:
            async with asyncio.timeout(room_ms / _MS_PER_S):
                await woken
        except TimeoutError:
            self._give_up(ticket)
            raise RequestError(self._too_late(ticket)) from None
        except (asyncio.CancelledError, RequestError):
            self._give_up(ticket)
            raise
        finally:
            self.waiting.pop(ticket, None)
            self.total_wait_ms += self.clock.now_ms() - begun_ms

    def _too_late(self, ticket: AdmissionRequest) -> ErrorKind:
        # With time left, another target may still run it.
        if self.clock.now_ms() < ticket.deadline_ms:
            return ErrorKind.OVERLOADED
        return ErrorKind.DEADLINE_NOT_RUN

    def _give_up(self, ticket: AdmissionRequest) -> None:
        # The slot may have been given in the same moment; it would stay taken
        # for good if the request went away without giving it back.
        if ticket.started_ms is not None:
            self.release(ticket, WorkResult.ABANDONED)
            return
        now_ms = self.clock.now_ms()
        self._carry_out(self.admission.cancel(ticket, now_ms))

    def _carry_out(self, change: QueueChange) -> None:
        for ticket in change.started:
            self._wake(ticket, None)
        for ticket in change.expired:
            self._wake(ticket, RequestError(self._too_late(ticket)))
        if not self.outstanding:
            self.idle.set()

    def _wake(
        self, ticket: AdmissionRequest, error: RequestError | None
    ) -> None:
        woken = self.waiting.get(ticket)
        if woken is None or woken.done():
            return
        if error is None:
            woken.set_result(None)
        else:
            woken.set_exception(error)
