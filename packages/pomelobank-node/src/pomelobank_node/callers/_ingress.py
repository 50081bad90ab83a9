"""Takes callers' requests to targets and their answers back."""

import asyncio
import logging
import random
import re
from collections import Counter

import attrs

from pomelobank_core import Clock, ErrorKind
from pomelobank_node._bodies import MAX_KEYED_BODY_BYTES, BodySource, rest_of
from pomelobank_node._dispatcher import CallerRequest, Dispatcher
from pomelobank_node._http_conventions import HttpConventions
from pomelobank_node._http_messages import (
    CONTENT_LENGTH,
    NO_BODY_STATUSES,
    end_to_end,
)
from pomelobank_node._latency_histogram import LatencyHistogram
from pomelobank_node._log_rate_limiter import LogRateLimiter
from pomelobank_node._logging import request_id
from pomelobank_node._requests import ForwardReply, RequestError, reply_error
from pomelobank_node._tracing import RequestTrace, begin_trace
from pomelobank_node.callers._error_responses import error_response
from pomelobank_node.callers._messages import HttpRequest, HttpResponse

_logger = logging.getLogger(__name__)

ANSWERED = "answered"
BROKEN_OFF = "broken_off"
# Names of hosts; an address with a port may stand in a host header too.
_SERVICE_NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._-]{0,252})")
# Headers that others read back in logs; longer ones are mistakes.
_LONGEST_ID = 256
# A day; a longer wait is a mistake in the caller's units.
_LONGEST_TIMEOUT_MS = 86_400_000
_TRACE_BITS = 128
_HEAD = "HEAD"


@attrs.define(eq=False)
class CountedBody:
    """Passes an answer's body on and notes whether it was whole.

    Attributes:
        source: The body.
        outcomes: How many requests ended in which way.
    """

    source: BodySource
    outcomes: Counter[str]
    started: bool = False

    async def read(self) -> bytes:
        """Returns the next part, empty at the end."""
        self.started = True
        try:
            data = await self.source.read()
        except RequestError:
            self.outcomes[BROKEN_OFF] += 1
            raise
        if not data:
            self.outcomes[ANSWERED] += 1
        return data

    def close(self) -> None:
        """Gives the rest up."""
        self.source.close()


