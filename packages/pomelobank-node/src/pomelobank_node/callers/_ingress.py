"""Dispatches callers' requests to targets and returns their responses."""

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

OUTCOME_ANSWERED = "answered"
OUTCOME_BROKEN_OFF = "broken_off"
# A host name or an IPv4 address; the port of the host header is removed before
# the match.
_SERVICE_NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._-]{0,252})")
# Maximum length of a request id or idempotency key. Logs repeat these values,
# and a longer value is an error of the caller.
_MAX_ID_BYTES = 256
# Maximum time-out that a caller may set: one day. A longer time-out means that
# the caller used the wrong unit.
_MAX_TIMEOUT_MS = 86_400_000
_TRACE_BITS = 128
_HEAD = "HEAD"


@attrs.define(eq=False)
class CountedBody:
    """Forwards a response's body and counts whether it was complete.

    Attributes:
        source: The body.
        outcomes: Number of requests by outcome.
        started: Whether a part of the body was read.
    """

    source: BodySource
    outcomes: Counter[str]
    started: bool = False

    async def read(self) -> bytes:
        """Returns the next part of the body; empty at the end."""
        self.started = True
        try:
            data = await self.source.read()
        except RequestError:
            self.outcomes[OUTCOME_BROKEN_OFF] += 1
            raise
        if not data:
            self.outcomes[OUTCOME_ANSWERED] += 1
        return data

    def close(self) -> None:
        """Discards the remaining body."""
        self.source.close()


@attrs.define(eq=False)
class Ingress:
    """Handles callers' requests: parses, dispatches, counts and logs them.

    Attributes:
        dispatcher: Sends requests to targets.
        clock: The node's clock.
        http_conventions: Names of the headers.
        origin: Upstream of the instance whose callers this node serves.
        outcomes: Number of requests by outcome, for the metrics.
        latency: Histogram of response times, for the metrics.
        log_limiter: Limits the rate of log lines.
        draining: Whether new requests are rejected because the node stops.
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
        """Returns the response to one request."""
        start_ms = self.clock.now_ms()
        trace = begin_trace()
        try:
            response = await self._handle(request)
        except RequestError as error:
            self._record_error(error, trace, start_ms)
            return error_response(
                error, self.http_conventions, closes=self.draining
            )
        except asyncio.CancelledError:
            # The caller has disconnected, so no response can be sent.
            self.outcomes[ErrorKind.CANCELLED.value] += 1
            self._log("request.cancelled", trace, start_ms, ErrorKind.CANCELLED)
            raise
        self._record_response(response, trace, start_ms)
        return response

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if self.draining:
            raise RequestError(ErrorKind.DRAINING)
        caller_request = self._parse_request(request)
        reply = await self.dispatcher.dispatch(caller_request)
        reply_failure = reply_error(reply)
        if reply_failure is not None:
            raise reply_failure
        return self._from_reply(reply, request.method)

    def _parse_request(self, request: HttpRequest) -> CallerRequest:
        conventions = self.http_conventions
        headers = dict(request.headers)
        trace_id = headers.get(conventions.request_id, b"").decode("latin-1")
        trace_id = trace_id or f"{random.getrandbits(_TRACE_BITS):032x}"
        key = headers.get(conventions.idempotency_key, b"").decode("latin-1")
        if max(len(trace_id), len(key)) > _MAX_ID_BYTES:
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
            headers=self._forwarded_headers(request, headers),
            body=request.body,
            trace_id=trace_id,
            timeout_ms=self._timeout_ms(headers.get(conventions.timeout, b"")),
            idempotency_key=key,
            rest=request.rest,
            received=request.head_headers,
        )

    def _forwarded_headers(
        self, request: HttpRequest, headers: dict[bytes, bytes]
    ) -> list[tuple[bytes, bytes]]:
        dropped = self.http_conventions.stripped
        forwarded = [
            item
            for item in end_to_end(request.headers)
            if item[0] not in dropped
        ]
        if self.http_conventions.origin:
            forwarded.append(
                (self.http_conventions.origin, self.origin.encode())
            )
        if request.rest is not None and CONTENT_LENGTH in headers:
            forwarded.append((CONTENT_LENGTH, headers[CONTENT_LENGTH]))
        return forwarded

    def _timeout_ms(self, value: bytes) -> int:
        if not value:
            return 0
        try:
            timeout_ms = float(value)
        except ValueError:
            raise RequestError(ErrorKind.BAD_REQUEST) from None
        if not 0 <= timeout_ms <= _MAX_TIMEOUT_MS:
            raise RequestError(ErrorKind.BAD_REQUEST)
        if timeout_ms < 1:
            expired = self.http_conventions.zero_timeout_is_expired
            raise RequestError(
                ErrorKind.DEADLINE_NOT_RUN if expired else ErrorKind.BAD_REQUEST
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

    def _record_response(
        self, response: HttpResponse, trace: RequestTrace, start_ms: int
    ) -> None:
        if response.rest is None:
            self.outcomes[OUTCOME_ANSWERED] += 1
        self.latency.add(self.clock.now_ms() - start_ms)
        if self.log_limiter.allow_success(self.clock.now_ms()):
            self._log("request.answered", trace, start_ms, response.status)

    def _record_error(
        self, error: RequestError, trace: RequestTrace, start_ms: int
    ) -> None:
        self.outcomes[error.kind.value] += 1
        self._log("request.refused", trace, start_ms, error.kind)

    def _log(
        self,
        event: str,
        trace: RequestTrace,
        start_ms: int,
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
                "took_ms": now_ms - start_ms,
                "tries": [item.describe(now_ms) for item in trace.attempts],
                "lines_dropped": self.log_limiter.pop_dropped(),
                **trace.describe_key(),
            },
        )
