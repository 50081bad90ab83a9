"""Follows the claim stream of one shard."""

import asyncio
import logging
import random
from typing import Protocol

import attrs

from pomelobank_core import ClaimEnded, ClaimSeen, ClaimTable, Clock
from pomelobank_node._log import Log, LogError, LogErrorKind
from pomelobank_schema import SchemaError, WireMessage, decode
from pomelobank_schema.generated.records import ClaimBatch

_logger = logging.getLogger(__name__)

_MS_PER_S = 1000
_KINDS: dict[int, type[WireMessage]] = {ClaimBatch.KIND: ClaimBatch}
# Maximum number of records in one read. 200 full batches make a response of
# about 2 MB.
_PAGE_RECORDS = 200
_FIRST_RETRY_MS = 50
_MAX_RETRY_MS = 2000


class ClaimListener(Protocol):
    """Receives the events of a claim stream."""

    def on_claim_seen(self, event: ClaimSeen) -> None:
        """Handles a claim that was read from the stream."""

    def on_claim_ended(self, event: ClaimEnded) -> None:
        """Handles the release or completion of a claim."""

    def on_batch_written(self, batch: ClaimBatch) -> None:
        """Handles a batch, after the events of the batch."""

    def on_history_lost(self) -> None:
        """Handles the trimming of records that were not read yet."""


@attrs.define(eq=False)
class ClaimReader:
    """Applies a shard's stream to its claim table.

    Attributes:
        stream: Name of the shard's stream.
        log: Client of the log.
        clock: The node's clock.
        table: Claims that result from the records read.
        listener: Receives the events.
        caught_up: Set once the reader has reached the end of the stream;
            cleared when unread records were trimmed.
        changed: Set and replaced by a new event whenever records were read.
        blocked: Whether the next record of the stream cannot be decoded.
        failing: Whether the last read failed.
    """

    stream: str
    log: Log
    clock: Clock
    table: ClaimTable
    listener: ClaimListener
    caught_up: asyncio.Event = attrs.field(factory=asyncio.Event)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    blocked: bool = False
    failing: bool = False

    async def run(self) -> None:
        """Reads the stream until the task is cancelled."""
        retry_ms = _FIRST_RETRY_MS
        while True:
            try:
                await self._read_once()
                self.failing = False
                retry_ms = _FIRST_RETRY_MS
            except LogError as error:
                if error.kind is LogErrorKind.TRIMMED:
                    self._reset(error.first_offset)
                    continue
                self.failing = True
                # Full jitter: without it the readers of all shards would retry
                # together when the log recovers (thundering herd).
                jittered_ms = random.uniform(0, retry_ms)
                await asyncio.sleep(jittered_ms / _MS_PER_S)
                retry_ms = min(2 * retry_ms, _MAX_RETRY_MS)

    def _reset(self, first_offset: int) -> None:
        # The trimmed records may contain an earlier claim of a key whose claim
        # is pending here. Without these records the later claim would seem to
        # win and its request would run a second time, so pending claims are
        # abandoned.
        self.listener.on_history_lost()
        self.table.reset(first_offset, self.clock.wall_ms())
        self.caught_up.clear()
        self.blocked = False

    async def _read_once(self) -> None:
        wait_ms = self.log.long_poll_ms if self.caught_up.is_set() else 0
        page = await self.log.read(
            self.stream, self.table.next_offset, _PAGE_RECORDS, wait_ms
        )
        for index, data in enumerate(page.records):
            self._apply(page.first_offset + index, data)
            if self.blocked:
                await asyncio.sleep(_MAX_RETRY_MS / _MS_PER_S)
                return
        if page.next_offset >= page.end_offset:
            self.caught_up.set()
        if page.records:
            changed, self.changed = self.changed, asyncio.Event()
            changed.set()

    def _apply(self, offset: int, data: bytes) -> None:
        try:
            batch = decode(data, _KINDS)
        except SchemaError as error:
            # If this record were skipped and contained a claim, the request of
            # that claim could run a second time. The shard therefore accepts
            # no new key until the record can be decoded.
            self.blocked = True
            _logger.error(
                "claims.unreadable_record",
                extra={"offset": offset, "error": str(error)},
            )
            return
        self.blocked = False
        assert isinstance(batch, ClaimBatch)
        for event in self.table.apply(offset, batch):
            if isinstance(event, ClaimSeen):
                self.listener.on_claim_seen(event)
            else:
                self.listener.on_claim_ended(event)
        self.listener.on_batch_written(batch)
