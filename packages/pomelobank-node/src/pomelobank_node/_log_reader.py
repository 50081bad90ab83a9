"""Reads the configuration stream of the log into the store."""

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

MAX_PAGE_RECORDS = 500
# Number of records that are applied between two yields to the event loop.
# Applying a record takes up to 1 ms in a large configuration, so a long replay
# without yields would delay the node's requests.
RECORDS_PER_YIELD = 4


@attrs.define
class LogReader:
    """Advances the store with records read from the log.

    Attributes:
        log: Client of the log.
        store: The configuration store that the reader advances.
        end_offset: End of the log at the last read.
        behind: Whether the log has trimmed records that this node never read
            and no snapshot has replaced them yet.
        recoveries: Number of times the node restored a snapshot from the log,
            for the metrics.
    """

    log: Log
    store: ConfigStore
    end_offset: int = 0
    behind: bool = False
    recoveries: int = 0

    async def read(self, wait_ms: int) -> None:
        """Reads one page and applies its records.

        Args:
            wait_ms: Time in ms that the log may hold back an empty response.

        Raises:
            LogError: If the log did not answer. Trimmed records raise no
                error: the newest snapshot replaces them.
        """
        version = self.store.version
        try:
            page = await self.log.read(
                CONFIG_STREAM, version, MAX_PAGE_RECORDS, wait_ms
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
        """Reads until the node has every record up to the log's end.

        The end is the one that the last read returned.

        Raises:
            LogError: If the log did not answer or a read brought no progress.
        """
        while True:
            before = self.store.version
            await self.read(0)
            if self.store.version >= self.end_offset:
                return
            if self.store.version == before:
                raise LogError(
                    LogErrorKind.TRIMMED,
                    f"the configuration is at version {before} and cannot reach"
                    f" the log's end at offset {self.end_offset}",
                )

    async def apply(self, first_offset: int, batch: tuple[bytes, ...]) -> None:
        """Applies records, yielding to the event loop every few records."""
        for index, data in enumerate(batch):
            self.store.apply(first_offset + index, data)
            if index % RECORDS_PER_YIELD == RECORDS_PER_YIELD - 1:
                await asyncio.sleep(0)

    async def _recover(self, first_retained: int) -> None:
        # The node was partitioned off or stopped for longer than the log keeps
        # records. It continues to serve its version, searches the retained
        # records for a snapshot and replays the records after the snapshot.
        self.behind = True
        retained: list[bytes] = []
        while True:
            page = await self._read_page(first_retained + len(retained))
            for data in page.records:
                retained.append(data)
                if self._restore_from(data, first_retained, len(retained) - 1):
                    start = self.store.version - first_retained
                    await self.apply(
                        self.store.version, tuple(retained[start:])
                    )
                    return
            if not page.records:
                _logger.error(
                    "config.records_missing", extra={"first": first_retained}
                )
                return

    async def _read_page(self, offset: int) -> LogPage:
        page = await self.log.read(CONFIG_STREAM, offset, MAX_PAGE_RECORDS, 0)
        self.end_offset = page.end_offset
        return page

    def _restore_from(
        self, data: bytes, first_retained: int, index: int
    ) -> bool:
        try:
            record = decode(data, records.KINDS)
        except SchemaError:
            return False
        if not isinstance(record, SnapshotRecord):
            return False
        offset = first_retained + index
        recovery_point = usable_snapshot(
            record, offset, first_retained, self.store.version
        )
        if recovery_point is None or not self.store.restore(record):
            return False
        self.behind = False
        self.recoveries += 1
        _logger.warning(
            "config.recovered", extra={"as_of": record.as_of, "offset": offset}
        )
        return True
