"""Forwards requests with an idempotency key to the node that claims it."""

import asyncio
import itertools
import secrets
from collections.abc import Callable, Iterator

import attrs

from pomelobank_core import (
    ERROR_RESPONSES,
    SHARD_COUNT,
    ClaimBatcher,
    Clock,
    ErrorKind,
    MemberState,
    MemberTable,
    ResponseStore,
    RunState,
    ShutdownAdmission,
    claim_key,
    combine_run_states,
    rank_claimants,
    request_digest,
    shard_of,
)
from pomelobank_node._claims_shard import DispatchFunction, ShardWorker
from pomelobank_node._keyed_requests import KeyedRequest
from pomelobank_node._log import Log
from pomelobank_node._long_lived import start_long_lived
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node._requests import (
    ForwardReply,
    ForwardRequest,
    RequestError,
    error_reply,
    reply_error,
)
from pomelobank_schema.generated.settings import ClaimSettings

_MS_PER_S = 1000
# Time without requests after which the node stops reading a shard's stream, so
# that idle shards cause no polls of the log.
SHARD_IDLE_MS = 60_000
_IDLE_CHECK_S = 5.0
_DRAIN_POLL_S = 0.01
_FLUSH_TIMEOUT_MS = 2000
# The claiming node replies at the request's deadline. The entry node waits this
# much longer, since that reply is more precise than the entry's own time-out.
_REPLY_GRACE_MS = 100
# Maximum number of claiming nodes that the entry node tries for one request.
# The second node replaces a first node that has just failed or is stopping.
_MAX_CLAIMANTS = 2
_RETRIED_ON_SECOND_NODE = frozenset(
    {
        ErrorKind.PEER_UNREACHABLE,
        ErrorKind.PEER_LOST,
        ErrorKind.DRAINING,
    }
)


