"""Reads the configuration from the log."""

import asyncio
import logging
import random

import attrs

from pomelobank_node._config_store import ConfigStore
from pomelobank_node._log_client import CONFIG_STREAM, LogClient, LogError

_logger = logging.getLogger(__name__)

PAGE_LIMIT = 500
FIRST_RETRY_MS = 50
MAX_RETRY_MS = 5000
_MS_PER_S = 1000


@attrs.define
class LogPoller:
    """Keeps the store up to date by polling the log.

    Every node that runs one costs the log one long poll at a time; this is the
    baseline that distribution between peers is measured against.

    Attributes:
        log: The log's client.
        store: What is kept up to date.
        caught_up: Set once the end of the log was reached for the first time.
        log_up: Whether the last call to the log succeeded.
    """

    log: LogClient
    store: ConfigStore
    caught_up: asyncio.Event = attrs.field(factory=asyncio.Event)
    log_up: bool = False
    task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the reading task."""
        self.task = asyncio.create_task(self._run(), name="config-feed")

    async def stop(self) -> None:
        """Ends the reading task."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _run(self) -> None:
        retry_ms = FIRST_RETRY_MS
        while True:
            try:
                await self._read_once()
                retry_ms = FIRST_RETRY_MS
                self.log_up = True
            except LogError as error:
                self.log_up = False
                _logger.warning(
                    "config.read_failed", extra={"error": str(error)}
                )
                # Full jitter: after an outage all readers would otherwise come
                # back in the same instant.
                await asyncio.sleep(random.uniform(0, retry_ms) / _MS_PER_S)
                retry_ms = min(2 * retry_ms, MAX_RETRY_MS)

    async def _read_once(self) -> None:
        wait_ms = (
            self.log.settings.long_poll_ms if self.caught_up.is_set() else 0
        )
        page = await self.log.read(
            CONFIG_STREAM, self.store.version, PAGE_LIMIT, wait_ms
        )
        for index, data in enumerate(page.records):
            self.store.apply(page.first_offset + index, data)
        if page.next_offset >= page.end_offset:
            self.caught_up.set()
        if self.store.blocked:
            await asyncio.sleep(MAX_RETRY_MS / _MS_PER_S)
