"""Runs requests on the node's own target."""

import asyncio
import functools
import logging
import math
import random
from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs

from pomelobank_core import (
    AdmissionRequest,
    Clock,
    ErrorKind,
    QuarantineState,
    RateLimit,
    ShutdownAdmission,
    TrafficClass,
    WorkResult,
)
from pomelobank_core.shedding import (
    RandomRejections,
    RejectionDelay,
    is_random_rejection,
)
from pomelobank_node._admission_queue import AdmissionQueue, new_admission
from pomelobank_node._bodies import (
    StreamedReply,
    StreamedRequest,
    read_full_request,
    with_end_callback,
)
from pomelobank_node._crash_detector import CrashDetector
from pomelobank_node._crash_reports import CrashReports
from pomelobank_node._http_conventions import HttpConventions
from pomelobank_node._log_rate_limiter import LogRateLimiter
from pomelobank_node._logging import request_id
from pomelobank_node._requests import (
    ForwardReply,
    ForwardRequest,
    RequestError,
    error_reply,
)
from pomelobank_node._target_call import call_target
from pomelobank_node._target_signals import TargetSignals
from pomelobank_node._upstream_client import UpstreamPool
from pomelobank_node.buffering import BufferManager, SlotBodies
from pomelobank_schema import parse_address
from pomelobank_schema.generated.settings import RequestSettings

_logger = logging.getLogger(__name__)
_MS_PER_S = 1000
# Statuses that a target sheds load with.
_SHED_STATUSES = frozenset({429, 503})
# A shedding status within this time, or within half of the route's expected
# service time, means that the target rejected the request without running it.
_QUICK_RESPONSE_MS = 5.0
# Time after which a target that sheds load is worth another attempt.
_SHED_RETRY_AFTER_MS = 200
# Longest time that a slot is reserved until the sender accepts the offer. The
# acceptance takes one round trip; an unreachable or stopped sender must not
# keep the slot.
_OFFER_TIMEOUT_S = 0.1
# Longest time that a slot is reserved while a deferred body arrives.
_BODY_TIMEOUT_S = 0.5
# Upper bound of the delay after which a request beyond the target's rate limit
# is told to come back, as a multiple of the time to the next one allowed.
MAX_RETRY_JITTER = 2.0
# Iterations of the event loop until a request whose body broke off has released
# its slot, at most.
_SLOT_RELEASE_STEPS = 20
SlotOfferer = Callable[[], Awaitable[bool]]
_CONNECTION_LOST_ERRORS = frozenset(
    {ErrorKind.UPSTREAM_LOST, ErrorKind.ANSWER_TRUNCATED}
)
_WORK_RESULTS = {
    ErrorKind.UPSTREAM_LOST: WorkResult.LOST,
    ErrorKind.ANSWER_TRUNCATED: WorkResult.LOST,
    ErrorKind.UPSTREAM_UNREACHABLE: WorkResult.LOST,
    ErrorKind.TARGET_REFUSED: WorkResult.SHED,
}


@attrs.frozen
class Target:
    """The upstream instance beside the node, as announced by the instance.

    Attributes:
        upstream: Name of the upstream that the instance belongs to.
        address: The instance's address, IP:PORT.
        slots: Number of requests that the instance runs at once.
        instance: The instance's name, which the node sends with each request.
        started_at_ms: Start time of the instance in ms since the epoch; 0 if
            unknown.
        revision: Revision of the software that the instance runs; empty if
            unknown.
    """

    upstream: str
    address: str
    slots: int
    instance: str = ""
    started_at_ms: int = 0
    revision: str = ""


class AnswerCounter(Protocol):
    """Counts the answers of the target.

    Attributes:
        warming_up: Whether the target has just started and is still slow.
    """

    warming_up: bool

    def on_response(
        self, target: Target, route: str, status: int, took_ms: float
    ) -> None:
        """Counts a response."""

    def on_error(self, target: Target, route: str, kind: ErrorKind) -> None:
        """Counts an error."""

    def on_cancelled(self, target: Target, route: str, took_ms: float) -> None:
        """Counts a request that was cancelled while it ran."""


