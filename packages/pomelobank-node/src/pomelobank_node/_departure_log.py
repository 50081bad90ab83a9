"""Stores in the log which targets have announced their departure."""

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
# Time limit of one append. A target that announces its departure waits 1 s for
# the response and then repeats the call, so the node must respond with an error
# before that.
_APPEND_TIMEOUT_S = 0.8
# Time limit of the wait for the log at the start. The log normally answers
# within a few ms, and on a slow network link within some tenths of a second. If
# the log does not answer, the target joins the mesh after this time.
MAX_READ_WAIT_S = 1.0
_PAGE_RECORDS = 1000
# Maximum delay before departures are stored again. The store accepts a few
# hundred writes per second, and nodes should not exceed them together.
_MAX_STORING_DELAY_S = 0.5
_FIRST_RETRY_MS = 100
_MAX_RETRY_MS = 2000


@attrs.define(eq=False)
class DepartureLog:
    """Stores departures in the log, where they survive a killed process.

    When the log has lost its newest records, the departures that this node
    relies on are stored again.

    Attributes:
        log: Client of the log that holds the departures.
        first_start: Whether the node starts for the first time, so that the log
            holds no departures from an earlier process.
        departures: The departures known to this process.
        stored: The newest record of each target whose departure this process
            stored, or found in the log for its own target.
        storing_due: Set when these records have to be stored again.
        loaded: Set once the departures in the log are known.
        ready: Set once the node no longer waits for the log: after reading it
            or after `MAX_READ_WAIT_S`.
    """

    log: Log
    first_start: bool = False
    departures: Departures = attrs.field(factory=Departures)
    stored: dict[str, DepartureRecord] = attrs.field(factory=dict)
    storing_due: asyncio.Event = attrs.field(factory=asyncio.Event)
    loaded: asyncio.Event = attrs.field(factory=asyncio.Event)
    ready: asyncio.Event = attrs.field(factory=asyncio.Event)
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.log.era.on_change.append(self.storing_due.set)

    async def start(self) -> None:
        """Starts to read the departures that earlier processes stored."""
        self.tasks = [asyncio.create_task(self._store_again_when_due())]
        if self.first_start:
            self.loaded.set()
            self.ready.set()
            return
        self.tasks += [
            asyncio.create_task(self._read_until_done()),
            asyncio.create_task(self._set_ready_after_timeout()),
        ]

    async def stop(self) -> None:
        """Stops reading."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def add(self, departure: DepartureRecord) -> None:
        """Adds a departure in this process only."""
        self.departures.add(departure)

    def has_departed(self, target: TargetAnnouncement) -> bool:
        """Tells whether this node's target has announced its departure."""
        departed = self.departures.has_departed(target)
        if departed:
            key = target.instance or target.address
            self.stored.setdefault(key, self.departures.latest[key])
        return departed

    async def persist(self, departure: DepartureRecord) -> None:
        """Appends a departure to the log.

        Raises:
            LogError: If the append failed or was not confirmed in time.
        """
        self.stored[departure.instance or departure.address] = departure
        await self._append(departure)

    async def _append(self, departure: DepartureRecord) -> None:
        try:
            async with asyncio.timeout(_APPEND_TIMEOUT_S):
                await self.log.append(DEPARTURES_STREAM, encode(departure))
        except TimeoutError:
            raise LogError(
                LogErrorKind.UNKNOWN,
                f"append to the log not confirmed within {_APPEND_TIMEOUT_S} s",
            ) from None

    async def _store_again_when_due(self) -> None:
        while True:
            await self.storing_due.wait()
            # Nodes learn of a new era at the same time.
            await asyncio.sleep(random.uniform(0, _MAX_STORING_DELAY_S))
            self.storing_due.clear()
            for departure in list(self.stored.values()):
                await self._store_again(departure)

    async def _store_again(self, departure: DepartureRecord) -> None:
        retry_ms = _FIRST_RETRY_MS
        while True:
            try:
                await self._append(departure)
            except LogError as error:
                _logger.warning(
                    "departures.not_stored_again", extra={"error": str(error)}
                )
            else:
                _logger.info(
                    "departures.stored_again",
                    extra={"instance": departure.instance},
                )
                return
            await asyncio.sleep(random.uniform(0, retry_ms) / _MS_PER_S)
            retry_ms = min(2 * retry_ms, _MAX_RETRY_MS)

    async def _set_ready_after_timeout(self) -> None:
        # While the log is unreachable no node knows whether the target has
        # left. Most targets have not, and a mesh that starts during an outage
        # of the log would otherwise serve no callers until the log is back.
        # A departure that is read later still drains the target.
        await asyncio.sleep(MAX_READ_WAIT_S)
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
                    self._add_record(data)
                offset = page.next_offset
                if not page.records or offset >= page.end_offset:
                    return True
        except LogError as error:
            _logger.warning(
                "departures.log_failed", extra={"error": str(error)}
            )
            return False

    def _add_record(self, data: bytes) -> None:
        try:
            record = decode(data, KINDS)
        except SchemaError as error:
            # A record that this program cannot decode says nothing about
            # a target of this mesh, so the node skips the record.
            _logger.warning(
                "departures.unreadable", extra={"error": str(error)}
            )
            return
        if isinstance(record, DepartureRecord):
            self.departures.add(record)
