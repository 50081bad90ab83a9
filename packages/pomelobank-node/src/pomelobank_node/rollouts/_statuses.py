"""Stores the states of roll-outs where operators read them."""

import asyncio
import logging
import random
from typing import Protocol

import attrs

from pomelobank_core import MemberTable, rank_of
from pomelobank_core.rollouts import Rollouts, next_status
from pomelobank_node._log import LogError
from pomelobank_node._log_era import LogEra
from pomelobank_schema.generated.records import RolloutRecord

_logger = logging.getLogger(__name__)
_MS_PER_S = 1000
# Delay between the turns of two nodes that may store a state. The store answers
# within some tens of ms, and the others learn of it in one round trip.
RANK_DELAY_MS = 400
# Maximum number of delays. The nodes of higher rank share the last turn; each
# of them reads first, and finds the state stored.
_MAX_DELAYS = 6
_FIRST_RETRY_MS = 100
_MAX_RETRY_MS = 2000


@attrs.frozen
class StoredStatuses:
    """Newest status of each roll-out, as stored.

    Attributes:
        rollouts: The statuses, as records of roll-outs.
        end: Position after the newest status, for a conditional write.
    """

    rollouts: list[RolloutRecord]
    end: int


class StatusStore(Protocol):
    """Stores the newest status of each upstream's roll-out."""

    async def read_statuses(self) -> StoredStatuses:
        """Reads all statuses.

        Raises:
            LogError: If the store does not answer or its answer is malformed.
        """

    async def write_status(self, rollout: RolloutRecord, end: int) -> None:
        """Stores a status if nothing was stored since a read.

        Args:
            rollout: The roll-out.
            end: `StoredStatuses.end` of the read.

        Raises:
            LogError: REJECTED if the status was certainly not stored, UNKNOWN
                if it may have been.
        """


@attrs.define(eq=False)
class StatusWriter:
    """Brings the stored statuses up to the known roll-outs.

    Every node can do that; they take turns by rank, so that usually one does. A
    status is only replaced by one of a later state or of a newer roll-out, and
    only if nothing else was written since it was read.

    Attributes:
        table: The members known to this node.
        rollouts: The known roll-outs.
        store: The store of the statuses.
        era: Era of the store. A store that has lost records may have lost
            statuses.
        due: Set when a status may have to be stored.
        stored_digest: Digest of the roll-outs whose statuses are stored.
        loaded: Whether this process has read the statuses.
    """

    table: MemberTable
    rollouts: Rollouts
    store: StatusStore
    era: LogEra
    due: asyncio.Event = attrs.field(factory=asyncio.Event)
    stored_digest: int = 0
    loaded: bool = False

    def __attrs_post_init__(self) -> None:
        self.era.on_change.append(self._on_new_era)

    def _on_new_era(self) -> None:
        self.stored_digest = 0
        self.due.set()

    @property
    def is_stored(self) -> bool:
        """Whether the state of every known roll-out is stored."""
        return self.stored_digest == self.rollouts.digest

    def on_stored(self, digest: int) -> None:
        """Handles a peer's knowledge of what is stored."""
        if digest and digest == self.rollouts.digest:
            self.stored_digest = digest

    async def read(self) -> list[RolloutRecord]:
        """Reads the statuses; repeats reads that fail."""
        retry_ms = _FIRST_RETRY_MS
        while True:
            try:
                stored = await self.store.read_statuses()
            except LogError as error:
                _logger.info(
                    "rollout.status_not_read", extra={"error": str(error)}
                )
                await asyncio.sleep(random.uniform(0, retry_ms) / _MS_PER_S)
                retry_ms = min(2 * retry_ms, _MAX_RETRY_MS)
                continue
            self.loaded = True
            return stored.rollouts

    async def store_when_due(self) -> list[RolloutRecord]:
        """Waits until statuses have to be stored, and stores them.

        Returns:
            The statuses that were stored before, which this node may not know,
            and those that it has stored.
        """
        await self.due.wait()
        self.due.clear()
        if self.is_stored:
            return []
        nodes = [entry.node for entry in self.table.present()]
        rank = rank_of(self.table.own.node, nodes, "rollout statuses")
        delays = min(rank, _MAX_DELAYS)
        await asyncio.sleep(delays * RANK_DELAY_MS / _MS_PER_S)
        retry_ms = _FIRST_RETRY_MS
        while not self.is_stored:
            try:
                return await self._store()
            except LogError as error:
                _logger.info(
                    "rollout.status_not_stored", extra={"error": str(error)}
                )
            await asyncio.sleep(random.uniform(0, retry_ms) / _MS_PER_S)
            retry_ms = min(2 * retry_ms, _MAX_RETRY_MS)
        return []

    async def _store(self) -> list[RolloutRecord]:
        digest = self.rollouts.digest
        stored = await self.store.read_statuses()
        end = stored.end
        written: list[RolloutRecord] = []
        by_upstream = {item.upstream: item for item in stored.rollouts}
        upstreams = {item.upstream for item in self.rollouts.records.values()}
        for upstream in sorted(upstreams):
            rollout = self.rollouts.newest(upstream)
            assert rollout is not None
            status = next_status(rollout, by_upstream.get(upstream))
            if status is None:
                continue
            await self.store.write_status(status, end)
            written.append(status)
            end += 1
            _logger.info(
                "rollout.status_stored",
                extra={
                    "upstream": upstream,
                    "revision": status.revision,
                    "position": status.position,
                    "state": status.state,
                },
            )
        if digest == self.rollouts.digest:
            self.stored_digest = digest
        return stored.rollouts + written
