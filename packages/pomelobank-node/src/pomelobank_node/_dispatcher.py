"""Takes a caller's request to the target that answers it."""

import random

import attrs

from pomelobank_core import (
    Clock,
    ErrorKind,
    MemberTable,
    RoundRobin,
    is_idempotent,
    pick_upstream,
)
from pomelobank_node._bodies import BodySource, with_rest
from pomelobank_node._config_store import ConfigStore
from pomelobank_node._owner import Owner
from pomelobank_node._peer_links import PeerLinks
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


@attrs.define(eq=False)
class Dispatcher:
    """Routes, places and forwards requests.

    Attributes:
        store: The configuration in force.
        members: Who can serve.
        owner: The node's own target.
        links: Streams to peers.
        clock: Tells the time.
        placing: Chooses the target.
        seeded: Source of randomness.
    """

    store: ConfigStore
    members: MemberTable
    owner: Owner
    links: PeerLinks
    clock: Clock
    placing: RoundRobin = attrs.field(factory=RoundRobin)
    seeded: random.Random = attrs.field(factory=random.Random)

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
        upstream = pick_upstream(
            route, self.members.available_upstreams(), self.seeded
        )
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
        return await self._place(with_rest(request, caller.rest))

    async def _place(self, request: ForwardRequest) -> ForwardReply:
        candidates = self.members.ready_for(request.upstream)
        chosen = self.placing.place(request.upstream, candidates)
        if chosen is None:
            raise RequestError(ErrorKind.NO_TARGET)
        if chosen.node == self.members.own.node:
            return await self.owner.serve(request)
        return await self.links.to(chosen.peer_address).forward(request)
