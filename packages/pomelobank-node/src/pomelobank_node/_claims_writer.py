"""Appends claims, releases and completions to the stream of one shard."""

import asyncio
import logging
from collections.abc import Callable

import attrs
from returns.result import Failure

from pomelobank_core import ClaimBatcher, ClaimTable, Clock, ErrorKind
from pomelobank_node._log import Log, LogError, LogErrorKind
from pomelobank_node._requests import RequestError
from pomelobank_schema import encode
from pomelobank_schema.generated.records import (
    ClaimBatch,
    ClaimCompletion,
    ClaimEntry,
    ClaimRelease,
)

_logger = logging.getLogger(__name__)

_MS_PER_S = 1000

BatchItem = ClaimEntry | ClaimRelease | ClaimCompletion


@attrs.define(eq=False)
class ClaimWriter:
    """Collects items and appends them to the stream in batches.

    Attributes:
        stream: Name of the shard's stream.
        writer: Name of this process in claim records.
        log: Client of the log.
        clock: The node's clock.
        window_ms: Time for which a key stays claimed.
        table: Claims that result from the records read.
        batcher: Decides when to append.
        on_rejected: Called with each claim that was certainly not appended.
        work: Set when an item was added.
    """

    stream: str
    writer: str
    log: Log
    clock: Clock
    window_ms: int
    table: ClaimTable
    batcher: ClaimBatcher[BatchItem]
    on_rejected: Callable[[ClaimEntry], None]
    work: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def idle(self) -> bool:
        """Whether no item waits to be appended and no append is in flight."""
        batcher = self.batcher
        return not (batcher.urgent or batcher.deferred or batcher.appending)

    def claim(self, entry: ClaimEntry, max_wait_ms: int) -> None:
        """Adds a claim.

        Args:
            entry: The claim.
            max_wait_ms: Maximum time that the request can wait for the append.

        Raises:
            RequestError: CLAIM_UNAVAILABLE if the append is expected to take
                longer, or if appends are paused after a failure.
        """
        offered = self.batcher.offer(entry, self.clock.now_ms(), max_wait_ms)
        if isinstance(offered, Failure):
            raise RequestError(
                ErrorKind.CLAIM_UNAVAILABLE, max(1, offered.failure())
            )
        self.work.set()

    def add(self, item: ClaimRelease | ClaimCompletion) -> None:
        """Adds an item that no caller waits for."""
        self.batcher.defer(item, self.clock.now_ms())
        self.work.set()

    async def run(self) -> None:
        """Appends batches until the task is cancelled."""
        while True:
            wait_ms = self.batcher.wait_ms(self.clock.now_ms())
            if wait_ms == 0:
                await self._append()
                continue
            self.work.clear()
            await wait_event(self.work, wait_ms)

    async def _append(self) -> None:
        began_ms = self.clock.now_ms()
        items = self.batcher.next_batch(began_ms)
        batch = self._batch(items)
        try:
            await self.log.append(self.stream, encode(batch))
        except LogError as error:
            self._append_failed(items, error)
            return
        self.batcher.on_appended(began_ms, self.clock.now_ms())

    def _batch(self, items: list[BatchItem]) -> ClaimBatch:
        return ClaimBatch(
            writer=self.writer,
            at_ms=max(self.clock.wall_ms(), self.table.stream_time_ms),
            previous_at_ms=self.table.stream_time_ms,
            seen_offset=self.table.next_offset,
            window_ms=self.window_ms,
            releases=tuple(i for i in items if isinstance(i, ClaimRelease)),
            completions=tuple(
                i for i in items if isinstance(i, ClaimCompletion)
            ),
            claims=tuple(i for i in items if isinstance(i, ClaimEntry)),
        )

    def _append_failed(self, items: list[BatchItem], error: LogError) -> None:
        _logger.warning(
            "claims.append_failed",
            extra={"stream": self.stream, "error": str(error)},
        )
        # A claim is never appended again. The failed append may still take
        # effect, and if the claim were repeated after its release, the claim
        # would hold the key without a request until the key's window ends.
        # Releases and completions are idempotent and may be repeated.
        repeatable = [i for i in items if not isinstance(i, ClaimEntry)]
        refused = self.batcher.on_append_failed(self.clock.now_ms(), repeatable)
        if error.kind is LogErrorKind.REJECTED:
            refused += [i for i in items if isinstance(i, ClaimEntry)]
        for item in refused:
            if isinstance(item, ClaimEntry):
                self.on_rejected(item)


async def wait_event(event: asyncio.Event, wait_ms: int | None) -> None:
    """Waits for an event until a time-out.

    Args:
        event: The event.
        wait_ms: Maximum wait; None for no limit.
    """
    timeout = None if wait_ms is None else wait_ms / _MS_PER_S
    try:
        async with asyncio.timeout(timeout):
            await event.wait()
    except TimeoutError:
        return
