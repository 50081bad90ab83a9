"""Parts of admission that do not depend on how the slots are shared."""

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

# Maximum expected time for which all other requests are held so that an
# isolated request can run alone.
MAX_ISOLATION_HOLD_MS = 500.0


@attrs.define(kw_only=True)
class BaseAdmission(abc.ABC):
    """Gives requests the slots of a target and measures their service times.

    Subclasses decide which request starts, waits or is rejected. This class
    keeps the counters, handles the request that has to run alone, and updates
    service times and the concurrency limit when a request ends.

    Attributes:
        isolated_request: The request that runs or waits to run alone, if any.
        rejected: Number of requests rejected on arrival.
        declined: Number of requests whose expected wait was longer than the
            sending node allowed.
        expired: Number of queued requests dropped before they ran.
    """

    isolated_request: AdmissionRequest | None = None
    rejected: int = 0
    declined: int = 0
    expired: int = 0

    # Members that each subclass defines.

    @property
    @abc.abstractmethod
    def limit(self) -> ConcurrencyLimit | SlotLimit:
        """Limit of concurrent requests at the target."""

    @property
    @abc.abstractmethod
    def rng(self) -> random.Random:
        """Random number generator."""

    @property
    @abc.abstractmethod
    def in_flight(self) -> int:
        """Number of requests at the target."""

    @property
    @abc.abstractmethod
    def queued(self) -> int:
        """Number of queued requests, without a waiting isolated request."""

    @abc.abstractmethod
    def expected_service_ms(self, route: str, now_ms: float) -> float:
        """Returns the expected service time of a route in ms."""

    @abc.abstractmethod
    def max_expected_service_ms(self, now_ms: float) -> float:
        """Returns the slowest route's expected service time in ms."""

    @abc.abstractmethod
    def wait_deadline_ms(self, request: AdmissionRequest) -> float:
        """Returns the time until which a request may wait."""

    @abc.abstractmethod
    def _offer_shared(
        self, request: AdmissionRequest, now_ms: float
    ) -> AdmissionDecision:
        """Decides about a request that may run beside other requests."""

    @abc.abstractmethod
    def _offer_isolated(
        self, request: AdmissionRequest, now_ms: float
    ) -> AdmissionDecision:
        """Decides about a request that has to run alone."""

    @abc.abstractmethod
    def _acquire(self, request: AdmissionRequest) -> None:
        """Takes a slot for a request that starts."""

    @abc.abstractmethod
    def _release(self, request: AdmissionRequest) -> None:
        """Releases the slot of a request that has ended."""

    @abc.abstractmethod
    def _remove_queued(self, request: AdmissionRequest) -> None:
        """Removes a request from the queue if it is queued."""

    @abc.abstractmethod
    def _drop_queued(self, now_ms: float) -> list[AdmissionRequest]:
        """Removes and returns the queued requests that cannot run in time."""

    @abc.abstractmethod
    def _start_queued(self, now_ms: float) -> Iterable[AdmissionRequest]:
        """Starts queued requests while slots are free and returns them."""

    @abc.abstractmethod
    def _add_service_time(
        self, request: AdmissionRequest, took_ms: float, now_ms: float
    ) -> None:
        """Adds the service time of a request that the target answered."""

    # Members that all subclasses share.

    @property
    def waiting(self) -> int:
        """Number of queued requests, a waiting isolated one included."""
        return self.queued + self._isolated_is_waiting()

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
        request.offered_ms = now_ms
        if request.deadline_ms <= now_ms:
            return self._reject(ErrorKind.DEADLINE_NOT_RUN, MIN_RETRY_AFTER_MS)
        if request.isolated:
            return self._offer_isolated(request, now_ms)
        return self._offer_shared(request, now_ms)

    def finish(
        self, request: AdmissionRequest, result: WorkResult, now_ms: float
    ) -> QueueChange:
        """Handles the end of a request's time at the target.

        Args:
            request: The request.
            result: How the request ended.
            now_ms: Current time.

        Returns:
            The queued requests that start in the free slot, and those dropped.
        """
        assert request.started_ms is not None
        took_ms = now_ms - request.started_ms
        in_flight_before = self.in_flight
        self._release(request)
        if self.isolated_request is request:
            self.isolated_request = None
        if result is WorkResult.RESPONDED:
            self._add_service_time(request, took_ms, now_ms)
            self.limit.on_response(request.route, took_ms, in_flight_before)
        elif result is WorkResult.SHED:
            self.limit.on_shed()
        elif result is WorkResult.LOST:
            self.limit.reset()
        return self.start_waiting(now_ms)

    def cancel(self, request: AdmissionRequest, now_ms: float) -> QueueChange:
        """Removes a queued request whose caller went away.

        Args:
            request: The request; a request that is not queued is ignored.
            now_ms: Current time.

        Returns:
            The queued requests that now start, and those dropped.
        """
        self._remove_queued(request)
        if self.isolated_request is request and request.started_ms is None:
            self.isolated_request = None
        return self.start_waiting(now_ms)

    def set_slots(self, slots: int, now_ms: float) -> QueueChange:
        """Sets the number of slots; returns the requests started or dropped."""
        self.limit.set_slots(slots)
        return self.start_waiting(now_ms)

    def start_waiting(self, now_ms: float) -> QueueChange:
        """Drops requests that cannot run in time; starts queued requests."""
        dropped = self._drop(now_ms)
        if self.isolated_request is None:
            return QueueChange(tuple(self._start_queued(now_ms)), dropped)
        if self._isolated_is_waiting() and not self.in_flight:
            self._start(self.isolated_request, now_ms)
            return QueueChange((self.isolated_request,), dropped)
        return QueueChange((), dropped)

    def _drop(self, now_ms: float) -> tuple[AdmissionRequest, ...]:
        dropped = self._drop_queued(now_ms)
        isolated = self.isolated_request
        if (
            isolated
            and self._isolated_is_waiting()
            and isolated.deadline_ms <= now_ms
        ):
            dropped.append(isolated)
            self.isolated_request = None
        self.expired += len(dropped)
        return tuple(dropped)

    def _isolated_is_waiting(self) -> bool:
        return (
            self.isolated_request is not None
            and self.isolated_request.started_ms is None
        )

    def _start_isolated(
        self, request: AdmissionRequest, now_ms: float
    ) -> AdmissionDecision:
        """Starts a request alone; until it can start, holds other requests."""
        self.isolated_request = request
        if self.in_flight:
            return Queued()
        self._start(request, now_ms)
        return Started()

    def _start(self, request: AdmissionRequest, now_ms: float) -> None:
        request.started_ms = now_ms
        self._acquire(request)

    def _reject(self, kind: ErrorKind, wait_ms: float) -> Rejected:
        self.rejected += 1
        return rejection(kind, wait_ms, self.rng)
