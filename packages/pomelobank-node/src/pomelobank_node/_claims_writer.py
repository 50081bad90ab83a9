"""Appends the claims of one shard to its stream."""

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
    """Gathers what is to be written and appends it in batches.

    Attributes:
        stream: The shard's stream.
        writer: Name under which this start of the node writes.
        log: The log's client.
        clock: Tells the time.
        window_ms: How long a key is remembered.
        table: The stream's state.
        batcher: Decides when to append.
        on_refused: Called with each claim that was not appended for certain.
        work: Set when something was added.
    """

    stream: str
    writer: str
    log: Log
    clock: Clock
    window_ms: int
    table: ClaimTable
    batcher: ClaimBatcher[BatchItem]
    on_refused: Callable[[ClaimEntry], None]
    work: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def idle(self) -> bool:
        """Whether nothing waits to be appended."""
        batcher = self.batcher
        return not (batcher.urgent or batcher.deferred or batcher.appending)

    def claim(self, entry: ClaimEntry, patience_ms: int) -> None:
        """Adds a claim.

        Args:
            entry: The claim.
            patience_ms: How long its request can wait for it.

        Raises:
            RequestError: CLAIM_UNAVAILABLE where it would take longer.
        """
        offered = self.batcher.offer(entry, self.clock.now_ms(), patience_ms)
        if isinstance(offered, Failure):
            raise RequestError(
                ErrorKind.CLAIM_UNAVAILABLE, max(1, offered.failure())
            )
        self.work.set()

    def add(self, item: ClaimRelease | ClaimCompletion) -> None:
        """Adds what may wait for the next batch."""
        self.batcher.defer(item, self.clock.now_ms())
        self.work.set()

    async def run(self) -> None:
        """Appends batches until it is cancelled."""
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
        # A claim is never appended again: the first append may still take
        # effect, and a second one of the same claim after its release would
        # hold the key for good. Releases and completions may be repeated.
        again = [i for i in items if not isinstance(i, ClaimEntry)]
        refused = self.batcher.on_append_failed(self.clock.now_ms(), again)
        if error.kind is LogErrorKind.REJECTED:
            refused += [i for i in items if isinstance(i, ClaimEntry)]
        for item in refused:
            if isinstance(item, ClaimEntry):
                self.on_refused(item)


async def wait_event(event: asyncio.Event, wait_ms: int | None) -> None:
    """Waits for an event, for so long at most; None for any time."""
    timeout = None if wait_ms is None else wait_ms / _MS_PER_S
    try:
        async with asyncio.timeout(timeout):
            await event.wait()
    except TimeoutError:
        return