@attrs.define(eq=False)
class Ingress:
    """Answers callers.

    Attributes:
        dispatcher: Takes requests to targets.
        clock: Tells the time.
        http_conventions: Names of the headers.
        origin: Upstream of the instance that requests begin on.
        outcomes: How many requests ended in which way, for the metrics.
        latency: Times to an answer, for the metrics.
        log_limiter: Bounds the lines that are logged.
        draining: Set when no new request is taken.
    """

    dispatcher: Dispatcher
    clock: Clock
    http_conventions: HttpConventions = attrs.field(factory=HttpConventions)
    origin: str = ""
    outcomes: Counter[str] = attrs.field(factory=Counter)
    latency: LatencyHistogram = attrs.field(factory=LatencyHistogram)
    log_limiter: LogRateLimiter = attrs.field(factory=LogRateLimiter)
    draining: bool = False

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        """Answers one request."""
        begun_ms = self.clock.now_ms()
        trace = begin_trace()
        try:
            answer = await self._answer(request)
        except RequestError as error:
            self._note_refused(error, trace, begun_ms)
            return error_response(
                error, self.http_conventions, closes=self.draining
            )
        except asyncio.CancelledError:
            # The caller has gone, so there is nobody to answer.
            self.outcomes[ErrorKind.CANCELLED.value] += 1
            self._log("request.cancelled", trace, begun_ms, ErrorKind.CANCELLED)
            raise
        self._note_answered(answer, trace, begun_ms)
        return answer

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        if self.draining:
            raise RequestError(ErrorKind.DRAINING)
        caller = self._read(request)
        reply = await self.dispatcher.dispatch(caller)
        reported = reply_error(reply)
        if reported is not None:
            raise reported
        return self._from_reply(reply, request.method)

    def _read(self, request: HttpRequest) -> CallerRequest:
        dialect = self.http_conventions
        headers = dict(request.headers)
        trace_id = headers.get(dialect.request_id, b"").decode("latin-1")
        trace_id = trace_id or f"{random.getrandbits(_TRACE_BITS):032x}"
        key = headers.get(dialect.idempotency_key, b"").decode("latin-1")
        if max(len(trace_id), len(key)) > _LONGEST_ID:
            raise RequestError(ErrorKind.BAD_REQUEST)
        request_id.set(trace_id)
        if request.rest is not None and key:
            raise RequestError(ErrorKind.BODY_TOO_LARGE)
        if key and len(request.body) > MAX_KEYED_BODY_BYTES:
            raise RequestError(ErrorKind.BODY_TOO_LARGE)
        return CallerRequest(
            service=self._service(headers),
            method=request.method,
            path=request.target.partition(b"?")[0].decode("latin-1"),
            target=request.target,
            headers=self._passed_on(request, headers),
            body=request.body,
            trace_id=trace_id,
            timeout_ms=self._timeout_ms(headers.get(dialect.timeout, b"")),
            idempotency_key=key,
            rest=request.rest,
        )

    def _passed_on(
        self, request: HttpRequest, headers: dict[bytes, bytes]
    ) -> list[tuple[bytes, bytes]]:
        dropped = self.http_conventions.stripped
        passed_on = [
            item
            for item in end_to_end(request.headers)
            if item[0] not in dropped
        ]
        if self.http_conventions.origin:
            passed_on.append(
                (self.http_conventions.origin, self.origin.encode())
            )
        if request.rest is not None and CONTENT_LENGTH in headers:
            passed_on.append((CONTENT_LENGTH, headers[CONTENT_LENGTH]))
        return passed_on

    def _timeout_ms(self, value: bytes) -> int:
        if not value:
            return 0
        try:
            timeout_ms = float(value)
        except ValueError:
            raise RequestError(ErrorKind.BAD_REQUEST) from None
        if not 0 <= timeout_ms <= _LONGEST_TIMEOUT_MS:
            raise RequestError(ErrorKind.BAD_REQUEST)
        if timeout_ms < 1:
            late = self.http_conventions.zero_timeout_is_expired
            raise RequestError(
                ErrorKind.DEADLINE_NOT_RUN if late else ErrorKind.BAD_REQUEST
            )
        return int(timeout_ms)

    def _service(self, headers: dict[bytes, bytes]) -> str:
        service = headers.get(self.http_conventions.service, b"").decode(
            "latin-1"
        )
        if not service:
            host = headers.get(b"host", b"").decode("latin-1").lower()
            service = host.rpartition(":")[0] or host
        if not _SERVICE_NAME.fullmatch(service):
            raise RequestError(ErrorKind.BAD_REQUEST)
        return service

    def _from_reply(self, reply: ForwardReply, method: str) -> HttpResponse:
        headers = [(item.name, item.value) for item in reply.headers]
        rest = rest_of(reply)
        if reply.status in NO_BODY_STATUSES and method != _HEAD:
            headers = end_to_end(headers)
        if rest is None:
            return HttpResponse(
                reply.status, headers, reply.body, closes=self.draining
            )
        counted = CountedBody(rest, self.outcomes)
        return HttpResponse(reply.status, headers, reply.body, counted)

    def _note_answered(
        self, answer: HttpResponse, trace: RequestTrace, begun_ms: int
    ) -> None:
        if answer.rest is None:
            self.outcomes[ANSWERED] += 1
        self.latency.add(self.clock.now_ms() - begun_ms)
        if self.log_limiter.allow_success(self.clock.now_ms()):
            self._log("request.answered", trace, begun_ms, answer.status)

    def _note_refused(
        self, error: RequestError, trace: RequestTrace, begun_ms: int
    ) -> None:
        self.outcomes[error.kind.value] += 1
        self._log("request.refused", trace, begun_ms, error.kind)

    def _log(
        self,
        event: str,
        trace: RequestTrace,
        begun_ms: int,
        outcome: ErrorKind | int | str,
    ) -> None:
        now_ms = self.clock.now_ms()
        if isinstance(outcome, ErrorKind):
            if not self.log_limiter.allow_failure(now_ms):
                return
            outcome = outcome.value
        _logger.info(
            event,
            extra={
                "outcome": outcome,
                "route": trace.route,
                "routed_version": trace.version,
                "upstream": trace.upstream,
                "had_ms": trace.deadline_ms,
                "took_ms": now_ms - begun_ms,
                "tries": [str(item) for item in trace.attempts],
                "lines_dropped": self.log_limiter.pop_dropped(),
            },
        )
