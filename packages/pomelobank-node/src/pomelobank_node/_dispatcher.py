"""Takes a caller's request to the target that answers it."""

import attrs

from pomelobank_core import Clock, ErrorKind, is_idempotent, pick_upstream
from pomelobank_node._config_store import ConfigStore
from pomelobank_node._forwarder import Forwarder
from pomelobank_node._requests import (
    ForwardReply,
    ForwardRequest,
    Headers,
    RequestError,
)
from pomelobank_schema.generated.peer import Header


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


@attrs.define(eq=False)
class Dispatcher:
    """Finds the route and the upstream of requests.

    Attributes:
        store: The configuration in force.
        forwarder: Takes requests to the upstream's targets.
        clock: Tells the time.
    """

    store: ConfigStore
    forwarder: Forwarder
    clock: Clock

    async def dispatch(self, caller: CallerRequest) -> ForwardReply:
        """Answers one request.

        Args:
            caller: The request.

        Returns:
            The target's answer or an error report.

        Raises:
            RequestError: If the request cannot be placed.
        """
        route = self.store.routes.match(caller.service, caller.path)
        if route is None:
            raise RequestError(ErrorKind.NO_ROUTE)
        available = self.forwarder.index.available_upstreams()
        request_key = caller.idempotency_key or caller.trace_id
        upstream = pick_upstream(route, available, request_key)
        if upstream is None:
            raise RequestError(ErrorKind.NO_TARGET)
        remaining_ms = route.timeout_ms
        if caller.timeout_ms:
            remaining_ms = min(remaining_ms, caller.timeout_ms)
        request = ForwardRequest(
            trace_id=caller.trace_id,
            sent_ms=self.clock.now_ms(),
            remaining_ms=remaining_ms,
            route=route.name,
            upstream=upstream,
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
        )
        return await self.forwarder.forward(request)
