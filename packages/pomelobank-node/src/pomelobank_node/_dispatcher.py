"""Routes callers' requests to upstreams and forwards them."""

from typing import TYPE_CHECKING, NamedTuple, Protocol
from urllib.parse import unquote_to_bytes

import attrs

from pomelobank_core import (
    CallerTimeouts,
    Clock,
    ErrorKind,
    RouteTable,
    ShutdownAdmission,
    is_idempotent,
    pick_upstream,
    scoped_key,
    service_of,
)
from pomelobank_node._bodies import (
    MAX_KEYED_BODY_BYTES,
    BodySource,
    read_full_reply,
    with_rest,
)
from pomelobank_node._forwarder import Forwarder
from pomelobank_node._requests import (
    AdmittedCall,
    ForwardReply,
    ForwardRequest,
    Headers,
    RequestError,
    reply_error,
)
from pomelobank_node._tracing import current_trace
from pomelobank_schema.generated.peer import Header
from pomelobank_schema.generated.records import RouteObject

if TYPE_CHECKING:
    from pomelobank_node._claims import ClaimService


@attrs.frozen
class CallerRequest:
    """A request as the node received it from a caller.

    Attributes:
        service: Service that the caller addressed.
        method: HTTP method.
        path: Path without query.
        target: Raw path with query.
        headers: Headers to forward.
        body: The whole body, or its first part if there is a `rest`.
        trace_id: Id of the request in the logs of every node.
        timeout_ms: The caller's own time-out; 0 if the caller set none.
        idempotency_key: The caller's key; empty if the caller sent none.
        rest: The rest of the body, None if `body` is the whole body.
        received: Headers of the head as the caller sent them, without trailers.
    """

    service: str
    method: str
    path: str
    target: bytes
    headers: Headers
    body: bytes
    trace_id: str
    timeout_ms: int = 0
    idempotency_key: str = ""
    rest: BodySource | None = None
    received: Headers = ()


class RequestTimes(NamedTuple):
    """Times of a request at the dispatcher.

    Attributes:
        now_ms: Time at which the other times were determined.
        remaining_ms: Time left until the caller's deadline.
        spent_ms: Estimated time that the caller has waited before.
    """

    now_ms: int
    remaining_ms: int
    spent_ms: int


class RoutesInForce(Protocol):
    """The routes that a node forwards requests by."""

    @property
    def ready(self) -> bool:
        """Whether the node may serve callers."""

    @property
    def routes(self) -> RouteTable:
        """The route table."""

    @property
    def version(self) -> int:
        """Configuration version of the route table."""


class CallGate(Protocol):
    """Decides which callers' requests may run, and with which rank."""

    @property
    def enabled(self) -> bool:
        """Whether requests have to be checked."""

    async def admit(
        self, route: RouteObject, call: CallerRequest
    ) -> AdmittedCall:
        """Admits a request.

        Raises:
            RequestError: If the request must not run.
        """

    def on_not_run(self, admitted: AdmittedCall, kind: ErrorKind) -> None:
        """Handles an admitted request that ended with an error."""

    def on_ended(self, admitted: AdmittedCall, runs: int) -> None:
        """Notes how many attempts of an admitted request may have run."""


