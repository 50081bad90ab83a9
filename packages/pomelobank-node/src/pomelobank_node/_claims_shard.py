"""Claims the idempotency keys of one shard and runs their requests."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterator

import attrs

from pomelobank_core import (
    ERROR_RESPONSES,
    Claim,
    ClaimAttempt,
    ClaimAttemptState,
    ClaimAttemptStep,
    ClaimBatcher,
    ClaimEnded,
    ClaimId,
    ClaimSeen,
    ClaimStatus,
    ClaimTable,
    Clock,
    ErrorKind,
    ResponseStore,
    RunState,
    abandon,
    completion_record,
    on_claim_seen,
    on_run_ended,
)
from pomelobank_node._claims_reader import ClaimReader
from pomelobank_node._claims_writer import BatchItem, ClaimWriter, wait_event
from pomelobank_node._keyed_requests import (
    KeyedRequest,
    RunningRequest,
    replayed_reply,
    stored_response,
)
from pomelobank_node._log import Log
from pomelobank_node._requests import (
    ForwardReply,
    ForwardRequest,
    RequestError,
    error_reply,
    reply_error,
)
from pomelobank_schema.generated.records import (
    ClaimBatch,
    ClaimEntry,
    ClaimRelease,
)
from pomelobank_schema.generated.settings import ClaimSettings

_logger = logging.getLogger(__name__)

DispatchFunction = Callable[[ForwardRequest], Awaitable[ForwardReply]]

_MS_PER_S = 1000
# Largest response that is stored in the log. The acknowledgement of an order
# with its headers fits, a report does not. At 100 keyed requests a second,
# responses add at most 100 KB/s to the log.
MAX_LOGGED_RESPONSE_BYTES = 1024
# The owner replies at the request's deadline; the worker waits this much longer
# for that reply.
_REPLY_GRACE_MS = 50
# Maximum wait for the outcome of a claim that another node holds.
_MAX_HOLDER_WAIT_MS = 1000
# Maximum number of abandoned claims that are remembered, because their append
# may still appear in the stream. Beyond this number the oldest claims are
# dropped; if such a claim appears, its key stays claimed until the end of the
# window.
_MAX_ABANDONED_CLAIMS = 1000


@attrs.define(eq=False)
class ShardWorker:
    """Claims the keys of one shard and runs each claimed request once.

    Attributes:
        shard: Number of the shard.
        writer: Name of this process in claim records.
        log: Client of the log.
        clock: The node's clock.
        settings: Limits and time-outs of claims.
        responses: Responses stored for resent requests.
        claim_numbers: Source of claim numbers.
        dispatch: Runs a request on a target.
        batcher: Decides when to append.
        table: Claims that result from the records read.
        claim_writer: Appends to the stream.
        reader: Reads the stream.
        running_requests: Requests that this node claims or runs, by claim key.
        pending: Requests whose claim was not read from the stream yet, by claim
            number.
        releasing: This node's claims whose release was not read from the stream
            yet.
        last_used_ms: Time of the latest request.
        tasks: Running tasks of the worker.
    """

    shard: int
    writer: str
    log: Log
    clock: Clock
    settings: ClaimSettings
    responses: ResponseStore
    claim_numbers: Iterator[int]
    dispatch: DispatchFunction
    batcher: ClaimBatcher[BatchItem]
    table: ClaimTable = attrs.field(factory=ClaimTable)
    claim_writer: ClaimWriter = attrs.field(init=False)
    reader: ClaimReader = attrs.field(init=False)
    running_requests: dict[bytes, RunningRequest] = attrs.field(factory=dict)
    pending: dict[int, RunningRequest] = attrs.field(factory=dict)
    releasing: set[ClaimId] = attrs.field(factory=set)
    last_used_ms: int = 0
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.claim_writer = ClaimWriter(
            self.stream,
            self.writer,
            self.log,
            self.clock,
            self.settings.window_ms,
            self.table,
            self.batcher,
            self._on_claim_refused,
        )
        self.reader = ClaimReader(
            self.stream, self.log, self.clock, self.table, self
        )

    @property
    def stream(self) -> str:
        """Name of the shard's stream."""
        return f"claims-{self.shard}"

    def start(self) -> None:
        """Starts the tasks that read and append to the stream."""
        self._spawn(self.reader.run(), "read")
        self._spawn(self.claim_writer.run(), "append")

    def _spawn(self, work: Awaitable[None], name: str) -> None:
        async def run() -> None:
            await work

        task = asyncio.create_task(run(), name=f"{self.stream}-{name}")
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def stop(self) -> None:
        """Cancels every task and waits for its end."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def running(self) -> bool:
        """Whether a request is being claimed or run on this node."""
        return any(
            not item.reply.done() for item in self.running_requests.values()
        )

    @property
    def idle(self) -> bool:
        """Whether no request is in flight and no record waits for an append."""
        return not self.running_requests and self.claim_writer.idle

    @property
    def flushed(self) -> bool:
        """Whether the outcome of every request that ended was appended."""
        unrecorded = any(
            item.reply.done() for item in self.running_requests.values()
        )
        return not unrecorded and self.claim_writer.idle

    # Requests.

    async def serve(self, keyed: KeyedRequest) -> ForwardReply:
        """Claims and runs a keyed request, at most once.

        Args:
            keyed: The request.

        Returns:
            The target's response to this request or to an earlier request with
            the same key, or the error that ended the run.

        Raises:
            RequestError: If the request did not run, or if it is unknown
                whether the request ran.
        """
        self.last_used_ms = self.clock.now_ms()
        await self._catch_up(keyed)
        while True:
            running = self.running_requests.get(keyed.key)
            if running is None:
                claim = self.table.find(keyed.key, self.clock.wall_ms())
                if claim is not None and claim.claim_id not in self.releasing:
                    return await self._respond_from_claim(keyed, claim)
                running = self._begin_attempt(keyed)
            elif running.keyed_request.digest != keyed.digest:
                raise RequestError(ErrorKind.KEY_MISMATCH)
            reply = await self._wait_for_reply(running, keyed)
            if reply is not None:
                return reply

    async def _catch_up(self, keyed: KeyedRequest) -> None:
        if self.reader.caught_up.is_set():
            return
        if self.reader.failing:
            raise RequestError(ErrorKind.CLAIM_UNAVAILABLE)
        wait_ms = min(self.settings.claim_timeout_ms, self._left_ms(keyed))
        try:
            async with asyncio.timeout(wait_ms / _MS_PER_S):
                await self.reader.caught_up.wait()
        except TimeoutError:
            raise RequestError(ErrorKind.CLAIM_UNAVAILABLE) from None

    def _left_ms(self, keyed: KeyedRequest) -> int:
        return max(0, keyed.deadline_ms - self.clock.now_ms())

    async def _respond_from_claim(
        self, keyed: KeyedRequest, claim: Claim
    ) -> ForwardReply:
        if claim.request_digest != keyed.digest:
            raise RequestError(ErrorKind.KEY_MISMATCH)
        if claim.status is ClaimStatus.HELD:
            updated = await self._wait_for_holder(keyed, claim)
            if updated is None:
                return await self.serve(keyed)
            claim = updated
        if claim.status is ClaimStatus.ANSWERED:
            response = self.responses.get(keyed.key)
            if response is None:
                raise RequestError(ErrorKind.CLAIM_ANSWERED)
            return replayed_reply(response)
        if claim.status is ClaimStatus.UNKNOWN:
            raise RequestError(ErrorKind.CLAIM_UNKNOWN)
        if self._is_before_deadline(claim):
            raise RequestError(ErrorKind.KEY_IN_USE)
        raise RequestError(ErrorKind.CLAIM_UNKNOWN)

    def _is_before_deadline(self, claim: Claim) -> bool:
        return self.clock.wall_ms() < claim.deadline_ms

    async def _wait_for_holder(
        self, keyed: KeyedRequest, claim: Claim
    ) -> Claim | None:
        # The claim's holder may be about to append its outcome. If no outcome
        # appears within the wait, the holder has probably failed, is paused or
        # is partitioned, and an early error is more useful to the caller.
        wait_end_ms = self.clock.now_ms() + min(
            _MAX_HOLDER_WAIT_MS, self._left_ms(keyed)
        )
        current: Claim | None = claim
        while current == claim and self._is_before_deadline(claim):
            wait_ms = wait_end_ms - self.clock.now_ms()
            if wait_ms <= 0:
                break
            await wait_event(self.reader.changed, wait_ms)
            current = self.table.find(keyed.key, self.clock.wall_ms())
        return current

    async def _wait_for_reply(
        self, running: RunningRequest, keyed: KeyedRequest
    ) -> ForwardReply | None:
        running.waiters += 1
        try:
            wait_s = self._left_ms(keyed) / _MS_PER_S
            done, _ = await asyncio.wait({running.reply}, timeout=wait_s)
        finally:
            running.waiters -= 1
            if not running.waiters and not running.reply.done():
                self._abandon(running)
        if done:
            return running.reply.result()
        if running.attempt.state is ClaimAttemptState.RUNNING:
            raise RequestError(ErrorKind.DEADLINE_UNKNOWN)
        raise RequestError(ErrorKind.DEADLINE_NOT_RUN)

    def _abandon(self, running: RunningRequest) -> None:
        running.attempt = abandon(running.attempt)
        if running.attempt.state is ClaimAttemptState.ABANDONED:
            running.decide(ClaimAttemptStep.NOTHING)

    # One attempt to claim a key and run its request.

    def _begin_attempt(self, keyed: KeyedRequest) -> RunningRequest:
        self._check_capacity()
        number = next(self.claim_numbers)
        attempt = ClaimAttempt(
            ClaimId(self.writer, number), keyed.key, keyed.deadline_ms
        )
        claim_wait_ms = min(
            self.settings.claim_timeout_ms, self._left_ms(keyed)
        )
        entry = ClaimEntry(
            key=keyed.key,
            number=number,
            request=keyed.digest,
            remaining_ms=self._left_ms(keyed),
        )
        self.claim_writer.claim(entry, claim_wait_ms)
        running = RunningRequest(keyed, attempt)
        self.running_requests[keyed.key] = running
        self.pending[number] = running
        self._spawn(
            self._run_attempt(running, claim_wait_ms), f"claim-{number}"
        )
        return running

    def _check_capacity(self) -> None:
        if self.reader.blocked or self.reader.failing:
            raise RequestError(ErrorKind.CLAIM_UNAVAILABLE)
        wall_ms = self.clock.wall_ms()
        wait_ms = max(
            self.table.window_wait_ms(wall_ms),
            self.table.capacity_wait_ms(wall_ms, self.settings.keys_per_shard),
        )
        if wait_ms:
            raise RequestError(ErrorKind.CLAIM_UNAVAILABLE, wait_ms)

    async def _run_attempt(
        self, running: RunningRequest, claim_wait_ms: int
    ) -> None:
        await asyncio.wait({running.step}, timeout=claim_wait_ms / _MS_PER_S)
        self._abandon(running)
        step = (
            running.step.result()
            if running.step.done()
            else ClaimAttemptStep.NOTHING
        )
        if step is ClaimAttemptStep.RUN:
            await self._run_request(running)
            return
        # The request did not run. Either the key is free for a resent request,
        # or another claim holds the key and the waiting callers look up that
        # claim.
        del self.running_requests[running.keyed_request.key]
        self._discard_body(running)
        running.finish(_reply_not_run(step))

    async def _run_request(self, running: RunningRequest) -> None:
        keyed = running.keyed_request
        try:
            request = attrs.evolve(
                keyed.request,
                sent_ms=self.clock.now_ms(),
                remaining_ms=self._left_ms(keyed),
            )
            # Without a time-out the attempt would not end while the owner is
            # paused, and would keep the key in use.
            async with asyncio.timeout(
                (request.remaining_ms + _REPLY_GRACE_MS) / _MS_PER_S
            ):
                reply = await self.dispatch(request)
        except RequestError as error:
            reply = error_reply(0, error)
        except TimeoutError:
            reply = error_reply(0, RequestError(ErrorKind.DEADLINE_UNKNOWN))
        except Exception:
            _logger.exception("claim.run_failed")
            reply = error_reply(0, RequestError(ErrorKind.INTERNAL))
        self._on_request_ended(running, reply)

    def _on_request_ended(
        self, running: RunningRequest, reply: ForwardReply
    ) -> None:
        error = reply_error(reply)
        run_state = (
            ERROR_RESPONSES[error.kind].run_state if error else RunState.RAN
        )
        running.attempt, step = on_run_ended(running.attempt, run_state)
        if step is ClaimAttemptStep.RELEASE:
            del self.running_requests[running.keyed_request.key]
            self._release(running.attempt)
        if step is ClaimAttemptStep.COMPLETE:
            self._complete(running.attempt, reply)
        running.finish(reply)

    def _release(self, attempt: ClaimAttempt) -> None:
        self.releasing.add(attempt.claim_id)
        record = ClaimRelease(key=attempt.key, number=attempt.claim_id.number)
        self.claim_writer.add(record)

    def _complete(self, attempt: ClaimAttempt, reply: ForwardReply) -> None:
        response = None if reply.error else stored_response(reply)
        if response is not None:
            self.responses.put(attempt.key, response)
        record = completion_record(
            attempt.key,
            attempt.claim_id.number,
            reply.error,
            response,
            MAX_LOGGED_RESPONSE_BYTES,
        )
        self.claim_writer.add(record)

    def _discard_body(self, running: RunningRequest) -> None:
        # An abandoned claim is remembered without its request's body and
        # headers. Bodies can have megabytes each and would accumulate in memory
        # during an outage of the log.
        request = attrs.evolve(
            running.keyed_request.request, body=b"", headers=()
        )
        running.keyed_request = attrs.evolve(
            running.keyed_request, request=request
        )
        abandoned = [
            number
            for number, item in self.pending.items()
            if item.attempt.state is ClaimAttemptState.ABANDONED
        ]
        for number in abandoned[:-_MAX_ABANDONED_CLAIMS]:
            del self.pending[number]

    # Events of the stream and of the writer.

    def _on_claim_refused(self, entry: ClaimEntry) -> None:
        running = self.pending.get(entry.number)
        if running is not None:
            self._abandon(running)

    def on_history_lost(self) -> None:
        """Abandons every pending claim, so that its request cannot run."""
        for running in self.pending.values():
            self._abandon(running)

    def on_claim_seen(self, event: ClaimSeen) -> None:
        """Decides the next step after this node's claim was read."""
        if event.claim_id.writer != self.writer:
            return
        running = self.pending.pop(event.claim_id.number, None)
        if running is None:
            return
        running.attempt, step = on_claim_seen(
            running.attempt, event.won, self.clock.now_ms()
        )
        if step in (ClaimAttemptStep.RELEASE, ClaimAttemptStep.EXPIRED):
            self._release(running.attempt)
        running.decide(step)

    def on_claim_ended(self, event: ClaimEnded) -> None:
        """Stores the response of a claim that was completed."""
        if event.response and self.responses.get(event.key) is None:
            self.responses.put(event.key, event.response)

    def on_batch_written(self, batch: ClaimBatch) -> None:
        """Removes requests and releases whose records were read back."""
        if batch.writer != self.writer:
            return
        for completion in batch.completions:
            running = self.running_requests.get(completion.key)
            if running and running.attempt.claim_id.number == completion.number:
                del self.running_requests[completion.key]
        for release in batch.releases:
            self.releasing.discard(ClaimId(self.writer, release.number))


def _reply_not_run(step: ClaimAttemptStep) -> ForwardReply | None:
    if step is ClaimAttemptStep.LOST:
        return None
    kind = ErrorKind.CLAIM_UNAVAILABLE
    if step is ClaimAttemptStep.EXPIRED:
        kind = ErrorKind.DEADLINE_NOT_RUN
    return error_reply(0, RequestError(kind))
