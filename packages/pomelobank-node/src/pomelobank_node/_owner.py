"""Runs requests on the node's own target."""

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable

import attrs

from pomelobank_core import (
    AdmissionRequest,
    Clock,
    ErrorKind,
    QuarantineState,
    ShutdownAdmission,
    TrafficClass,
    WorkResult,
)
from pomelobank_node._admission_queue import AdmissionQueue, new_admission
from pomelobank_node._bodies import read_full_request, with_end_callback
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
from pomelobank_node._upstream_client import UpstreamPool
from pomelobank_schema import parse_address
from pomelobank_schema.generated.settings import RequestSettings

_logger = logging.getLogger(__name__)
_MS_PER_S = 1000
# Statuses by which a target says that it has too much to do.
_SHED_STATUSES = frozenset({429, 503})
# An answer this fast, or in less than half the route's usual time, was made
# without working on the request.
_QUICK_MS = 5.0
# How soon another try at a target that sheds may fare better.
_SHED_RETRY_AFTER_MS = 200
# Longest time that a slot stays free for the sender's answer. It is a round
# trip away; a sender that is dark or stopped must not keep the slot.
_OFFER_S = 0.1
# Longest time that a slot stays free for a body that was held back.
_BODY_S = 0.5
SlotOfferer = Callable[[], Awaitable[bool]]
_BROKEN = frozenset({ErrorKind.UPSTREAM_LOST, ErrorKind.ANSWER_TRUNCATED})
_RESULTS = {
    ErrorKind.UPSTREAM_LOST: WorkResult.LOST,
    ErrorKind.ANSWER_TRUNCATED: WorkResult.LOST,
    ErrorKind.UPSTREAM_UNREACHABLE: WorkResult.LOST,
    ErrorKind.TARGET_REFUSED: WorkResult.SHED,
}


@attrs.frozen
class Target:
    """The upstream instance beside the node, as it announced itself.

    Attributes:
        upstream: Name of the upstream that it belongs to.
        address: Its address, IP:PORT.
        slots: Requests that it runs at once.
        instance: Its name, which requests to it bear.
        started_at_ms: When it started, in ms since the epoch; 0 where unknown.
    """

    upstream: str
    address: str
    slots: int
    instance: str = ""
    started_at_ms: int = 0


