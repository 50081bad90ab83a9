"""Reads the stream of one shard of claims on."""

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
# 200 full batches are some 2 MB in one answer of the log.
_PAGE_LIMIT = 200
_FIRST_RETRY_MS = 50
_MAX_RETRY_MS = 2000


class ClaimListener(Protocol):
    """Hears what the stream says."""

    def on_claim_seen(self, event: ClaimSeen) -> None:
        """Takes a claim that was read."""

    def on_claim_ended(self, event: ClaimEnded) -> None:
        """Takes the end of a claim that was read."""

    def on_batch_written(self, batch: ClaimBatch) -> None:
        """Takes a batch after its events."""

    def on_history_lost(self) -> None:
        """Records were trimmed before they were read."""


@attrs.define(eq=False)
class ClaimReader:
    """Keeps the state of a shard's stream up to date.

    Attributes:
        stream: The shard's stream.
        log: The log's client.
        clock: Tells the time.
        table: The stream's state.
        listener: Hears what was read.
        caught_up: Set while the end of the stream was read.
        changed: Replaced and set whenever records were read.
        blocked: Set when the stream holds a record that cannot be read.
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
        """Reads until it is cancelled."""
        retry_ms = _FIRST_RETRY_MS
        while True:
            try:
                await self._read_once()
                self.failing = False
                retry_ms = _FIRST_RETRY_MS
            except LogError as error:
                if error.kind is LogErrorKind.TRIMMED:
                    self._restart(error.first_offset)
                    continue
                self.failing = True
                # Full jitter, so that the readers of all shards do not meet
                # the log together when it comes back.
                pause_ms = random.uniform(0, retry_ms)
                await asyncio.sleep(pause_ms / _MS_PER_S)
                retry_ms = min(2 * retry_ms, _MAX_RETRY_MS)

    def _restart(self, first_offset: int) -> None:
        # The trimmed records may hold an earlier claim of a key that is just
        # being claimed: read without them, the later claim would seem to win
        # and its request run a second time. So no pending claim may run.
        self.listener.on_history_lost()
        self.table.reset(first_offset, self.clock.wall_ms())
        self.caught_up.clear()
        self.blocked = False

    async def _read_once(self) -> None:
        wait_ms = self.log.long_poll_ms if self.caught_up.is_set() else 0
        page = await self.log.read(
            self.stream, self.table.next_offset, _PAGE_LIMIT, wait_ms
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
            # Skipping what cannot be read could skip a claim, and its request
            # would run again; the shard takes no new key instead.
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