@attrs.define
class Owner:
    """Runs all requests for the node's target, so that its counts are exact.

    Attributes:
        settings: Limits of requests.
        clock: Source of the current time.
        crash_reports: Records which requests crash targets.
        http_conventions: Names of the headers that the target understands.
        target: The target, None until the target has announced itself.
        pool: Connections to the target.
        admission_queue: Queue of the requests that wait for a slot.
        rate_limit: Limit of the requests per second that the target names.
        rate_limited: Requests rejected because of this limit, for the metrics.
        random_rejections: Tells rejections at random from a full target.
        rejection_delay: Delay after which a caller may retry after them.
        crash_detector: Detects crashes of the target.
        log_limiter: Limits the rate of log lines.
        answers: Counts the target's answers; None if nothing judges them.
        is_condemned: Returns whether a revision of an upstream must not get
            requests.
        on_leaving: Called with the target whose response says that it leaves;
            None if nothing handles it.
        rng: Source of randomness.
        buffers: Books what clients make the node hold.
        slot_bodies: Bodies that are sent to and from the target.
        draining: Whether new requests are rejected.
        shutdown_admission: Rejects requests that may outlast a stopping node.
    """

    settings: RequestSettings
    clock: Clock
    crash_reports: CrashReports
    http_conventions: HttpConventions = attrs.field(factory=HttpConventions)
    target: Target | None = None
    pool: UpstreamPool | None = None
    admission_queue: AdmissionQueue = attrs.field()
    rate_limit: RateLimit = attrs.field(factory=RateLimit)
    rate_limited: int = 0
    random_rejections: RandomRejections = attrs.field(factory=RandomRejections)
    rejection_delay: RejectionDelay = attrs.field(factory=RejectionDelay)
    crash_detector: CrashDetector = attrs.field()
    log_limiter: LogRateLimiter = attrs.field(factory=LogRateLimiter)
    answers: AnswerCounter | None = None
    is_condemned: Callable[[str, str], bool] = lambda *_: False
    on_leaving: Callable[[Target], None] | None = None
    rng: random.Random = attrs.field(factory=random.Random)
    buffers: BufferManager = attrs.field(factory=BufferManager)
    slot_bodies: SlotBodies = attrs.field()
    draining: bool = False
    shutdown_admission: ShutdownAdmission = attrs.field(
        factory=ShutdownAdmission
    )

    @slot_bodies.default
    def _new_slot_bodies(self) -> SlotBodies:
        return SlotBodies(self.buffers)

    @crash_detector.default
    def _new_crash_detector(self) -> CrashDetector:
        return CrashDetector(self.crash_reports)

    @admission_queue.default
    def _new_admission_queue(self) -> AdmissionQueue:
        return AdmissionQueue(
            new_admission(self.settings), self.clock, self.settings.max_waiting
        )

    @property
    def in_flight(self) -> int:
        """Number of requests that run on the target."""
        return self.admission_queue.admission.in_flight

    def set_target(self, target: Target) -> None:
        """Handles an announcement of the target."""
        if target == self.target:
            return
        is_new_start = not self._is_present_start(target)
        self.target = target
        self.admission_queue.set_slots(target.slots)
        if is_new_start:
            self._connect(target)

    def _connect(self, target: Target) -> None:
        if self.pool is not None:
            self.pool.close()
        host, port = parse_address(target.address)
        self.pool = UpstreamPool(
            host,
            port,
            self.settings.max_body_bytes,
            self.http_conventions.allows_close_delimited,
        )
        self.admission_queue.admission.limit.on_new_target()
        self.rate_limit = RateLimit()
        self.random_rejections = RandomRejections(
            count=self.random_rejections.count
        )

    async def serve(
        self, request: ForwardRequest, offer_slot: SlotOfferer | None = None
    ) -> ForwardReply:
        """Runs a request on the target.

        Args:
            request: The request, from this node's callers or from a peer.
            offer_slot: Offers the slot to the sender of a late-bound request;
                returns whether the sender accepts the slot.

        Returns:
            The target's response, or the error that ended the request.
        """
        request_id.set(request.trace_id)
        try:
            return await self._serve(request, offer_slot)
        except RequestError as error:
            if not _is_logged_at_entry(request, error):
                self._log_failure(request, error)
            return error_reply(request.request_id, error)

    def _log_failure(
        self, request: ForwardRequest, error: RequestError
    ) -> None:
        if not self.log_limiter.allow_failure(self.clock.now_ms()):
            return
        admission = self.admission_queue.admission
        _logger.info(
            "target.not_served",
            extra={
                "outcome": error.kind.value,
                "retry_after_ms": error.retry_after_ms,
                "route": request.route,
                "routed_version": request.version,
                "had_ms": request.remaining_ms,
                "aim_ms": request.aim_ms,
                "at_target": admission.in_flight,
                "waiting": admission.waiting,
                "random_rejections": round(self.random_rejections.share, 2),
                "slots": admission.limit.current,
                "usual_ms": round(
                    self.admission_queue.expected_service_ms(request.route)
                ),
                "instance": self.target.instance if self.target else "",
                "revision": self.target.revision if self.target else "",
                "lines_dropped": self.log_limiter.pop_dropped(),
            },
        )

    async def _serve(
        self, request: ForwardRequest, offer_slot: SlotOfferer | None
    ) -> ForwardReply:
        if self.draining:
            raise RequestError(ErrorKind.DRAINING)
        if self.target is None or self.pool is None:
            raise RequestError(ErrorKind.NO_TARGET)
        if self.target.upstream != request.upstream:
            raise RequestError(ErrorKind.NO_TARGET)
        self._raise_if_condemned(self.target)
        if request.remaining_ms <= 0:
            raise RequestError(ErrorKind.DEADLINE_NOT_RUN)
        now_ms = self.clock.now_ms()
        if not self.shutdown_admission.accepts(request.remaining_ms, now_ms):
            raise RequestError(ErrorKind.DRAINING)
        waiting = self.admission_queue.admission.waiting
        if self.rate_limit.wait_ms(now_ms, waiting):
            raise self._rate_limit_error(waiting)
        quarantine_state = self.crash_reports.check(request)
        admission_request = AdmissionRequest(
            _traffic_class(request),
            request.route,
            deadline_ms=now_ms + request.remaining_ms,
            isolated=quarantine_state is QuarantineState.SUSPECT,
            priority=request.priority,
            objective_at_ms=now_ms + (request.aim_ms or request.remaining_ms),
            max_wait_ms=request.max_wait_ms or math.inf,
        )
        if self.slot_bodies.running:
            await self._release_stalled_slots()
        await self.admission_queue.acquire(admission_request)
        return await self._run_admitted(
            admission_request, self.pool, request, offer_slot
        )

    async def _release_stalled_slots(self) -> None:
        """Ends requests whose bodies are stalled if no slot is free."""
        admission = self.admission_queue.admission
        if admission.in_flight < admission.limit.current:
            return
        if not self.slot_bodies.end_stalled():
            return
        # The requests end in their own tasks.
        for _ in range(_SLOT_RELEASE_STEPS):
            if admission.in_flight < admission.limit.current:
                return
            await asyncio.sleep(0)

    def _raise_if_condemned(self, target: Target) -> None:
        # The sender may not know the verdict yet.
        if self.is_condemned(target.upstream, target.revision):
            raise RequestError(ErrorKind.NO_TARGET)

    def reject_if_condemned(self) -> None:
        """Rejects queued requests if the target's revision is condemned."""
        target = self.target
        if target is not None and self.is_condemned(
            target.upstream, target.revision
        ):
            self.admission_queue.reject_waiting()

    async def _run_admitted(
        self,
        admission_request: AdmissionRequest,
        pool: UpstreamPool,
        request: ForwardRequest,
        offer_slot: SlotOfferer | None,
    ) -> ForwardReply:
        result = WorkResult.ABANDONED
        try:
            if offer_slot is not None:
                await _await_slot_acceptance(offer_slot)
            if request.fingerprint:
                request = await _read_deferred_body(request)
            if self.draining:
                raise RequestError(ErrorKind.DRAINING)
            remaining_ms = (
                int(admission_request.deadline_ms) - self.clock.now_ms()
            )
            if remaining_ms <= 0:
                raise RequestError(ErrorKind.DEADLINE_NOT_RUN)
            if remaining_ms != request.remaining_ms:
                request = attrs.evolve(request, remaining_ms=remaining_ms)
            if not self.rate_limit.try_take(self.clock.now_ms()):
                raise self._rate_limit_error()
            reply = await self._run_on_target(pool, request)
            if self._is_shed(admission_request, reply):
                result = WorkResult.SHED
                reply = attrs.evolve(reply, retry_after_ms=_SHED_RETRY_AFTER_MS)
            else:
                result = WorkResult.RESPONDED
                self.random_rejections.on_ran(self.clock.now_ms())
        except BaseException as error:
            if isinstance(error, RequestError):
                result = _work_result(error, result)
            self.admission_queue.release(admission_request, result)
            raise
        reply = with_end_callback(
            reply,
            lambda: self.admission_queue.release(admission_request, result),
        )
        if not isinstance(reply, StreamedReply):
            return reply
        return attrs.evolve(reply, rest=self.slot_bodies.download(reply.rest))

    def _rate_limit_error(self, waiting: int = 0) -> RequestError:
        self.rate_limited += 1
        wait_ms = self.rate_limit.wait_ms(self.clock.now_ms(), waiting)
        # Jitter spreads the rejected requests over the time after the next one
        # that the limit allows.
        retry_after_ms = wait_ms * self.rng.uniform(1.0, MAX_RETRY_JITTER)
        return RequestError(ErrorKind.TARGET_LIMITED, math.ceil(retry_after_ms))

    def _handle_signals(self, target: Target, signals: TargetSignals) -> None:
        if not self._is_present_start(target):
            return
        if signals.leaving and self.on_leaving is not None:
            self.on_leaving(target)
        if self.rate_limit.set_rate(signals.max_per_s, self.clock.now_ms()):
            _logger.info(
                "target.rate_limit",
                extra={
                    "instance": target.instance,
                    "per_s": signals.max_per_s,
                    "at_target": self.in_flight,
                    "waiting": self.admission_queue.admission.waiting,
                },
            )

    async def _run_on_target(
        self, pool: UpstreamPool, request: ForwardRequest
    ) -> ForwardReply:
        if not isinstance(request, StreamedRequest):
            return await self._call_target(pool, request)
        with self.slot_bodies.uploading(request.rest) as upload:
            request = attrs.evolve(request, rest=upload)
            return await self._call_target(pool, request)

    async def _call_target(
        self, pool: UpstreamPool, request: ForwardRequest
    ) -> ForwardReply:
        target = self.target
        if target is None:
            raise RequestError(ErrorKind.NO_TARGET)
        self._raise_if_condemned(target)
        started_ms = self.clock.now_ms()
        with self.crash_detector.track(request):
            try:
                reply = await call_target(
                    pool,
                    request,
                    self.admission_queue.outstanding,
                    self.http_conventions,
                    target.instance,
                    functools.partial(self._handle_signals, target),
                )
            except asyncio.CancelledError:
                self._record_abandoned(request)
                if self.answers is not None:
                    took_ms = self.clock.now_ms() - started_ms
                    self.answers.on_cancelled(target, request.route, took_ms)
                raise
            except RequestError as error:
                if self.answers is not None:
                    self.answers.on_error(target, request.route, error.kind)
                if (
                    error.kind in _CONNECTION_LOST_ERRORS
                    and self.target is not None
                ):
                    await self.crash_detector.on_connection_lost(
                        self.target.address
                    )
                if error.kind is ErrorKind.DEADLINE_UNKNOWN:
                    self._record_abandoned(request)
                if error.kind is ErrorKind.TARGET_REFUSED:
                    raise self._rejection(request, target) from None
                raise
        if self.answers is not None:
            took_ms = self.clock.now_ms() - started_ms
            self.answers.on_response(
                target, request.route, reply.status, took_ms
            )
        self.crash_reports.on_request_completed(request)
        return reply

    def _record_abandoned(self, request: ForwardRequest) -> None:
        now_ms = self.clock.now_ms()
        expected_ms = self.admission_queue.expected_service_ms(request.route)
        self.random_rejections.on_abandoned(now_ms + expected_ms, now_ms)

    def _rejection(
        self, request: ForwardRequest, target: Target
    ) -> RequestError:
        """Returns the error for a request that the target rejected."""
        is_random = self.random_rejections.on_rejected(
            self.in_flight, target.slots, self.clock.now_ms()
        )
        if not is_random:
            return RequestError(ErrorKind.TARGET_REFUSED)
        expected_ms = self.admission_queue.expected_service_ms(request.route)
        delay_ms = self.rejection_delay.draw_ms(
            request.remaining_ms, request.aim_ms, expected_ms, self.rng
        )
        return RequestError(ErrorKind.TARGET_REFUSED, delay_ms)

    def _is_present_start(self, target: Target) -> bool:
        return self.target is not None and _process_identity(
            self.target
        ) == _process_identity(target)

    def _is_shed(
        self, admission_request: AdmissionRequest, reply: ForwardReply
    ) -> bool:
        if self.http_conventions.not_run or reply.status not in _SHED_STATUSES:
            return False
        assert admission_request.started_ms is not None
        took_ms = self.clock.now_ms() - admission_request.started_ms
        expected_ms = self.admission_queue.expected_service_ms(
            admission_request.route
        )
        return took_ms <= max(_QUICK_RESPONSE_MS, expected_ms / 2)

    def reject_new_requests(self) -> None:
        """Rejects new and queued requests, so that other targets run them."""
        self.draining = True
        self.admission_queue.reject_waiting()

    async def drain(self, timeout_ms: int) -> None:
        """Rejects new requests and waits for those in flight.

        Args:
            timeout_ms: Longest wait.
        """
        self.draining = True
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                await self.admission_queue.idle.wait()
        except TimeoutError:
            _logger.error("drain.timeout", extra={"in_flight": self.in_flight})
        if self.pool is not None:
            self.pool.close()


