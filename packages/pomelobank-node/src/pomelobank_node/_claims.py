"""Takes requests with an idempotency key to the node that claims the key."""

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
    claim_key,
    combine_run_states,
    rank_claimants,
    request_digest,
    shard_of,
)
from pomelobank_node._claims_shard import DispatchFunction, ShardWorker
from pomelobank_node._keyed_requests import KeyedRequest
from pomelobank_node._log import Log
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
# A shard without requests for a minute is read no further, so that the log
# is not polled for keys that nobody sends.
SHARD_IDLE_MS = 60_000
_IDLE_CHECK_S = 5.0
_DRAIN_POLL_S = 0.01
_FLUSH_MS = 2000
# The claiming node answers at the deadline itself; the entry waits a little
# longer, so that its better answer is not cut off.
_GRACE_MS = 100
# Two nodes at most are asked: the second covers a node that has just died.
_MAX_CLAIMANTS = 2
_ELSEWHERE = frozenset(
    {
        ErrorKind.PEER_UNREACHABLE,
        ErrorKind.PEER_LOST,
        ErrorKind.DRAINING,
    }
)


@attrs.define(eq=False)
class ClaimService:
    """Claims keys of its shards and forwards those of others.

    Attributes:
        members: Who can claim.
        links: Streams to peers.
        log: The log's client.
        clock: Tells the time.
        settings: Limits.
        dispatch: Runs a claimed request on a target.
        writer: Name under which this start of the node writes.
        responses: Answers kept for resends.
        workers: Shards that are read, by number.
        forwarded: Requests sent to another claiming node, for the metrics.
        sent_twice: Requests sent to a second claiming node, for the metrics.
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
    sent_twice: int = 0
    draining: bool = False
    task: asyncio.Task[None] | None = None

    def __attrs_post_init__(self) -> None:
        self.responses = ResponseStore(self.settings.answer_bytes)
        if not self.writer:
            # Random, not a time: a node that restarts with a clock that went
            # back would otherwise write under the name of its former start.
            node = self.members.own.node
            self.writer = f"{node}/{secrets.token_hex(8)}"

    @property
    def keys(self) -> int:
        """Keys that are remembered on this node, for the metrics."""
        return sum(len(item.table.claims) for item in self.workers.values())

    @property
    def rejected(self) -> int:
        """Claims refused for want of budget or log, for the metrics."""
        return sum(item.batcher.rejected for item in self.workers.values())

    async def start(self) -> None:
        """Starts looking for idle shards."""
        self.task = asyncio.create_task(self._retire_idle(), name="claims")

    async def stop(self) -> None:
        """Ends every shard."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        for worker in list(self.workers.values()):
            await worker.stop()

    async def drain(self, timeout_ms: int) -> None:
        """Takes no new key, ends what is under way and writes its outcome.

        Args:
            timeout_ms: Longest wait for requests under way.
        """
        self.draining = True
        await self._until(timeout_ms, lambda worker: not worker.running)
        # What cannot be written during an outage of the log costs a resend
        # its answer, not its claim; it is not worth a stop of minutes.
        await self._until(
            min(timeout_ms, _FLUSH_MS), lambda worker: worker.idle
        )

    async def _until(
        self, timeout_ms: int, ready: Callable[[ShardWorker], bool]
    ) -> None:
        until_ms = self.clock.now_ms() + timeout_ms
        while self.clock.now_ms() < until_ms:
            if all(ready(worker) for worker in self.workers.values()):
                return
            await asyncio.sleep(_DRAIN_POLL_S)

    async def _retire_idle(self) -> None:
        while True:
            await asyncio.sleep(_IDLE_CHECK_S)
            before_ms = self.clock.now_ms() - SHARD_IDLE_MS
            for shard, worker in list(self.workers.items()):
                if worker.idle and worker.last_used_ms < before_ms:
                    del self.workers[shard]
                    await worker.stop()

    async def run_once(self, request: ForwardRequest) -> ForwardReply:
        """Answers a caller's keyed request.

        Args:
            request: The request, its key scoped and no upstream chosen.

        Returns:
            The target's answer, or the error that ended the request.
        """
        deadline_ms = self.clock.now_ms() + request.remaining_ms
        shard = shard_of(claim_key(request.idempotency_key))
        first: ForwardReply | None = None
        for node in self._claimants(shard):
            reply = await self._ask(node, request, deadline_ms)
            if first is not None:
                self.sent_twice += 1
                reply = _combine(first, reply)
            error = reply_error(reply)
            if error is None or error.kind not in _ELSEWHERE:
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

    async def _ask(
        self, node: str, request: ForwardRequest, deadline_ms: int
    ) -> ForwardReply:
        left_ms = deadline_ms - self.clock.now_ms()
        if left_ms <= 0:
            return error_reply(0, RequestError(ErrorKind.DEADLINE_NOT_RUN))
        request = attrs.evolve(
            request, sent_ms=self.clock.now_ms(), remaining_ms=left_ms
        )
        if node == self.members.own.node:
            return await self.serve(request)
        self.forwarded += 1
        address = self.members.others[node].peer_address
        try:
            async with asyncio.timeout((left_ms + _GRACE_MS) / _MS_PER_S):
                return await self.links.to(address).forward(request)
        except TimeoutError:
            return error_reply(0, RequestError(ErrorKind.DEADLINE_UNKNOWN))

    async def serve(self, request: ForwardRequest) -> ForwardReply:
        """Claims the key of a request and runs it, wherever it came in.

        Args:
            request: The request, its key scoped and no upstream chosen.

        Returns:
            The target's answer, or the error that ended the request.
        """
        try:
            if self.draining:
                raise RequestError(ErrorKind.DRAINING)
            keyed = self._keyed(request)
            reply = await self._worker(keyed).serve(keyed)
        except RequestError as error:
            return error_reply(request.request_id, error)
        return attrs.evolve(reply, request_id=request.request_id)

    def _keyed(self, request: ForwardRequest) -> KeyedRequest:
        return KeyedRequest(
            key=claim_key(request.idempotency_key),
            digest=request_digest(request.method, request.target, request.body),
            request=request,
            deadline_ms=self.clock.now_ms() + request.remaining_ms,
        )

    def _worker(self, keyed: KeyedRequest) -> ShardWorker:
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
    # The second node refused the request as not run, but the first one may
    # still hold a copy of it and run it when it wakes.
    earlier, later = _run_state(first), _run_state(second)
    if combine_run_states(earlier, later) is later:
        return second
    return first


def _run_state(reply: ForwardReply) -> RunState:
    error = reply_error(reply)
    return (
        RunState.RAN if error is None else ERROR_RESPONSES[error.kind].run_state
    )
