"""The append-only log as the node's parts see it."""

import enum
from typing import Protocol

import attrs

CONFIG_STREAM = "config"
DEPARTURES_STREAM = "departures"
MEMBERS_STREAM = "members"


class LogErrorKind(enum.Enum):
    """How a call to the log failed.

    Attributes:
        REJECTED: The log said that it did nothing.
        UNKNOWN: No answer came; an append may have taken effect.
        TRIMMED: The records asked for are no longer kept.
    """

    REJECTED = "refused"
    UNKNOWN = "unknown"
    TRIMMED = "trimmed"


@attrs.frozen
class LogError(Exception):
    """A failed call to the log.

    Attributes:
        kind: How it failed.
        message: What happened.
        first_offset: First offset that is still kept, where `kind` is TRIMMED.
    """

    kind: LogErrorKind
    message: str
    first_offset: int = 0


@attrs.frozen
class LogPage:
    """Records that follow each other in a stream.

    Attributes:
        first_offset: Offset of the first record.
        records: The records' bytes.
        end_offset: Offset that the next append will get.
    """

    first_offset: int
    records: tuple[bytes, ...]
    end_offset: int

    @property
    def next_offset(self) -> int:
        """Offset that follows the last record of the page."""
        return self.first_offset + len(self.records)


class Log(Protocol):
    """Appends to and reads from streams of the log.

    Attributes:
        long_poll_ms: Longest time that one read waits for new records.
        reads: Reads sent, for the metrics.
        appends: Appends sent, for the metrics.
    """

    long_poll_ms: int
    reads: int
    appends: int

    async def append(self, stream: str, record: bytes) -> int:
        """Appends one record and returns its offset.

        Raises:
            LogError: REJECTED where it was not appended for certain, UNKNOWN
                where it may have been.
        """

    async def read(
        self, stream: str, offset: int, limit: int, wait_ms: int
    ) -> LogPage:
        """Reads records from an offset on.

        Args:
            stream: Name of the stream.
            offset: First offset wanted; one past the end tells the end.
            limit: Most records wanted.
            wait_ms: How long the log may hold the answer back while there is
                no record yet.

        Returns:
            The page, empty where no record came in time.

        Raises:
            LogError: TRIMMED where the offset is no longer kept.
        """


async def read_retained(
    log: Log, stream: str, offset: int, limit: int, wait_ms: int = 0
) -> LogPage:
    """Reads from an offset on, or from the oldest record that is kept.

    Args:
        log: The log.
        stream: Name of the stream.
        offset: First offset wanted.
        limit: Most records wanted.
        wait_ms: How long the log may hold the answer back while there is no
            record yet.

    Raises:
        LogError: If the log does not answer.
    """
    try:
        return await log.read(stream, offset, limit, wait_ms)
    except LogError as error:
        if error.kind is not LogErrorKind.TRIMMED:
            raise
        return await log.read(stream, error.first_offset, limit, 0)
