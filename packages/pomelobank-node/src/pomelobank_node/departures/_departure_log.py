"""Stores in the log which targets have announced their departure."""

import asyncio
import logging
import random
from collections.abc import Iterable

import attrs
import xxhash

from pomelobank_core.departures import key_of
from pomelobank_node._log import (
    DEPARTURES_STREAM,
    Log,
    LogError,
    LogErrorKind,
)
from pomelobank_node._long_lived import start_long_lived
from pomelobank_schema import SchemaError, decode, encode
from pomelobank_schema.generated.records import KINDS, DepartureRecord

_logger = logging.getLogger(__name__)
_MS_PER_S = 1000
# Time limit of one append. A target that announces its departure waits 1 s for
# the response and then repeats the call, so the node must respond with an error
# before that.
_APPEND_TIMEOUT_S = 0.8
# Age from which a departure is dropped from the log. Its target has ended long
# ago; a target that an operator drains runs on for hours at most.
_RETENTION_MS = 24 * 3600 * 1000
# Maximum length of a key in the log.
_MAX_KEY_BYTES = 255
# Maximum delay before departures are stored again. The store accepts a few
# hundred writes per second, and nodes should not exceed them together.
_MAX_STORING_DELAY_S = 0.5
_FIRST_RETRY_MS = 100
_MAX_RETRY_MS = 2000


@attrs.define(eq=False)
class DepartureLog:
    """Stores departures in the log, where they survive the loss of all nodes.

    When the log has lost its newest records, the departures that this node
    relies on are stored again.

    Attributes:
        log: Client of the log that holds the departures.
        stored: The newest record of each target whose departure this process
            stored, or found for its own target.
        storing_due: Set when these records have to be stored again.
        task: Stores records again; None before the start.
    """

    log: Log
    stored: dict[str, DepartureRecord] = attrs.field(factory=dict)
    storing_due: asyncio.Event = attrs.field(factory=asyncio.Event)
    task: asyncio.Task[None] | None = None

    def __attrs_post_init__(self) -> None:
        self.log.era.on_change.append(self.storing_due.set)

    async def start(self) -> None:
        """Starts to store departures again whenever the log has lost them."""
        self.task = start_long_lived(
            self._store_again_when_due, "departures-storing"
        )

    async def stop(self) -> None:
        """Stops storing."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def store(self, departure: DepartureRecord) -> None:
        """Appends a departure to the log.

        Raises:
            LogError: If the append failed or was not confirmed in time.
        """
        self.stored[key_of(departure)] = departure
        await self._append(departure)

    async def _append(self, departure: DepartureRecord) -> None:
        try:
            async with asyncio.timeout(_APPEND_TIMEOUT_S):
                await self.log.put_keyed(
                    DEPARTURES_STREAM, _log_key(departure), encode(departure)
                )
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

    async def read(self) -> list[DepartureRecord]:
        """Returns the departures in the log; repeats reads that fail."""
        retry_ms = _FIRST_RETRY_MS
        while (departures := await self._read()) is None:
            await asyncio.sleep(random.uniform(0, retry_ms) / _MS_PER_S)
            retry_ms = min(2 * retry_ms, _MAX_RETRY_MS)
        return departures

    async def drop_stale(
        self, departures: list[DepartureRecord], wall_ms: int
    ) -> None:
        """Drops the oldest departure from the log if it is stale.

        Each start drops one at most, so that nodes that start together do not
        all drop the same ones.

        Args:
            departures: Departures in the log.
            wall_ms: Time since the Unix epoch.
        """
        oldest = min(departures, key=lambda item: item.at_ms, default=None)
        if oldest is None or wall_ms - oldest.at_ms < _RETENTION_MS:
            return
        try:
            await self.log.drop_keyed(DEPARTURES_STREAM, _log_key(oldest))
        except LogError as error:
            _logger.info("departures.not_dropped", extra={"error": str(error)})

    async def _read(self) -> list[DepartureRecord] | None:
        try:
            return decode_departures(
                await self.log.read_keyed(DEPARTURES_STREAM)
            )
        except LogError as error:
            _logger.warning(
                "departures.log_failed", extra={"error": str(error)}
            )
            return None


def _log_key(departure: DepartureRecord) -> str:
    key = key_of(departure)
    if len(key.encode()) <= _MAX_KEY_BYTES:
        return key
    return xxhash.xxh3_128_hexdigest(key.encode())


def decode_departures(records: Iterable[bytes]) -> list[DepartureRecord]:
    """Decodes departures; skips records that this program cannot decode.

    Such a record says nothing about a target that this program could run.
    """
    departures = []
    for data in records:
        try:
            record = decode(data, KINDS)
        except SchemaError as error:
            _logger.warning(
                "departures.unreadable", extra={"error": str(error)}
            )
            continue
        if isinstance(record, DepartureRecord):
            departures.append(record)
    return departures