@attrs.define(eq=False)
class ClaimService:
    """Claims keys of this node's shards and forwards requests of other shards.

    Attributes:
        members: Member table, from which claiming nodes are chosen.
        links: Streams to peers.
        log: Client of the log.
        clock: The node's clock.
        settings: Limits and time-outs of claims.
        dispatch: Runs a claimed request on a target.
        writer: Name of this process in claim records.
        responses: Responses stored for resent requests.
        workers: Workers of the shards whose streams are read, by shard number.
        claim_numbers: Source of claim numbers.
        forwarded: Requests sent to another claiming node, for the metrics.
        second_attempts: Requests sent to a second claiming node, for the
            metrics.
        in_flight: Requests that this node is claiming or running.
        draining: Whether new requests are rejected because the node stops.
        shutdown_admission: Time after which a stopping node sends no request to
            a claiming node.
        task: Task that stops idle workers.
    """

    members: MemberTable
    links: PeerLinks
    log: Log
    clock: Clock
    settings: ClaimSettings
    dispatch: DispatchFunction
    writer: str = ""
    responses: ResponseStore = attrs.field(init=False)
    workers: dict[int, ShardWorker] = attrs.field(factory=dict)
    claim_numbers: Iterator[int] = attrs.field(
        factory=lambda: itertools.count(1)
    )
    forwarded: int = 0
    second_attempts: int = 0
    in_flight: int = 0
    draining: bool = False
    shutdown_admission: ShutdownAdmission = attrs.field(
        factory=ShutdownAdmission
    )
    task: asyncio.Task[None] | None = None

    def __attrs_post_init__(self) -> None:
        self.responses = ResponseStore(self.settings.answer_bytes)
        if not self.writer:
            # The suffix is random. A start time could repeat when a node
            # restarts after its clock was set back, and the node would write
            # under the name of its earlier process.
            node = self.members.own.node
            self.writer = f"{node}/{secrets.token_hex(8)}"

    @property
    def keys(self) -> int:
        """Claimed keys in this node's claim tables, for the metrics."""
        return sum(len(item.table.claims) for item in self.workers.values())

    @property
    def rejected(self) -> int:
        """Claims rejected due to the append budget or the log, for metrics."""
        return sum(item.batcher.rejected for item in self.workers.values())

    async def start(self) -> None:
        """Starts the periodic check for idle shards."""
        self.task = start_long_lived(self._stop_idle_workers, "claims")

    async def stop(self) -> None:
        """Stops the workers of all shards."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        for worker in list(self.workers.values()):
            await worker.stop()

    async def drain(self, timeout_ms: int) -> None:
        """Rejects new keys, finishes running requests, appends their outcomes.

        Args:
            timeout_ms: Maximum wait for running requests.
        """
        self.draining = True
        await self._wait_until(timeout_ms, lambda: not self._is_running)
        # If an outage of the log prevents the append of an outcome, a resent
        # request gets no stored response, but its key stays claimed. This loss
        # does not justify a stop that takes minutes.
        await self._wait_until(
            min(timeout_ms, _FLUSH_TIMEOUT_MS),
            lambda: all(item.flushed for item in self.workers.values()),
        )

    @property
    def _is_running(self) -> bool:
        # A request may also wait for the log or for another claim, or run on
        # after the node that sent it has given up.
        return self.in_flight > 0 or any(
            item.running for item in self.workers.values()
        )

    async def _wait_until(
        self, timeout_ms: int, ready: Callable[[], bool]
    ) -> None:
        end_ms = self.clock.now_ms() + timeout_ms
        while self.clock.now_ms() < end_ms:
            if ready():
                return
            await asyncio.sleep(_DRAIN_POLL_S)

    async def _stop_idle_workers(self) -> None:
        while True:
            await asyncio.sleep(_IDLE_CHECK_S)
            idle_since_ms = self.clock.now_ms() - SHARD_IDLE_MS
            for shard, worker in list(self.workers.items()):
                if worker.idle and worker.last_used_ms < idle_since_ms:
                    del self.workers[shard]
                    await worker.stop()

    async def run_once(self, request: ForwardRequest) -> ForwardReply:
        """Returns the reply to a caller's keyed request.

        The entry node sends the request to a claiming node, which may be the
        entry node itself.

        Args:
            request: The request, with a scoped key and without an upstream.

        Returns:
            The target's response, or the error that ended the request.
        """
        deadline_ms = self.clock.now_ms() + request.remaining_ms
        shard = shard_of(claim_key(request.idempotency_key))
        first: ForwardReply | None = None
        for node in self._claimants(shard):
            reply = await self._send_to(node, request, deadline_ms)
            if first is not None:
                self.second_attempts += 1
                reply = _combine(first, reply)
            error = reply_error(reply)
            if error is None or error.kind not in _RETRIED_ON_SECOND_NODE:
                return reply
            first = reply
        assert first is not None
        return first

    def _claimants(self, shard: int) -> list[str]:
        ready = [
            entry.node
            for entry in self.members.all()
            if entry.state == MemberState.READY.value
        ]
        ranked = rank_claimants(shard, ready)[:_MAX_CLAIMANTS]
        return ranked or [self.members.own.node]

    async def _send_to(
        self, node: str, request: ForwardRequest, deadline_ms: int
    ) -> ForwardReply:
        now_ms = self.clock.now_ms()
        left_ms = deadline_ms - now_ms
        if left_ms <= 0:
            return error_reply(0, RequestError(ErrorKind.DEADLINE_NOT_RUN))
        if now_ms >= self.shutdown_admission.last_start_ms:
            return error_reply(0, RequestError(ErrorKind.DRAINING))
        request = attrs.evolve(request, sent_ms=now_ms, remaining_ms=left_ms)
        if node == self.members.own.node:
            return await self.serve(request)
        self.forwarded += 1
        address = self.members.others[node].peer_address
        try:
            async with asyncio.timeout((left_ms + _REPLY_GRACE_MS) / _MS_PER_S):
                return await self.links.to(address).forward(request)
        except TimeoutError:
            return error_reply(0, RequestError(ErrorKind.DEADLINE_UNKNOWN))

    async def serve(self, request: ForwardRequest) -> ForwardReply:
        """Claims the key of a request on this node and runs the request.

        Args:
            request: The request of this entry node or of a peer, with a scoped
                key and without an upstream.

        Returns:
            The target's response, or the error that ended the request.
        """
        self.in_flight += 1
        try:
            if self.draining:
                raise RequestError(ErrorKind.DRAINING)
            keyed = self._keyed_request(request)
            reply = await self._worker_for(keyed).serve(keyed)
        except RequestError as error:
            return error_reply(request.request_id, error)
        finally:
            self.in_flight -= 1
        return attrs.evolve(reply, request_id=request.request_id)

    def _keyed_request(self, request: ForwardRequest) -> KeyedRequest:
        return KeyedRequest(
            key=claim_key(request.idempotency_key),
            digest=request_digest(request.method, request.target, request.body),
            request=request,
            deadline_ms=self.clock.now_ms() + request.remaining_ms,
        )

    def _worker_for(self, keyed: KeyedRequest) -> ShardWorker:
        shard = shard_of(keyed.key)
        worker = self.workers.get(shard)
        if worker is None:
            rate = self.settings.appends_per_second / SHARD_COUNT
            worker = self.workers[shard] = ShardWorker(
                shard=shard,
                writer=self.writer,
                log=self.log,
                clock=self.clock,
                settings=self.settings,
                responses=self.responses,
                claim_numbers=self.claim_numbers,
                dispatch=self.dispatch,
                batcher=ClaimBatcher(appends_per_s=rate),
            )
            worker.start()
        return worker


def _combine(first: ForwardReply, second: ForwardReply) -> ForwardReply:
    # Even if the second node rejected the request as not run, a paused first
    # node may still hold a copy of the request and run the copy on resuming.
    earlier, later = _run_state(first), _run_state(second)
    if combine_run_states(earlier, later) is later:
        return second
    return first


def _run_state(reply: ForwardReply) -> RunState:
    error = reply_error(reply)
    return (
        RunState.RAN if error is None else ERROR_RESPONSES[error.kind].run_state
    )
