"""Holds the configuration in force and signals its changes."""

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
from pomelobank_core.workspaces import WorkspaceTable, workspace_table
from pomelobank_schema import SchemaError, SchemaErrorKind, decode, encode
from pomelobank_schema.generated import records
from pomelobank_schema.generated.records import (
    SnapshotRecord,
    WorkspaceObject,
)

_logger = logging.getLogger(__name__)

# Limits of the raw records kept for peers that are a little behind; peers that
# are further behind get a snapshot. 1,000 records are two days of changes at
# the planned size of the mesh. The limit in bytes bounds the memory where
# changes are large.
MAX_RECENT_RECORDS = 1000
MAX_RECENT_BYTES = 4 * 1024 * 1024


@attrs.define
class RecentRecords:
    """The newest raw records, without a gap, oldest first.

    Attributes:
        first_offset: Offset of the oldest record.
        records: The records' bytes.
        size_bytes: Sum of the records' lengths, in bytes.
    """

    first_offset: int = 0
    records: list[bytes] = attrs.field(factory=list)
    size_bytes: int = 0

    def add(self, offset: int, data: bytes) -> None:
        """Adds a record; drops all older records if there is a gap."""
        if offset != self.first_offset + len(self.records):
            self.first_offset, self.records, self.size_bytes = offset, [], 0
        self.records.append(data)
        self.size_bytes += len(data)
        while self._exceeds_limits():
            self.size_bytes -= len(self.records.pop(0))
            self.first_offset += 1

    def _exceeds_limits(self) -> bool:
        count = len(self.records)
        return count > MAX_RECENT_RECORDS or (
            count > 1 and self.size_bytes > MAX_RECENT_BYTES
        )

    def since(self, offset: int, limit: int) -> tuple[bytes, ...]:
        """Returns up to `limit` records from an offset on.

        The result is empty if the record at the offset is no longer kept or
        does not exist yet.
        """
        start = offset - self.first_offset
        if start < 0:
            return ()
        return tuple(self.records[start : start + limit])


@attrs.define
class ConfigStore:
    """Holds the node's current configuration.

    Request handling reads `state`, `routes` and `workspaces` once per request.
    They are immutable and replaced together without an await in between, so no
    request sees a partly applied change.

    Attributes:
        state: The state replayed from the log so far.
        routes: The routes of that state, prepared for matching.
        workspaces: The workspaces of that state, prepared for the lookup of
            keys.
        workspace_objects: Objects from which `workspaces` was built.
        ready: Whether the node may serve callers; see MinServingVersion.
        blocked: Whether a record of an unknown kind has stopped the replay.
        changed: Set, and replaced by a new event, whenever the version changes.
        recent: Raw records, kept for peers.
        on_snapshot: Called with each snapshot record in the log that replay
            reaches.
        newest_change_at_ms: Time of the author's request for the newest applied
            change, in ms since the epoch.
        applied: Number of records that were applied, for the metrics.
        restored: Number of snapshots that were restored, for the metrics.
        unreadable: Number of records that were skipped because they could not
            be decoded, for the metrics.
        mismatches: Number of snapshot records that differ from this node's
            state, for the metrics; any value but 0 shows a fault of this
            program.
        encoded: A version and its encoded snapshot; None until a peer needs
            a snapshot.
    """

    state: ConfigState = attrs.field(factory=ConfigState)
    routes: RouteTable = attrs.field(
        factory=lambda: RouteTable.of(ConfigState().snapshot)
    )
    workspaces: WorkspaceTable = attrs.field(factory=WorkspaceTable)
    workspace_objects: tuple[WorkspaceObject, ...] = ()
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
        """Applies one raw record if it is the next one; ignores others.

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
            return self._handle_unreadable(offset, data, error)
        if isinstance(record, SnapshotRecord):
            self._check_snapshot(record)
        change = record if isinstance(record, records.ChangeRecord) else None
        if change is not None:
            self.newest_change_at_ms = change.at_ms
        self._advance(advance(self.state, offset, change), data)
        return True

    def restore(self, record: SnapshotRecord) -> bool:
        """Restores a snapshot if it is newer than the node's version.

        Args:
            record: The snapshot.

        Returns:
            Whether the snapshot was restored.
        """
        if self.blocked:
            # The snapshot follows a record that this program cannot decode.
            # That record may have effects that the snapshot does not show.
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
        self._replace_state(state)
        return True

    def encoded_snapshot(self, node: str, at_ms: int) -> bytes:
        """Returns an encoded snapshot record of the state.

        After many nodes restart together, many peers need the snapshot within
        seconds. Encoding takes long enough to delay requests, so the store
        encodes the snapshot once per version.
        """
        if self.encoded is None or self.encoded[0] != self.version:
            data = encode(snapshot_record(self.state, node, at_ms))
            self.encoded = (self.version, data)
        return self.encoded[1]

    def _check_snapshot(self, record: SnapshotRecord) -> None:
        # Replay is deterministic, so a snapshot of this version must equal this
        # node's state. A difference shows a fault in this node or the writer.
        if record.as_of == self.version:
            expected = snapshot_record(self.state)
            is_equal = set(expected.objects) == set(record.objects)
            if not is_equal or expected.audit != record.audit:
                self.mismatches += 1
                _logger.error(
                    "config.snapshot_differs", extra={"writer": record.node}
                )
        if self.on_snapshot is not None:
            self.on_snapshot(record)

    def _handle_unreadable(
        self, offset: int, data: bytes, error: SchemaError
    ) -> bool:
        if error.kind is SchemaErrorKind.UNKNOWN_KIND:
            # A newer program wrote this record, and this node cannot know its
            # effect. If this node skipped the record, its configuration would
            # differ from the newer nodes' from here on.
            self.blocked = True
            _logger.error("config.blocked", extra={"offset": offset})
            return False
        # Every node decodes the same bytes with the same codec, so all nodes
        # skip this record and stay consistent.
        self.unreadable += 1
        _logger.warning(
            "config.unreadable", extra={"offset": offset, "error": str(error)}
        )
        self._advance(advance(self.state, offset, None), data)
        return True

    def _advance(self, state: ConfigState, data: bytes) -> None:
        self.recent.add(self.version, data)
        self.applied += 1
        self._replace_state(state)

    def _replace_state(self, state: ConfigState) -> None:
        if state.snapshot.objects is not self.state.snapshot.objects:
            self.routes = RouteTable.of(state.snapshot)
            self._index_workspaces(state.snapshot.workspaces())
        self.state = state
        signal, self.changed = self.changed, asyncio.Event()
        signal.set()

    def _index_workspaces(self, objects: tuple[WorkspaceObject, ...]) -> None:
        # Most changes write no workspace. Without this comparison, a starting
        # node would index all keys again for each of thousands of records.
        if objects != self.workspace_objects:
            self.workspaces = workspace_table(objects)
            self.workspace_objects = objects

    async def wait_for_change(self, change_id: str) -> ChangeDecision:
        """Waits until replay reaches a change and returns its decision."""
        while (verdict := self.state.decisions.get(change_id)) is None:
            await self.changed.wait()
        return verdict
