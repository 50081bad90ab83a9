"""What every admission does alike, however it shares the slots."""

import abc
import random
from collections.abc import Iterable

import attrs

from pomelobank_core._admission_request import (
    AdmissionDecision,
    AdmissionRequest,
    QueueChange,
    Queued,
    Rejected,
    Started,
    WorkResult,
)
from pomelobank_core._concurrency import ConcurrencyLimit, SlotLimit
from pomelobank_core._errors import ErrorKind
from pomelobank_core._rejections import MIN_RETRY_AFTER_MS, rejection

# Longest planned hold of all other requests for one that has to run alone.
MAX_ISOLATION_HOLD_MS = 500.0


@attrs.define(kw_only=True)
class BaseAdmission(abc.ABC):
    """Takes requests to a target's slots and learns from how they end.

    Subclasses decide who starts, who waits and who is refused. Alike are the
    counts, the one request that runs alone, and what an end teaches.

    Attributes:
        isolated_request: The request that runs or waits to run alone, if any.
        rejected: Requests that were refused.
        declined: Offers that would have waited longer than they were to.
        expired: Requests that were dropped unrun.
    """

    isolated_request: AdmissionRequest | None = None
    rejected: int = 0
    declined: int = 0
    expired: int = 0

    # What the subclasses have and decide.

    @property
    @abc.abstractmethod
    def limit(self) -> ConcurrencyLimit | SlotLimit:
        """Requests tried at once."""

    @property
    @abc.abstractmethod
    def rng(self) -> random.Random:
        """Source of randomness."""

    @property
    @abc.abstractmethod
    def in_flight(self) -> int:
        """Requests at the target."""

    @property
    @abc.abstractmethod
    def queued(self) -> int:
        """Requests in the queue, without one that waits to run alone."""

    @abc.abstractmethod
    def expected_service_ms(self, route: str, now_ms: float) -> float:
        """Returns the time that a route's requests usually take."""

    @abc.abstractmethod
    def max_expected_service_ms(self, now_ms: float) -> float:
        """Returns the usual request time of the slowest route in ms."""

    @abc.abstractmethod
    def wait_deadline_ms(self, ticket: AdmissionRequest) -> float:
        """Returns until when a request may wait."""

    @abc.abstractmethod
    def _offer_shared(
        self, ticket: AdmissionRequest, now_ms: float
    ) -> AdmissionDecision:
        """Decides about a request that may run beside others."""

    @abc.abstractmethod
    def _offer_isolated(
        self, ticket: AdmissionRequest, now_ms: float
    ) -> AdmissionDecision:
        """Decides about a request that has to run alone."""

    @abc.abstractmethod
    def _acquire(self, ticket: AdmissionRequest) -> None:
        """Counts a request that starts."""

    @abc.abstractmethod
    def _release(self, ticket: AdmissionRequest) -> None:
        """Counts a request that has ended."""

    @abc.abstractmethod
    def _remove_queued(self, ticket: AdmissionRequest) -> None:
        """Takes a request out of the queue, if it is there."""

    @abc.abstractmethod
    def _drop_queued(self, now_ms: float) -> list[AdmissionRequest]:
        """Takes what waits in vain out of the queue and returns it."""

    @abc.abstractmethod
    def _start_queued(self, now_ms: float) -> Iterable[AdmissionRequest]:
        """Starts what there is room for and returns it."""

    @abc.abstractmethod
    def _add_service_time(
        self, ticket: AdmissionRequest, took_ms: float, now_ms: float
    ) -> None:
        """Takes the time of a request that was answered."""

    # What is alike.

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return self.queued + self._alone_waits()

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
        ticket.offered_ms = now_ms
        if ticket.deadline_ms <= now_ms:
            return self._reject(ErrorKind.DEADLINE_NOT_RUN, MIN_RETRY_AFTER_MS)
        if ticket.isolated:
            return self._offer_isolated(ticket, now_ms)
        return self._offer_shared(ticket, now_ms)

    def finish(
        self, ticket: AdmissionRequest, result: WorkResult, now_ms: float
    ) -> QueueChange:
        """Takes the end of a request's time at the target.

        Args:
            ticket: The request.
            result: How it ended.
            now_ms: Current time.

        Returns:
            The requests that this let start or that were dropped.
        """
        assert ticket.started_ms is not None
        took_ms = now_ms - ticket.started_ms
        busy = self.in_flight
        self._release(ticket)
        if self.isolated_request is ticket:
            self.isolated_request = None
        if result is WorkResult.RESPONDED:
            self._add_service_time(ticket, took_ms, now_ms)
            self.limit.on_response(ticket.route, took_ms, busy)
        elif result is WorkResult.SHED:
            self.limit.on_shed()
        elif result is WorkResult.LOST:
            self.limit.reset()
        return self.start_waiting(now_ms)

    def cancel(self, ticket: AdmissionRequest, now_ms: float) -> QueueChange:
        """Takes a waiting request out: its caller went away.

        Args:
            ticket: The request; nothing happens where it does not wait.
            now_ms: Current time.

        Returns:
            The requests that this let start.
        """
        self._remove_queued(ticket)
        if self.isolated_request is ticket and ticket.started_ms is None:
            self.isolated_request = None
        return self.start_waiting(now_ms)

    def set_slots(self, slots: int, now_ms: float) -> QueueChange:
        """Takes a new number of slots; returns what this let start."""
        self.limit.set_slots(slots)
        return self.start_waiting(now_ms)

    def start_waiting(self, now_ms: float) -> QueueChange:
        """Drops what waits in vain and starts what there is room for."""
        dropped = self._drop(now_ms)
        if self.isolated_request is None:
            return QueueChange(tuple(self._start_queued(now_ms)), dropped)
        if self._alone_waits() and not self.in_flight:
            self._start(self.isolated_request, now_ms)
            return QueueChange((self.isolated_request,), dropped)
        return QueueChange((), dropped)

    def _drop(self, now_ms: float) -> tuple[AdmissionRequest, ...]:
        dropped = self._drop_queued(now_ms)
        alone = self.isolated_request
        if alone and self._alone_waits() and alone.deadline_ms <= now_ms:
            dropped.append(alone)
            self.isolated_request = None
        self.expired += len(dropped)
        return tuple(dropped)

    def _alone_waits(self) -> bool:
        return (
            self.isolated_request is not None
            and self.isolated_request.started_ms is None
        )

    def _start_isolated(
        self, ticket: AdmissionRequest, now_ms: float
    ) -> AdmissionDecision:
        """Lets nothing start until a request has run alone."""
        self.isolated_request = ticket
        if self.in_flight:
            return Queued()
        self._start(ticket, now_ms)
        return Started()

    def _start(self, ticket: AdmissionRequest, now_ms: float) -> None:
        ticket.started_ms = now_ms
        self._acquire(ticket)

    def _reject(self, kind: ErrorKind, wait_ms: float) -> Rejected:
        self.rejected += 1
        return rejection(kind, wait_ms, self.rng)