async def _await_slot_acceptance(offer_slot: SlotOfferer) -> None:
    try:
        async with asyncio.timeout(_OFFER_TIMEOUT_S):
            accepted = await offer_slot()
    except TimeoutError:
        accepted = False
    if not accepted:
        raise RequestError(ErrorKind.OVERLOADED)


async def _read_deferred_body(request: ForwardRequest) -> ForwardRequest:
    try:
        async with asyncio.timeout(_BODY_TIMEOUT_S):
            return await read_full_request(request)
    except TimeoutError:
        raise RequestError(ErrorKind.OVERLOADED) from None


def _work_result(error: RequestError, default: WorkResult) -> WorkResult:
    if is_random_rejection(error.kind, error.retry_after_ms or 0):
        # The rejection says nothing about the number of slots.
        return WorkResult.ABANDONED
    return _WORK_RESULTS.get(error.kind, default)


def _is_logged_at_entry(request: ForwardRequest, error: RequestError) -> bool:
    # The entry node logs declined offers, and rejections that send a request to
    # another target, as the request's attempts.
    if error.kind is ErrorKind.TARGET_LIMITED:
        return True
    is_offer = bool(request.max_wait_ms or request.bind_late)
    return is_offer and error.kind is ErrorKind.OVERLOADED


def _process_identity(target: Target) -> tuple[str, str, int]:
    return target.address, target.instance, target.started_at_ms


def _traffic_class(request: ForwardRequest) -> TrafficClass:
    try:
        return TrafficClass(request.traffic_class)
    except ValueError:
        # A node of a newer version may send a class that this version does not
        # know. Its request is run as interactive instead of failing.
        return TrafficClass.INTERACTIVE
