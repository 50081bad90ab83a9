"""Interface of the append-only log service."""

import enum
from typing import Protocol

import attrs

from pomelobank_node._log_era import LogEra

CONFIG_STREAM = "config"
DEPARTURES_STREAM = "departures"
MEMBERS_STREAM = "members"
_PAGE_RECORDS = 1000


class LogErrorKind(enum.Enum):
    """How a call to the log failed.

    Attributes:
        REJECTED: The call certainly had no effect.
        UNKNOWN: No valid answer came; an append may have taken effect.
        TRIMMED: The log no longer keeps the requested records.
    """

    REJECTED = "refused"
    UNKNOWN = "unknown"
    TRIMMED = "trimmed"


@attrs.frozen
class LogError(Exception):
    """A failed call to the log.

    Attributes:
        kind: How the call failed.
        message: Details of the failure.
        first_offset: First offset that the log still keeps, where `kind` is
            TRIMMED.
    """

    kind: LogErrorKind
    message: str
    first_offset: int = 0


@attrs.frozen
class LogPage:
    """Consecutive records of a stream.

    Attributes:
        first_offset: Offset of the first record.
        records: The records' bytes.
        end_offset: Offset that the log will give to the next append.
    """

    first_offset: int
    records: tuple[bytes, ...]
    end_offset: int

    @property
    def next_offset(self) -> int:
        """Offset after the last record of the page."""
        return self.first_offset + len(self.records)


class Log(Protocol):
    """Appends to and reads from streams of the log.

    Attributes:
        era: The log's era.
        long_poll_ms: Maximum time in ms that one read waits for new records.
        reads: Reads sent, for the metrics.
        appends: Appends sent, for the metrics.
    """

    era: LogEra
    long_poll_ms: int
    reads: int
    appends: int

    async def append(self, stream: str, record: bytes) -> int:
        """Appends one record and returns its offset.

        Raises:
            LogError: REJECTED if the record was certainly not appended, UNKNOWN
                if it may have been.
        """

    async def read(
        self, stream: str, offset: int, limit: int, wait_ms: int
    ) -> LogPage:
        """Reads records from an offset on.

        Args:
            stream: Name of the stream.
            offset: First offset to read; an offset past the end returns
                an empty page with the end.
            limit: Maximum number of records.
            wait_ms: Time in ms that the log may hold back its response while
                there is no record to return.

        Returns:
            The page; empty if no record arrived in time.

        Raises:
            LogError: TRIMMED if the log no longer keeps the offset; REJECTED
                or UNKNOWN if the call failed.
        """

    async def put_keyed(self, stream: str, key: str, record: bytes) -> None:
        """Stores the newest record of a key.

        The newest record of each key outlives the retention time of other
        records where the log supports that.

        Raises:
            LogError: REJECTED if the record was certainly not stored, UNKNOWN
                if it may have been.
        """

    async def drop_keyed(self, stream: str, key: str) -> None:
        """Drops a key, as far as the log supports that.

        Raises:
            LogError: If the call failed.
        """

    async def read_keyed(self, stream: str) -> list[bytes]:
        """Reads at least the newest record of each key.

        Raises:
            LogError: If a call failed.
        """


async def read_retained(
    log: Log, stream: str, offset: int, limit: int, wait_ms: int = 0
) -> LogPage:
    """Reads from an offset on, else from the oldest record that is kept.

    Args:
        log: Client of the log.
        stream: Name of the stream.
        offset: First offset to read.
        limit: Maximum number of records.
        wait_ms: Time in ms that the log may hold back its response while there
            is no record to return.

    Raises:
        LogError: If the log does not answer.
    """
    try:
        return await log.read(stream, offset, limit, wait_ms)
    except LogError as error:
        if error.kind is not LogErrorKind.TRIMMED:
            raise
        return await log.read(stream, error.first_offset, limit, 0)


async def read_all_retained(log: Log, stream: str) -> list[bytes]:
    """Reads all records of a stream that the log keeps.

    Raises:
        LogError: If the log does not answer.
    """
    records: list[bytes] = []
    offset = 0
    while True:
        page = await read_retained(log, stream, offset, _PAGE_RECORDS)
        records += page.records
        offset = page.next_offset
        if not page.records or offset >= page.end_offset:
            return records
