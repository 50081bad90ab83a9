"""Takes a caller's request to the target that answers it."""

from typing import TYPE_CHECKING, Protocol
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
    ForwardReply,
    ForwardRequest,
    Headers,
    RequestError,
)
from pomelobank_node._tracing import current_trace
from pomelobank_schema.generated.peer import Header
from pomelobank_schema.generated.records import RouteObject

if TYPE_CHECKING:
    from pomelobank_node._claims import ClaimService


@attrs.frozen
class CallerRequest:
    """A request as it came in.

    Attributes:
        service: Service that the caller addressed.
        method: HTTP method.
        path: Path without query.
        target: Raw path with query.
        headers: Headers to pass on.
        body: Whole body.
        trace_id: Id that follows the request through every log.
        timeout_ms: Caller's own limit; 0 where it gave none.
        idempotency_key: Caller's key; empty where it gave none.
        rest: The rest of the body, None where `body` is the whole.
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


class RoutesInForce(Protocol):
    """The routes by which a node sends requests on."""

    @property
    def ready(self) -> bool:
        """Whether callers may be served."""

    @property
    def routes(self) -> RouteTable:
        """The routes."""

    @property
    def version(self) -> int:
        """Version of the routes."""


@attrs.define(eq=False)
class Dispatcher:
    """Finds the route and the upstream of requests.

    Attributes:
        store: The configuration in force.
        forwarder: Takes requests to the upstream's targets.
        clock: Tells the time.
        exact_weights: Whether an upstream keeps its part of the requests also
            while none of its targets can serve; the others get it where not.
        shutdown_admission: Tells which requests a stopping node still takes.
        claims: Runs requests with an idempotency key, None where keys are left
            to the targets.
        caller_timeouts: Tells what callers have used on earlier attempts.
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

    async def dispatch(self, caller: CallerRequest) -> ForwardReply:
        """Answers one request.

        Args:
            caller: The request.

        Returns:
            The target's answer or an error report.

        Raises:
            RequestError: If the request cannot be placed.
        """
        if not self.store.ready:
            raise RequestError(ErrorKind.NOT_READY)
        route = self.store.routes.match(caller.service, caller.path)
        if route is None:
            raise RequestError(ErrorKind.NO_ROUTE)
        request = with_rest(self._request(route, caller), caller.rest)
        if not self.shutdown_admission.accepts(
            request.remaining_ms, request.sent_ms
        ):
            retry_after_ms = self.shutdown_admission.retry_after_ms(
                request.sent_ms
            )
            raise RequestError(ErrorKind.DRAINING, retry_after_ms)
        trace = current_trace()
        trace.route = route.name
        trace.version = request.version
        trace.deadline_ms = request.remaining_ms
        # A key is looked up before a target: its request may have run, and
        # its resend must not be told that there is none.
        has_key = bool(caller.idempotency_key)
        if has_key and self.claims is not None and not request.idempotent:
            key = scoped_key(caller.service, caller.idempotency_key)
            keyed = attrs.evolve(request, idempotency_key=key)
            return await self.claims.run_once(keyed)
        return await self._route_on(route, request)

    async def dispatch_claimed(self, request: ForwardRequest) -> ForwardReply:
        """Places a request whose key this node has claimed.

        Raises:
            RequestError: If the request cannot be placed.
        """
        if not self.store.ready:
            raise RequestError(ErrorKind.NOT_READY)
        service = service_of(request.idempotency_key)
        path = unquote_to_bytes(request.target.partition(b"?")[0])
        route = self.store.routes.match(service, path.decode(errors="replace"))
        if route is None:
            # The entry knew a route when it sent the request here. A claiming
            # node that is behind would else tell the caller that the route
            # does not exist, as if an operator had deleted it.
            behind = self.store.version < request.version
            raise RequestError(
                ErrorKind.NOT_READY if behind else ErrorKind.NO_ROUTE
            )
        reply = await self._route_on(route, request)
        return await read_full_reply(reply, MAX_KEYED_BODY_BYTES)

    async def _route_on(
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
        return await self.forwarder.forward(
            attrs.evolve(request, upstream=upstream)
        )

    def _request(
        self, route: RouteObject, caller: CallerRequest
    ) -> ForwardRequest:
        remaining_ms = route.timeout_ms
        spent_ms = 0
        if caller.timeout_ms:
            remaining_ms = min(remaining_ms, caller.timeout_ms)
            spent_ms = self.caller_timeouts.elapsed_ms(
                route.name, caller.timeout_ms
            )
        return ForwardRequest(
            trace_id=caller.trace_id,
            sent_ms=self.clock.now_ms(),
            remaining_ms=remaining_ms,
            route=route.name,
            traffic_class=route.traffic_class,
            method=caller.method,
            target=caller.target,
            headers=tuple(
                Header(name=name, value=value) for name, value in caller.headers
            ),
            body=caller.body,
            idempotent=is_idempotent(route, caller.method),
            version=self.store.version,
            idempotency_key=caller.idempotency_key,
            max_attempts=route.max_attempts,
            aim_ms=route.aim_ms,
            priority=route.priority,
            spent_ms=spent_ms,
        )
