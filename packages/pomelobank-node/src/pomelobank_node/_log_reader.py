"""Reads the configuration stream into the store, over gaps too."""

import asyncio
import logging

import attrs

from pomelobank_core import usable_snapshot
from pomelobank_node._config_store import ConfigStore
from pomelobank_node._log import (
    CONFIG_STREAM,
    Log,
    LogError,
    LogErrorKind,
    LogPage,
)
from pomelobank_schema import SchemaError, decode
from pomelobank_schema.generated import records
from pomelobank_schema.generated.records import SnapshotRecord

_logger = logging.getLogger(__name__)

PAGE_LIMIT = 500
# Replaying a record takes up to a millisecond in a large configuration; the
# node's requests get a turn after each few, so that a long replay does not
# hold them up.
RECORDS_PER_TURN = 4


@attrs.define
class LogReader:
    """Brings the store forward from the log.

    Attributes:
        log: The log's client.
        store: What is brought forward.
        end_offset: End of the log at the last read.
        behind: Whether records were trimmed that this node never read and no
            snapshot has helped yet.
        recoveries: Times the node started again from a snapshot in the log,
            for the metrics.
    """

    log: Log
    store: ConfigStore
    end_offset: int = 0
    behind: bool = False
    recoveries: int = 0

    async def read(self, wait_ms: int) -> None:
        """Reads once and applies what came.

        Args:
            wait_ms: How long the log may hold back an empty answer.

        Raises:
            LogError: If the log did not answer. Records that were trimmed
                are no error: the newest snapshot takes their place.
        """
        version = self.store.version
        try:
            page = await self.log.read(
                CONFIG_STREAM, version, PAGE_LIMIT, wait_ms
            )
        except LogError as error:
            if error.kind is not LogErrorKind.TRIMMED:
                raise
            await self._recover(error.first_offset)
            return
        self.end_offset = page.end_offset
        self.behind = False
        await self.apply(page.first_offset, page.records)

    async def read_to_end(self) -> None:
        """Reads until the node has all that the log had at the last read.

        Raises:
            LogError: If the log did not answer, or the node cannot get on.
        """
        while True:
            before = self.store.version
            await self.read(0)
            if self.store.version >= self.end_offset:
                return
            if self.store.version == before:
                raise LogError(LogErrorKind.TRIMMED, "no way to the log's end")

    async def apply(self, first_offset: int, items: tuple[bytes, ...]) -> None:
        """Applies records in turns with the node's other work."""
        for index, data in enumerate(items):
            self.store.apply(first_offset + index, data)
            if index % RECORDS_PER_TURN == RECORDS_PER_TURN - 1:
                await asyncio.sleep(0)

    async def _recover(self, first_kept: int) -> None:
        # The node was cut off or stopped for longer than the log keeps
        # records. It goes on serving its version, looks for a snapshot among
        # the records that are left and replays what follows that.
        self.behind = True
        kept: list[bytes] = []
        while True:
            page = await self._page(first_kept + len(kept))
            for data in page.records:
                kept.append(data)
                if self._restore(data, first_kept, len(kept) - 1):
                    start = self.store.version - first_kept
                    await self.apply(self.store.version, tuple(kept[start:]))
                    return
            if not page.records:
                _logger.error(
                    "config.records_missing", extra={"first": first_kept}
                )
                return

    async def _page(self, offset: int) -> LogPage:
        page = await self.log.read(CONFIG_STREAM, offset, PAGE_LIMIT, 0)
        self.end_offset = page.end_offset
        return page

    def _restore(self, data: bytes, first_kept: int, index: int) -> bool:
        try:
            record = decode(data, records.KINDS)
        except SchemaError:
            return False
        if not isinstance(record, SnapshotRecord):
            return False
        offset = first_kept + index
        found = usable_snapshot(record, offset, first_kept, self.store.version)
        if found is None or not self.store.restore(record):
            return False
        self.behind = False
        self.recoveries += 1
        _logger.warning(
            "config.recovered", extra={"as_of": record.as_of, "offset": offset}
        )
        return True
