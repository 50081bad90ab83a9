"""Client of the platform's append-only log."""

import aiohttp
import attrs
import msgpack

from pomelobank_node._log import LogError, LogErrorKind, LogPage
from pomelobank_schema.generated.settings import LogSettings

_MS_PER_S = 1000
_HTTP_OK = 200
_HTTP_GONE = 410
_HTTP_UNAVAILABLE = 503


@attrs.define
class LogClient:
    """Appends to and reads from streams of the log.

    Attributes:
        settings: Address and time-outs.
        reads: Number of reads sent, for the metrics.
        appends: Number of appends sent, for the metrics.
        bytes_read: Bytes of answers to reads, for the metrics.
    """

    settings: LogSettings
    reads: int = 0
    appends: int = 0
    bytes_read: int = 0
    session: aiohttp.ClientSession | None = None
    long_poll_ms: int = attrs.field(init=False)

    @long_poll_ms.default
    def _of_settings(self) -> int:
        return self.settings.long_poll_ms

    async def start(self) -> None:
        """Opens the client's session."""
        self.session = aiohttp.ClientSession()

    async def stop(self) -> None:
        """Closes the client's session."""
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
            LogError: REJECTED where it was not appended for certain, UNKNOWN
                where it may have been.
        """
        self.appends += 1
        status, body = await self._call("POST", stream, {}, record, 0)
        if status != _HTTP_OK:
            raise LogError(_refusal(status), f"append answered {status}")
        return int(msgpack.unpackb(body)["offset"])

    async def read(
        self, stream: str, offset: int, limit: int, wait_ms: int
    ) -> LogPage:
        """Reads records from an offset on.

        Args:
            stream: Name of the stream.
            offset: First offset wanted.
            limit: Most records wanted.
            wait_ms: How long the log may hold the answer back while there is
                no record yet.

        Returns:
            The page, empty where no record came in time.

        Raises:
            LogError: TRIMMED where the offset is no longer kept.
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
            raise LogError(LogErrorKind.TRIMMED, "records were trimmed", first)
        if status != _HTTP_OK:
            raise LogError(_refusal(status), f"read answered {status}")
        page = msgpack.unpackb(body)
        return LogPage(page["first"], tuple(page["records"]), page["end"])

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


def _refusal(status: int) -> LogErrorKind:
    if status == _HTTP_UNAVAILABLE:
        return LogErrorKind.REJECTED
    return LogErrorKind.UNKNOWN
