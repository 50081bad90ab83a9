"""HTTP client of the platform's append-only log service."""

import aiohttp
import attrs
import msgpack

from pomelobank_node._log import (
    LogError,
    LogErrorKind,
    LogPage,
    read_all_retained,
)
from pomelobank_node._log_era import LogEra
from pomelobank_schema.generated.settings import LogSettings

_MS_PER_S = 1000
_HTTP_OK = 200
_HTTP_GONE = 410
_HTTP_UNAVAILABLE = 503


@attrs.define
class LogClient:
    """Appends to and reads from streams of the log.

    Attributes:
        settings: The log's address and time-outs.
        reads: Number of reads sent, for the metrics.
        appends: Number of appends sent, for the metrics.
        bytes_read: Bytes in responses to reads, for the metrics.
        session: The HTTP session; None before `start`.
        era: The log's era, which does not change: the service loses no record
            that it has acknowledged.
        long_poll_ms: Maximum time in ms that one read waits for new records.
    """

    settings: LogSettings
    era: LogEra = attrs.field(factory=LogEra)
    reads: int = 0
    appends: int = 0
    bytes_read: int = 0
    session: aiohttp.ClientSession | None = None
    long_poll_ms: int = attrs.field(init=False)

    @long_poll_ms.default
    def _default_long_poll_ms(self) -> int:
        return self.settings.long_poll_ms

    async def start(self) -> None:
        """Opens the HTTP session."""
        self.session = aiohttp.ClientSession()

    async def stop(self) -> None:
        """Closes the HTTP session."""
        if self.session is not None:
            await self.session.close()

    async def append(self, stream: str, record: bytes) -> int:
        """Appends one record.

        Args:
            stream: Name of the stream.
            record: The record's bytes.

        Returns:
            The record's offset.

        Raises:
            LogError: REJECTED if the record was certainly not appended, UNKNOWN
                if it may have been.
        """
        self.appends += 1
        status, body = await self._call("POST", stream, {}, record, 0)
        if status != _HTTP_OK:
            raise LogError(
                _error_kind(status), f"append to {stream}: HTTP status {status}"
            )
        return int(msgpack.unpackb(body)["offset"])

    async def read(
        self, stream: str, offset: int, limit: int, wait_ms: int
    ) -> LogPage:
        """Reads records from an offset on.

        Args:
            stream: Name of the stream.
            offset: First offset to read.
            limit: Maximum number of records.
            wait_ms: Time in ms that the log may hold back its response while
                there is no record to return.

        Returns:
            The page; empty if no record arrived in time.

        Raises:
            LogError: TRIMMED if the log no longer keeps the offset; REJECTED
                or UNKNOWN if the call failed.
        """
        self.reads += 1
        query = {
            "from": str(offset),
            "limit": str(limit),
            "wait_ms": str(wait_ms),
        }
        status, body = await self._call("GET", stream, query, None, wait_ms)
        self.bytes_read += len(body)
        if status == _HTTP_GONE:
            first = int(msgpack.unpackb(body)["first"])
            raise LogError(
                LogErrorKind.TRIMMED,
                f"records of {stream} before offset {first} were trimmed",
                first,
            )
        if status != _HTTP_OK:
            raise LogError(
                _error_kind(status),
                f"read of {stream} at offset {offset}: HTTP status {status}",
            )
        page = msgpack.unpackb(body)
        return LogPage(page["first"], tuple(page["records"]), page["end"])

    async def put_keyed(self, stream: str, key: str, record: bytes) -> None:
        """Appends the record; the service has no records by key.

        Raises:
            LogError: As for `append`.
        """
        await self.append(stream, record)

    async def drop_keyed(self, stream: str, key: str) -> None:
        """Does nothing: the service drops records after its retention time."""

    async def read_keyed(self, stream: str) -> list[bytes]:
        """Reads all records of a stream that the service keeps.

        Raises:
            LogError: REJECTED or UNKNOWN if a call failed.
        """
        return await read_all_retained(self, stream)

    async def _call(
        self,
        method: str,
        stream: str,
        query: dict[str, str],
        data: bytes | None,
        wait_ms: int,
    ) -> tuple[int, bytes]:
        assert self.session is not None, "LogClient.start was not called"
        url = f"http://{self.settings.address}/v1/streams/{stream}/records"
        total_ms = self.settings.timeout_ms + wait_ms
        timeout = aiohttp.ClientTimeout(total=total_ms / _MS_PER_S)
        try:
            async with self.session.request(
                method, url, params=query, data=data, timeout=timeout
            ) as response:
                return response.status, await response.read()
        except aiohttp.ClientConnectorError as error:
            raise LogError(LogErrorKind.REJECTED, str(error)) from error
        except (TimeoutError, aiohttp.ClientError) as error:
            raise LogError(
                LogErrorKind.UNKNOWN, f"{type(error).__name__}: {error}"
            ) from error


def _error_kind(status: int) -> LogErrorKind:
    if status == _HTTP_UNAVAILABLE:
        return LogErrorKind.REJECTED
    return LogErrorKind.UNKNOWN
