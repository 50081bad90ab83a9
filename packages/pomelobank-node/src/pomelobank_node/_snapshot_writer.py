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
    """Appends a snapshot when one is due and this node is the writer.

    Attributes:
        schedule: Decides when a snapshot is due and which node writes it.
        store: The configuration store whose state is written.
        log: Client of the log that takes the snapshots.
        members: The members, which are the candidates for writing.
        clock: Monotonic and wall clock.
        written: Snapshots that the log accepted, for the metrics.
    """

    schedule: SnapshotSchedule
    store: ConfigStore
    log: Log
    members: MemberTable
    clock: Clock
    written: int = 0

    def on_snapshot(self, record: SnapshotRecord) -> None:
        """Notes a snapshot record that replay reached."""
        self.schedule.on_snapshot(
            record, self.clock.now_ms(), self.clock.wall_ms()
        )

    def age_ms(self) -> int:
        """Returns the age of the newest snapshot, else of the oldest change.

        Returns:
            The age in ms; 0 while neither is known.
        """
        if self.schedule.written_ms is None:
            self._set_age_from_oldest_change()
        if self.schedule.written_ms is None:
            return 0
        return self.clock.now_ms() - self.schedule.written_ms

    def _set_age_from_oldest_change(self) -> None:
        oldest = next(iter(self.store.state.decisions.values()), None)
        if oldest is not None:
            age_ms = self.clock.wall_ms() - oldest.at_ms
            self.schedule.on_snapshot_age(0, age_ms, self.clock.now_ms())

    async def write_if_due(self) -> None:
        """Appends a snapshot if one is due and this node is the writer."""
        if self.schedule.written_ms is None:
            self._set_age_from_oldest_change()
        live_nodes = [
            item.node
            for item in self.members.all()
            if item.state != MemberState.GONE.value
        ]
        version, now_ms = self.store.version, self.clock.now_ms()
        if not self.store.ready or not self.schedule.should_write(
            version, live_nodes, now_ms
        ):
            return
        # The schedule stays due until this node reads the snapshot back from
        # the log, since an append without an answer may not have taken effect.
        # A second snapshot of the same version is harmless.
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