@attrs.define
class Owner:
    """The only way to the node's target, so that its counts are exact.

    Attributes:
        settings: Limits of requests.
        clock: Tells the time.
        crash_reports: Knows the requests that crash targets.
        http_conventions: Names of the headers that the target understands.
        target: The target, None before it announced itself.
        pool: Connections to it.
        admission_queue: Where requests wait for a slot.
        crash_detector: Notices crashes of the target.
        log_limiter: Bounds the lines that are logged.
        draining: Set when no new request is taken.
        shutdown_admission: Refuses requests that may outlast a stopping node.
    """

    settings: RequestSettings
    clock: Clock
    crash_reports: CrashReports
    http_conventions: HttpConventions = attrs.field(factory=HttpConventions)
    target: Target | None = None
    pool: UpstreamPool | None = None
    admission_queue: AdmissionQueue = attrs.field()
    crash_detector: CrashDetector = attrs.field()
    log_limiter: LogRateLimiter = attrs.field(factory=LogRateLimiter)
    draining: bool = False
    shutdown_admission: ShutdownAdmission = attrs.field(
        factory=ShutdownAdmission
    )

    @crash_detector.default
    def _new_watch(self) -> CrashDetector:
        return CrashDetector(self.crash_reports)

    @admission_queue.default
    def _new_gate(self) -> AdmissionQueue:
        return AdmissionQueue(new_admission(self.settings), self.clock)

    @property
    def in_flight(self) -> int:
        """Requests that are at the target."""
        return self.admission_queue.admission.in_flight

    def set_target(self, target: Target) -> None:
        """Takes an announcement of the target."""
        if target == self.target:
            return
        known, self.target = self.target, target
        self.admission_queue.set_slots(target.slots)
        if known is None or _start_of(known) != _start_of(target):
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
        self.admission_queue.admission.limit.reset()

    async def serve(
        self, request: ForwardRequest, offer_slot: SlotOfferer | None = None
    ) -> ForwardReply:
        """Runs a request on the target.

        Args:
            request: The request, wherever it came in.
            offer_slot: Offers the slot to the sender of a request that binds
                late; returns whether the sender takes it.

        Returns:
            The target's answer, or the error that ended the request.
        """
        request_id.set(request.trace_id)
        try:
            return await self._serve(request, offer_slot)
        except RequestError as error:
            declined = error.kind is ErrorKind.OVERLOADED
            if not declined or not (request.max_wait_ms or request.bind_late):
                # What was declined here stands in the entry's line.
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
                "slots": admission.limit.current,
                "usual_ms": round(
                    self.admission_queue.expected_service_ms(request.route)
                ),
                "instance": self.target.instance if self.target else "",
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
        if request.remaining_ms <= 0:
            raise RequestError(ErrorKind.DEADLINE_NOT_RUN)
        now_ms = self.clock.now_ms()
        if not self.shutdown_admission.accepts(request.remaining_ms, now_ms):
            raise RequestError(ErrorKind.DRAINING)
        standing = self.crash_reports.check(request)
        ticket = AdmissionRequest(
            _traffic_class(request),
            request.route,
            deadline_ms=now_ms + request.remaining_ms,
            isolated=standing is QuarantineState.SUSPECT,
            priority=request.priority,
            objective_at_ms=now_ms + (request.aim_ms or request.remaining_ms),
            max_wait_ms=request.max_wait_ms or math.inf,
        )
        await self.admission_queue.acquire(ticket)
        return await self._admitted(ticket, self.pool, request, offer_slot)

    async def _admitted(
        self,
        ticket: AdmissionRequest,
        pool: UpstreamPool,
        request: ForwardRequest,
        offer_slot: SlotOfferer | None,
    ) -> ForwardReply:
        result = WorkResult.ABANDONED
        try:
            if offer_slot is not None:
                await _bind(offer_slot)
            if request.fingerprint:
                request = await _with_body(request)
            left_ms = int(ticket.deadline_ms) - self.clock.now_ms()
            if left_ms <= 0:
                raise RequestError(ErrorKind.DEADLINE_NOT_RUN)
            if left_ms != request.remaining_ms:
                request = attrs.evolve(request, remaining_ms=left_ms)
            reply = await self._run_watched(pool, request)
            if self._is_shed(ticket, reply):
                result = WorkResult.SHED
                reply = attrs.evolve(reply, retry_after_ms=_SHED_RETRY_AFTER_MS)
            else:
                result = WorkResult.RESPONDED
        except BaseException as error:
            if isinstance(error, RequestError):
                result = _RESULTS.get(error.kind, result)
            self.admission_queue.release(ticket, result)
            raise
        return with_end_callback(
            reply, lambda: self.admission_queue.release(ticket, result)
        )

    async def _run_watched(
        self, pool: UpstreamPool, request: ForwardRequest
    ) -> ForwardReply:
        with self.crash_detector.track(request):
            try:
                reply = await call_target(
                    pool,
                    request,
                    self.admission_queue.outstanding,
                    self.http_conventions,
                    self.target.instance if self.target else "",
                )
            except RequestError as error:
                if error.kind in _BROKEN and self.target is not None:
                    await self.crash_detector.on_connection_lost(
                        self.target.address
                    )
                raise
        self.crash_reports.on_request_completed(request)
        return reply

    def _is_shed(self, ticket: AdmissionRequest, reply: ForwardReply) -> bool:
        if self.http_conventions.not_run or reply.status not in _SHED_STATUSES:
            return False
        assert ticket.started_ms is not None
        took_ms = self.clock.now_ms() - ticket.started_ms
        usual_ms = self.admission_queue.expected_service_ms(ticket.route)
        return took_ms <= max(_QUICK_MS, usual_ms / 2)

    def reject_new_requests(self) -> None:
        """Takes no new request; what still waits for a slot goes elsewhere."""
        self.draining = True
        self.admission_queue.reject_waiting()

    async def drain(self, timeout_ms: int) -> None:
        """Takes no new request and waits for those in flight.

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


async def _bind(offer_slot: SlotOfferer) -> None:
    try:
        async with asyncio.timeout(_OFFER_S):
            taken = await offer_slot()
    except TimeoutError:
        taken = False
    if not taken:
        raise RequestError(ErrorKind.OVERLOADED)


async def _with_body(request: ForwardRequest) -> ForwardRequest:
    try:
        async with asyncio.timeout(_BODY_S):
            return await read_full_request(request)
    except TimeoutError:
        raise RequestError(ErrorKind.OVERLOADED) from None


def _start_of(target: Target) -> tuple[str, str, int]:
    return target.address, target.instance, target.started_at_ms


def _traffic_class(request: ForwardRequest) -> TrafficClass:
    try:
        return TrafficClass(request.traffic_class)
    except ValueError:
        # A newer node may know more classes; its caller must get an answer.
        return TrafficClass.INTERACTIVE