@attrs.define(eq=False)
class Dispatcher:
    """Selects the route and the upstream of each request.

    Attributes:
        store: The configuration in force.
        forwarder: Forwards requests to the targets of an upstream.
        clock: Source of the current time.
        exact_weights: Whether an upstream keeps its share of the requests while
            none of its targets is available. If False, the other upstreams of
            the route receive that share.
        shutdown_admission: Decides which requests a stopping node still
            accepts.
        claims: Runs requests with an idempotency key once; None if the targets
            handle the keys themselves.
        caller_timeouts: Estimates the time that callers spent on earlier
            attempts of the same request.
        gate: Checks API keys and usage caps; None if the node has no
            workspaces.
    """

    store: RoutesInForce
    forwarder: Forwarder
    clock: Clock
    exact_weights: bool = False
    shutdown_admission: ShutdownAdmission = attrs.field(
        factory=ShutdownAdmission
    )
    claims: "ClaimService | None" = None
    caller_timeouts: CallerTimeouts = attrs.field(factory=CallerTimeouts)
    gate: CallGate | None = None

    async def dispatch(self, call: CallerRequest) -> ForwardReply:
        """Routes and forwards one request.

        Args:
            call: The caller's request.

        Returns:
            The target's response or an error report.

        Raises:
            RequestError: If no route or no target can serve the request.
        """
        if not self.store.ready:
            raise RequestError(ErrorKind.NOT_READY)
        route = self.store.routes.match(call.service, call.path)
        if route is None:
            raise RequestError(ErrorKind.NO_ROUTE)
        times = self._request_times(route, call)
        self._reject_if_stopping(times)
        trace = current_trace()
        trace.route = route.name
        trace.version = self.store.version
        trace.deadline_ms = times.remaining_ms
        if self.gate is not None and self.gate.enabled:
            return await self._run_admitted(self.gate, route, call, times)
        request = self._forward_request(
            route, call, times, self.store.version, call.headers, route.priority
        )
        return await self._run(route, call, request)

    def _reject_if_stopping(self, times: RequestTimes) -> None:
        shutdown = self.shutdown_admission
        if not shutdown.accepts(times.remaining_ms, times.now_ms):
            retry_after_ms = shutdown.retry_after_ms(times.now_ms)
            raise RequestError(ErrorKind.DRAINING, retry_after_ms)

    async def _run_admitted(
        self,
        gate: CallGate,
        route: RouteObject,
        call: CallerRequest,
        times: RequestTimes,
    ) -> ForwardReply:
        # The version may change while the gate waits for the usage cap.
        version = self.store.version
        admitted = await gate.admit(route, call)
        try:
            request = self._forward_request(
                route,
                call,
                self._times_after_wait(times),
                version,
                admitted.headers,
                admitted.rank,
            )
            name = admitted.workspace.name if admitted.workspace else ""
            reply = await self._run(route, call, request, name)
        except RequestError as error:
            gate.on_not_run(admitted, error.kind)
            raise
        finally:
            gate.on_ended(admitted, current_trace().runs)
        failure = reply_error(reply)
        if failure is not None:
            gate.on_not_run(admitted, failure.kind)
        return reply

    def _times_after_wait(self, times: RequestTimes) -> RequestTimes:
        """Returns the times of a request that has waited in the gate."""
        now_ms = self.clock.now_ms()
        waited_ms = now_ms - times.now_ms
        if not waited_ms:
            return times
        if waited_ms >= times.remaining_ms:
            raise RequestError(ErrorKind.DEADLINE_NOT_RUN)
        times = RequestTimes(
            now_ms, times.remaining_ms - waited_ms, times.spent_ms + waited_ms
        )
        # The stop of the node may have begun during the wait.
        self._reject_if_stopping(times)
        return times

    async def _run(
        self,
        route: RouteObject,
        call: CallerRequest,
        request: ForwardRequest,
        workspace: str = "",
    ) -> ForwardReply:
        # The node looks up the key before it selects a target. The request may
        # have run earlier, and a resend must then get the stored response even
        # if no target is available now.
        has_key = bool(call.idempotency_key)
        if has_key and self.claims is not None and not request.idempotent:
            key = scoped_key(call.service, call.idempotency_key, workspace)
            keyed = attrs.evolve(request, idempotency_key=key)
            return await self.claims.run_once(keyed)
        return await self._forward(route, request)

    async def dispatch_claimed(self, request: ForwardRequest) -> ForwardReply:
        """Routes and forwards a request whose key this node has claimed.

        Raises:
            RequestError: If no route or no target can serve the request, or if
                the node is about to end.
        """
        if self.clock.now_ms() >= self.shutdown_admission.last_start_ms:
            raise RequestError(ErrorKind.DRAINING)
        if not self.store.ready:
            raise RequestError(ErrorKind.NOT_READY)
        service = service_of(request.idempotency_key)
        path = unquote_to_bytes(request.target.partition(b"?")[0])
        route = self.store.routes.match(service, path.decode(errors="replace"))
        if route is None:
            # The entry node had a route when it sent the request here. A
            # claiming node with an older configuration must not report
            # NO_ROUTE, because the caller would conclude that an operator has
            # deleted the route.
            is_outdated = self.store.version < request.version
            raise RequestError(
                ErrorKind.NOT_READY if is_outdated else ErrorKind.NO_ROUTE
            )
        reply = await self._forward(route, request)
        return await read_full_reply(reply, MAX_KEYED_BODY_BYTES)

    async def _forward(
        self, route: RouteObject, request: ForwardRequest
    ) -> ForwardReply:
        available = None
        if not self.exact_weights:
            available = self.forwarder.index.available_upstreams()
        request_key = request.idempotency_key or request.trace_id
        upstream = pick_upstream(route, available, request_key)
        if upstream is None:
            raise RequestError(ErrorKind.NO_TARGET)
        current_trace().upstream = upstream
        reply = await self.forwarder.forward(
            attrs.evolve(request, upstream=upstream)
        )
        return self._with_retry_delay(reply)

    def _with_retry_delay(self, reply: ForwardReply) -> ForwardReply:
        now_ms = self.clock.now_ms()
        if reply.error != ErrorKind.DRAINING.value or (
            now_ms < self.shutdown_admission.last_start_ms
        ):
            return reply
        # The caller's next attempt would reach this node again if it came
        # before the node has ended.
        retry_after_ms = self.shutdown_admission.retry_after_ms(now_ms)
        return attrs.evolve(reply, retry_after_ms=retry_after_ms)

    def _request_times(
        self, route: RouteObject, call: CallerRequest
    ) -> RequestTimes:
        remaining_ms = route.timeout_ms
        spent_ms = 0
        if call.timeout_ms:
            remaining_ms = min(remaining_ms, call.timeout_ms)
            spent_ms = self.caller_timeouts.elapsed_ms(
                route.name, call.timeout_ms
            )
        return RequestTimes(self.clock.now_ms(), remaining_ms, spent_ms)

    def _forward_request(
        self,
        route: RouteObject,
        call: CallerRequest,
        times: RequestTimes,
        version: int,
        headers: Headers,
        rank: int,
    ) -> ForwardRequest:
        request = ForwardRequest(
            trace_id=call.trace_id,
            sent_ms=times.now_ms,
            remaining_ms=times.remaining_ms,
            route=route.name,
            traffic_class=route.traffic_class,
            method=call.method,
            target=call.target,
            headers=tuple(
                Header(name=name, value=value) for name, value in headers
            ),
            body=call.body,
            idempotent=is_idempotent(route, call.method),
            version=version,
            idempotency_key=call.idempotency_key,
            max_attempts=route.max_attempts,
            aim_ms=route.aim_ms,
            priority=rank,
            spent_ms=times.spent_ms,
        )
        return with_rest(request, call.rest)
