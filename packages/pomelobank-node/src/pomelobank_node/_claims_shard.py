"""Claims the keys of one shard and runs their requests."""

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
# An acknowledgement of an order with its headers fits; a report does not, and
# at 100 keyed requests a second the answers add at most 100 KB/s to the log.
MAX_LOGGED_ANSWER_BYTES = 1024
# The target's node answers at the deadline itself.
_GRACE_MS = 50
# Longest wait for the outcome of a claim that another node holds.
_FOREIGN_WAIT_MS = 1000
# Given-up claims whose append may still show up; past this number the oldest
# are forgotten, and their keys stay held until they leave the window.
_MAX_ABANDONED = 1000


@attrs.define(eq=False)
class ShardWorker:
    """Answers the keyed requests of one shard.

    Attributes:
        shard: Number of the shard.
        writer: Name under which this start of the node writes.
        log: The log's client.
        clock: Tells the time.
        settings: Limits.
        responses: Answers kept for resends.
        claim_numbers: Source of claim numbers.
        dispatch: Runs a request on a target.
        batcher: Decides when to append.
        table: The stream's state.
        out: Appends to the stream.
        reader: Reads it on.
        flights: Requests that this node claims or runs, by claim key.
        pending: Flights whose claim was not seen yet, by claim number.
        releasing: Own claims whose release was not seen yet.
        last_used_ms: When a request last came in.
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
    out: ClaimWriter = attrs.field(init=False)
    reader: ClaimReader = attrs.field(init=False)
    flights: dict[bytes, RunningRequest] = attrs.field(factory=dict)
    pending: dict[int, RunningRequest] = attrs.field(factory=dict)
    releasing: set[ClaimId] = attrs.field(factory=set)
    last_used_ms: int = 0
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.out = ClaimWriter(
            self.stream,
            self.writer,
            self.log,
            self.clock,
            self.settings.window_ms,
            self.table,
            self.batcher,
            self._refuse,
        )
        self.reader = ClaimReader(
            self.stream, self.log, self.clock, self.table, self
        )

    @property
    def stream(self) -> str:
        """Name of the shard's stream."""
        return f"claims-{self.shard}"

    def start(self) -> None:
        """Starts reading and appending."""
        self._spawn(self.reader.run(), "read")
        self._spawn(self.out.run(), "append")

    def _spawn(self, work: Awaitable[None], name: str) -> None:
        async def run() -> None:
            await work

        task = asyncio.create_task(run(), name=f"{self.stream}-{name}")
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def stop(self) -> None:
        """Ends every task."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def running(self) -> bool:
        """Whether a request is being claimed or run."""
        return any(not item.reply.done() for item in self.flights.values())

    @property
    def idle(self) -> bool:
        """Whether nothing is under way or waits to be appended."""
        return not self.flights and self.out.idle

    # Requests.

    async def serve(self, keyed: KeyedRequest) -> ForwardReply:
        """Answers a keyed request; it runs here once or not at all.

        Args:
            keyed: The request.

        Returns:
            The target's answer, of this or an earlier sending.

        Raises:
            RequestError: If it was not run or nobody knows.
        """
        self.last_used_ms = self.clock.now_ms()
        await self._catch_up(keyed)
        while True:
            flight = self.flights.get(keyed.key)
            if flight is None:
                claim = self.table.find(keyed.key, self.clock.wall_ms())
                if claim is not None and claim.claim_id not in self.releasing:
                    return await self._held_elsewhere(keyed, claim)
                flight = self._begin(keyed)
            elif flight.keyed.digest != keyed.digest:
                raise RequestError(ErrorKind.KEY_MISMATCH)
            reply = await self._wait_for(flight, keyed)
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

    async def _held_elsewhere(
        self, keyed: KeyedRequest, claim: Claim
    ) -> ForwardReply:
        if claim.request_digest != keyed.digest:
            raise RequestError(ErrorKind.KEY_MISMATCH)
        if claim.status is ClaimStatus.HELD:
            found = await self._await_holder(keyed, claim)
            if found is None:
                return await self.serve(keyed)
            claim = found
        if claim.status is ClaimStatus.ANSWERED:
            answer = self.responses.get(keyed.key)
            if answer is None:
                raise RequestError(ErrorKind.CLAIM_ANSWERED)
            return replayed_reply(answer)
        if claim.status is ClaimStatus.UNKNOWN:
            raise RequestError(ErrorKind.CLAIM_UNKNOWN)
        if self._may_still_end(claim):
            raise RequestError(ErrorKind.KEY_IN_USE)
        raise RequestError(ErrorKind.CLAIM_UNKNOWN)

    def _may_still_end(self, claim: Claim) -> bool:
        return self.clock.wall_ms() < claim.deadline_ms

    async def _await_holder(
        self, keyed: KeyedRequest, claim: Claim
    ) -> Claim | None:
        # The holder may be about to write its outcome; after that it is dead,
        # paused or cut off, and the caller is better told so than kept.
        until_ms = self.clock.now_ms() + min(
            _FOREIGN_WAIT_MS, self._left_ms(keyed)
        )
        current: Claim | None = claim
        while current == claim and self._may_still_end(claim):
            wait_ms = until_ms - self.clock.now_ms()
            if wait_ms <= 0:
                break
            await wait_event(self.reader.changed, wait_ms)
            current = self.table.find(keyed.key, self.clock.wall_ms())
        return current

    async def _wait_for(
        self, flight: RunningRequest, keyed: KeyedRequest
    ) -> ForwardReply | None:
        flight.waiters += 1
        try:
            wait_s = self._left_ms(keyed) / _MS_PER_S
            done, _ = await asyncio.wait({flight.reply}, timeout=wait_s)
        finally:
            flight.waiters -= 1
            if not flight.waiters and not flight.reply.done():
                self._give_up(flight)
        if done:
            return flight.reply.result()
        if flight.attempt.state is ClaimAttemptState.RUNNING:
            raise RequestError(ErrorKind.DEADLINE_UNKNOWN)
        raise RequestError(ErrorKind.DEADLINE_NOT_RUN)

    def _give_up(self, flight: RunningRequest) -> None:
        flight.attempt = abandon(flight.attempt)
        if flight.attempt.state is ClaimAttemptState.ABANDONED:
            flight.decide(ClaimAttemptStep.NOTHING)

    # One attempt.

    def _begin(self, keyed: KeyedRequest) -> RunningRequest:
        self._check_room()
        number = next(self.claim_numbers)
        attempt = ClaimAttempt(
            ClaimId(self.writer, number), keyed.key, keyed.deadline_ms
        )
        patience_ms = min(self.settings.claim_timeout_ms, self._left_ms(keyed))
        entry = ClaimEntry(
            key=keyed.key,
            number=number,
            request=keyed.digest,
            remaining_ms=self._left_ms(keyed),
        )
        self.out.claim(entry, patience_ms)
        flight = RunningRequest(keyed, attempt)
        self.flights[keyed.key] = flight
        self.pending[number] = flight
        self._spawn(self._fly(flight, patience_ms), f"claim-{number}")
        return flight

    def _check_room(self) -> None:
        if self.reader.blocked or self.reader.failing:
            raise RequestError(ErrorKind.CLAIM_UNAVAILABLE)
        wall_ms = self.clock.wall_ms()
        wait_ms = max(
            self.table.window_wait_ms(wall_ms),
            self.table.capacity_wait_ms(wall_ms, self.settings.keys_per_shard),
        )
        if wait_ms:
            raise RequestError(ErrorKind.CLAIM_UNAVAILABLE, wait_ms)

    async def _fly(self, flight: RunningRequest, patience_ms: int) -> None:
        await asyncio.wait({flight.step}, timeout=patience_ms / _MS_PER_S)
        self._give_up(flight)
        step = (
            flight.step.result()
            if flight.step.done()
            else ClaimAttemptStep.NOTHING
        )
        if step is ClaimAttemptStep.RUN:
            await self._run(flight)
            return
        # The key is free for the next sending, or held by another claim that
        # the waiting callers look up.
        del self.flights[flight.keyed.key]
        self._forget_body(flight)
        flight.finish(_unrun_reply(step))

    async def _run(self, flight: RunningRequest) -> None:
        keyed = flight.keyed
        try:
            request = attrs.evolve(
                keyed.request,
                sent_ms=self.clock.now_ms(),
                remaining_ms=self._left_ms(keyed),
            )
            # A target's node that is paused would keep the key for good.
            async with asyncio.timeout(
                (request.remaining_ms + _GRACE_MS) / _MS_PER_S
            ):
                reply = await self.dispatch(request)
        except RequestError as error:
            reply = error_reply(0, error)
        except TimeoutError:
            reply = error_reply(0, RequestError(ErrorKind.DEADLINE_UNKNOWN))
        except Exception:
            _logger.exception("claim.run_failed")
            reply = error_reply(0, RequestError(ErrorKind.INTERNAL))
        self._ran(flight, reply)

    def _ran(self, flight: RunningRequest, reply: ForwardReply) -> None:
        error = reply_error(reply)
        run_state = (
            ERROR_RESPONSES[error.kind].run_state if error else RunState.RAN
        )
        flight.attempt, step = on_run_ended(flight.attempt, run_state)
        if step is ClaimAttemptStep.RELEASE:
            del self.flights[flight.keyed.key]
            self._release(flight.attempt)
        if step is ClaimAttemptStep.COMPLETE:
            self._complete(flight.attempt, reply)
        flight.finish(reply)

    def _release(self, attempt: ClaimAttempt) -> None:
        self.releasing.add(attempt.claim_id)
        record = ClaimRelease(key=attempt.key, number=attempt.claim_id.number)
        self.out.add(record)

    def _complete(self, attempt: ClaimAttempt, reply: ForwardReply) -> None:
        answer = None if reply.error else stored_response(reply)
        if answer is not None:
            self.responses.put(attempt.key, answer)
        record = completion_record(
            attempt.key,
            attempt.claim_id.number,
            reply.error,
            answer,
            MAX_LOGGED_ANSWER_BYTES,
        )
        self.out.add(record)

    def _forget_body(self, flight: RunningRequest) -> None:
        # A claim that was given up is waited for without its request: bodies
        # of megabytes would pile up while the log is down.
        request = attrs.evolve(flight.keyed.request, body=b"", headers=())
        flight.keyed = attrs.evolve(flight.keyed, request=request)
        abandoned = [
            number
            for number, item in self.pending.items()
            if item.attempt.state is ClaimAttemptState.ABANDONED
        ]
        for number in abandoned[:-_MAX_ABANDONED]:
            del self.pending[number]

    # What became of claims.

    def _refuse(self, entry: ClaimEntry) -> None:
        flight = self.pending.get(entry.number)
        if flight is not None:
            self._give_up(flight)

    def on_history_lost(self) -> None:
        """Lets no pending claim run."""
        for flight in self.pending.values():
            self._give_up(flight)

    def on_claim_seen(self, event: ClaimSeen) -> None:
        """Takes a claim that was read."""
        if event.claim_id.writer != self.writer:
            return
        flight = self.pending.pop(event.claim_id.number, None)
        if flight is None:
            return
        flight.attempt, step = on_claim_seen(
            flight.attempt, event.won, self.clock.now_ms()
        )
        if step in (ClaimAttemptStep.RELEASE, ClaimAttemptStep.EXPIRED):
            self._release(flight.attempt)
        flight.decide(step)

    def on_claim_ended(self, event: ClaimEnded) -> None:
        """Keeps the answer of a claim that has ended."""
        if event.response and self.responses.get(event.key) is None:
            self.responses.put(event.key, event.response)

    def on_batch_written(self, batch: ClaimBatch) -> None:
        """Forgets what has been written for good."""
        if batch.writer != self.writer:
            return
        for completion in batch.completions:
            flight = self.flights.get(completion.key)
            if flight and flight.attempt.claim_id.number == completion.number:
                del self.flights[completion.key]
        for release in batch.releases:
            self.releasing.discard(ClaimId(self.writer, release.number))


def _unrun_reply(step: ClaimAttemptStep) -> ForwardReply | None:
    if step is ClaimAttemptStep.LOST:
        return None
    kind = ErrorKind.CLAIM_UNAVAILABLE
    if step is ClaimAttemptStep.EXPIRED:
        kind = ErrorKind.DEADLINE_NOT_RUN
    return error_reply(0, RequestError(kind))
