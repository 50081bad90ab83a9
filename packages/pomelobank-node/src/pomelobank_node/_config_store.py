"""Holds the configuration in force and tells waiters when it moves."""

import asyncio
import logging
from collections.abc import Callable

import attrs
from returns.result import Failure

from pomelobank_core import (
    ChangeDecision,
    ConfigState,
    RouteTable,
    adopt_snapshot,
    advance,
    snapshot_record,
)
from pomelobank_schema import SchemaError, SchemaErrorKind, decode, encode
from pomelobank_schema.generated import records
from pomelobank_schema.generated.records import SnapshotRecord

_logger = logging.getLogger(__name__)

# Records kept for peers that are a little behind; whoever is further behind
# gets a snapshot. Two days of changes at the size that is planned for, and a
# bound on memory where the changes are large.
MAX_RECENT_RECORDS = 1000
MAX_RECENT_BYTES = 4 * 1024 * 1024


@attrs.define
class RecentRecords:
    """The newest raw records without a gap, oldest first.

    Attributes:
        first_offset: Offset of the oldest.
        records: Their bytes.
        size_bytes: Sum of their lengths, in bytes.
    """

    first_offset: int = 0
    records: list[bytes] = attrs.field(factory=list)
    size_bytes: int = 0

    def add(self, offset: int, data: bytes) -> None:
        """Keeps one record; after a gap, the older ones are dropped."""
        if offset != self.first_offset + len(self.records):
            self.first_offset, self.records, self.size_bytes = offset, [], 0
        self.records.append(data)
        self.size_bytes += len(data)
        while self._too_many():
            self.size_bytes -= len(self.records.pop(0))
            self.first_offset += 1

    def _too_many(self) -> bool:
        count = len(self.records)
        return count > MAX_RECENT_RECORDS or (
            count > 1 and self.size_bytes > MAX_RECENT_BYTES
        )

    def since(self, offset: int, limit: int) -> tuple[bytes, ...]:
        """Returns records from an offset on, none where it is not kept."""
        start = offset - self.first_offset
        if start < 0:
            return ()
        return tuple(self.records[start : start + limit])


@attrs.define
class ConfigStore:
    """The node's one reference to the configuration.

    Readers take `state` and `routes` once per request; both are immutable and
    replaced together between two awaits, so nobody sees half a change.

    Attributes:
        state: What replay derived from the log so far.
        routes: The routes of that state, prepared for matching.
        ready: Whether callers may be served; see MinServingVersion.
        blocked: Set once a record of an unknown kind stopped the replay.
        changed: Replaced and set at every move of the version.
        recent: Raw records, kept for peers.
        on_snapshot: Called with each snapshot record that replay passes.
        newest_change_at_ms: When the newest change applied was asked for, in ms
            since the epoch.
        applied: Number of records that were applied, for the metrics.
        restored: Number of snapshots that were taken over, for the metrics.
        unreadable: Number of records that were passed over, for the metrics.
        mismatches: Number of snapshot records that differ from the own state,
            for the metrics; anything but 0 is a fault of this program.
        encoded: A version and its encoded snapshot, once a peer has asked.
    """

    state: ConfigState = attrs.field(factory=ConfigState)
    routes: RouteTable = attrs.field(
        factory=lambda: RouteTable.of(ConfigState().snapshot)
    )
    ready: bool = False
    blocked: bool = False
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    recent: RecentRecords = attrs.field(factory=RecentRecords)
    on_snapshot: Callable[[SnapshotRecord], None] | None = None
    newest_change_at_ms: int = 0
    applied: int = 0
    restored: int = 0
    unreadable: int = 0
    mismatches: int = 0
    encoded: tuple[int, bytes] | None = None

    @property
    def version(self) -> int:
        """Version in force."""
        return self.state.snapshot.version

    def apply(self, offset: int, data: bytes) -> bool:
        """Applies one raw record; older and later ones are left alone.

        Args:
            offset: The record's offset.
            data: The record's bytes.

        Returns:
            Whether the record was the next one and was applied.
        """
        if offset != self.version or self.blocked:
            return False
        try:
            record = decode(data, records.KINDS)
        except SchemaError as error:
            return self._apply_unreadable(offset, data, error)
        if isinstance(record, SnapshotRecord):
            self._pass_snapshot(record)
        change = record if isinstance(record, records.ChangeRecord) else None
        if change is not None:
            self.newest_change_at_ms = change.at_ms
        self._move(advance(self.state, offset, change), data)
        return True

    def restore(self, record: SnapshotRecord) -> bool:
        """Takes over a snapshot, unless the node has that version already.

        Args:
            record: The snapshot.

        Returns:
            Whether it was taken.
        """
        if self.blocked:
            # The snapshot lies behind a record that this program does not
            # understand; its effect may be more than the snapshot tells it.
            return False
        result = adopt_snapshot(self.state, record)
        if isinstance(result, Failure):
            problem = result.failure()[0]
            _logger.error(
                "config.bad_snapshot",
                extra={"as_of": record.as_of, "problem": problem.message},
            )
            return False
        state = result.unwrap()
        if state is self.state:
            return False
        self.restored += 1
        self._swap(state)
        return True

    def encoded_snapshot(self, node: str, at_ms: int) -> bytes:
        """Returns a snapshot record of the state, encoded.

        After a herd restart many peers ask for it within seconds; making it
        takes long enough to hold up requests, so it is made once a version.
        """
        if self.encoded is None or self.encoded[0] != self.version:
            data = encode(snapshot_record(self.state, node, at_ms))
            self.encoded = (self.version, data)
        return self.encoded[1]

    def _pass_snapshot(self, record: SnapshotRecord) -> None:
        # Replay is deterministic, so a snapshot of this version must be equal
        # to the own state; if not, one of two nodes has gone wrong.
        if record.as_of == self.version:
            own = snapshot_record(self.state)
            same = set(own.objects) == set(record.objects)
            if not same or own.audit != record.audit:
                self.mismatches += 1
                _logger.error(
                    "config.snapshot_differs", extra={"writer": record.node}
                )
        if self.on_snapshot is not None:
            self.on_snapshot(record)

    def _apply_unreadable(
        self, offset: int, data: bytes, error: SchemaError
    ) -> bool:
        if error.kind is SchemaErrorKind.UNKNOWN_KIND:
            # A newer node wrote something whose meaning this one cannot know;
            # passing over it would make the two disagree from here on.
            self.blocked = True
            _logger.error("config.blocked", extra={"offset": offset})
            return False
        # Every node reads the same bytes with the same codec, so all pass over
        # this record alike.
        self.unreadable += 1
        _logger.warning(
            "config.unreadable", extra={"offset": offset, "error": str(error)}
        )
        self._move(advance(self.state, offset, None), data)
        return True

    def _move(self, state: ConfigState, data: bytes) -> None:
        self.recent.add(self.version, data)
        self.applied += 1
        self._swap(state)

    def _swap(self, state: ConfigState) -> None:
        if state.snapshot.objects is not self.state.snapshot.objects:
            self.routes = RouteTable.of(state.snapshot)
        self.state = state
        moved, self.changed = self.changed, asyncio.Event()
        moved.set()

    async def wait_for_change(self, change_id: str) -> ChangeDecision:
        """Waits until a change was read back and returns its verdict."""
        while (verdict := self.state.decisions.get(change_id)) is None:
            await self.changed.wait()
        return verdict
