"""Appends snapshots of the configuration to the log."""

import logging

import attrs

from pomelobank_core import (
    Clock,
    MemberState,
    MemberTable,
    SnapshotSchedule,
    snapshot_record,
)
from pomelobank_node._config_store import ConfigStore
from pomelobank_node._log import CONFIG_STREAM, Log, LogError
from pomelobank_schema import encode
from pomelobank_schema.generated.records import SnapshotRecord

_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class SnapshotWriter:
    """Writes a snapshot when it is due and this node's turn.

    Attributes:
        schedule: Decides when that is.
        store: What is written.
        log: Where it is written to.
        members: Who else might write.
        clock: Tells the time.
        written: Snapshots that the log took, for the metrics.
    """

    schedule: SnapshotSchedule
    store: ConfigStore
    log: Log
    members: MemberTable
    clock: Clock
    written: int = 0

    def on_snapshot(self, record: SnapshotRecord) -> None:
        """Notes a snapshot that replay came past."""
        self.schedule.on_snapshot(
            record, self.clock.now_ms(), self.clock.wall_ms()
        )

    def age_ms(self) -> int:
        """Returns the age of the newest snapshot, or of the oldest record."""
        if self.schedule.written_ms is None:
            self._hear_oldest()
        if self.schedule.written_ms is None:
            return 0
        return self.clock.now_ms() - self.schedule.written_ms

    def _hear_oldest(self) -> None:
        oldest = next(iter(self.store.state.decisions.values()), None)
        if oldest is not None:
            age_ms = self.clock.wall_ms() - oldest.at_ms
            self.schedule.on_snapshot_age(0, age_ms, self.clock.now_ms())

    async def write_if_due(self) -> None:
        """Writes a snapshot where one is due and it is this node's turn."""
        if self.schedule.written_ms is None:
            self._hear_oldest()
        live = [
            item.node
            for item in self.members.all()
            if item.state != MemberState.GONE.value
        ]
        version, now_ms = self.store.version, self.clock.now_ms()
        if not self.store.ready or not self.schedule.should_write(
            version, live, now_ms
        ):
            return
        # Until it was read back the schedule stays due: an append whose
        # answer was lost may not have happened. A second one is harmless.
        self.schedule.on_write_failed(now_ms)
        record = snapshot_record(
            self.store.state, self.schedule.node, self.clock.wall_ms()
        )
        try:
            await self.log.append(CONFIG_STREAM, encode(record))
            self.written += 1
        except LogError as error:
            _logger.warning(
                "config.snapshot_failed", extra={"error": str(error)}
            )
