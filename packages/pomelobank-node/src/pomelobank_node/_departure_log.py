"""Keeps in the log which targets have said that they leave."""

import asyncio
import logging
import random

import attrs

from pomelobank_core import Departures
from pomelobank_node._log import (
    DEPARTURES_STREAM,
    Log,
    LogError,
    LogErrorKind,
    read_retained,
)
from pomelobank_schema import SchemaError, decode, encode
from pomelobank_schema.generated.records import (
    KINDS,
    DepartureRecord,
    TargetAnnouncement,
)

_logger = logging.getLogger(__name__)
_MS_PER_S = 1000
# A target takes its word for unheard after a second, and asks again.
_KEEP_S = 0.8
# A log that answers does so in a few ms, on a slow line in some tenths of a
# second; a target is not kept out of the mesh for longer by one that does not.
READ_WAIT_S = 1.0
_PAGE_RECORDS = 1000
_FIRST_RETRY_MS = 100
_MAX_RETRY_MS = 2000


@attrs.define(eq=False)
class DepartureLog:
    """Keeps departures where a killed process cannot lose them.

    Attributes:
        log: Where they are kept.
        first_start: Whether there was no earlier process, so that nothing is
            to be read.
        departures: Those that are known.
        loaded: Set once those in the log are known.
        ready: Set when nobody waits for the log any more.
    """

    log: Log
    first_start: bool = False
    departures: Departures = attrs.field(factory=Departures)
    loaded: asyncio.Event = attrs.field(factory=asyncio.Event)
    ready: asyncio.Event = attrs.field(factory=asyncio.Event)
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    async def start(self) -> None:
        """Begins to read what an earlier process has acknowledged."""
        if self.first_start:
            self.loaded.set()
            self.ready.set()
            return
        self.tasks = [
            asyncio.create_task(self._read_until_done()),
            asyncio.create_task(self._open_in_time()),
        ]

    async def stop(self) -> None:
        """Ends that."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def add(self, departure: DepartureRecord) -> None:
        """Takes note of a departure in this process."""
        self.departures.add(departure)

    def has_departed(self, target: TargetAnnouncement) -> bool:
        """Tells whether a target has said that it leaves."""
        return self.departures.has_departed(target)

    async def persist(self, departure: DepartureRecord) -> None:
        """Returns once a departure is in the log.

        Raises:
            LogError: If that is not known in time.
        """
        try:
            async with asyncio.timeout(_KEEP_S):
                await self.log.append(DEPARTURES_STREAM, encode(departure))
        except TimeoutError:
            raise LogError(
                LogErrorKind.UNKNOWN, "append: no answer in time"
            ) from None

    async def _open_in_time(self) -> None:
        # While the log is away nobody knows whether the target has left. Most
        # have not; a mesh that starts then would serve nobody until the log is
        # back. What is found later still takes the target out.
        await asyncio.sleep(READ_WAIT_S)
        if not self.ready.is_set():
            _logger.warning("departures.not_read")
            self.ready.set()

    async def _read_until_done(self) -> None:
        retry_ms = _FIRST_RETRY_MS
        while not await self._read():
            await asyncio.sleep(random.uniform(0, retry_ms) / _MS_PER_S)
            retry_ms = min(2 * retry_ms, _MAX_RETRY_MS)
        self.loaded.set()
        self.ready.set()

    async def _read(self) -> bool:
        offset = 0
        try:
            while True:
                page = await read_retained(
                    self.log, DEPARTURES_STREAM, offset, _PAGE_RECORDS
                )
                for data in page.records:
                    self._take(data)
                offset = page.next_offset
                if not page.records or offset >= page.end_offset:
                    return True
        except LogError as error:
            _logger.warning(
                "departures.log_failed", extra={"error": str(error)}
            )
            return False

    def _take(self, data: bytes) -> None:
        try:
            record = decode(data, KINDS)
        except SchemaError as error:
            # Another writer's bytes tell nothing of a target of this mesh.
            _logger.warning(
                "departures.unreadable", extra={"error": str(error)}
            )
            return
        if isinstance(record, DepartureRecord):
            self.departures.add(record)
