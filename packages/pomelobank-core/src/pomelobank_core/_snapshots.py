"""Snapshots: the complete replayed state as a record of the log."""

import random
from collections.abc import Iterable
from types import MappingProxyType

import attrs
from returns.result import Failure, Result, Success

from pomelobank_core._objects import (
    ObjectKey,
    Snapshot,
    VersionedObject,
    object_key,
    snapshot_object_value,
)
from pomelobank_core._rendezvous import rank_of
from pomelobank_core._replay import ChangeDecision, ConfigState
from pomelobank_core._validation import Problem, ProblemKind, check_objects
from pomelobank_schema.generated.records import (
    AuditRecord,
    ProblemRecord,
    RouteObject,
    ServiceObject,
    SnapshotObject,
    SnapshotRecord,
    UpstreamObject,
    WorkspaceObject,
)
from pomelobank_schema.generated.settings import SnapshotSettings

# A snapshot is due when the time or the records since the newest one reach the
# retention divided by this. The remaining two thirds of the retention cover the
# failure of the nodes whose turn comes first, an outage of the log, and nodes
# that read the snapshot late.
_RETENTION_DIVISOR = 3

# Workspaces did not need a new number: to an earlier program, a workspace is an
# object of no kind, for which that program rejects the whole snapshot.
SNAPSHOT_FORMAT = 1
_NEWER_FORMAT = Problem(
    ProblemKind.MALFORMED_OPERATION,
    "",
    "the snapshot was written by a newer program; update this node",
)


def snapshot_record(
    state: ConfigState, node: str = "", at_ms: int = 0
) -> SnapshotRecord:
    """Returns the snapshot record of a state.

    Args:
        state: The state.
        node: Node that writes the record.
        at_ms: Current time in ms since the epoch.

    Returns:
        The record.
    """
    return SnapshotRecord(
        as_of=state.snapshot.version,
        objects=tuple(map(_object_record, state.snapshot.objects.values())),
        audit=tuple(map(_audit_record, state.decisions.values())),
        node=node,
        at_ms=at_ms,
        format=SNAPSHOT_FORMAT,
    )


def restore_snapshot(
    record: SnapshotRecord,
) -> Result[ConfigState, tuple[Problem, ...]]:
    """Restores the state of a snapshot.

    Args:
        record: The snapshot.

    Returns:
        The state, or the problems of the snapshot. A snapshot with a missing
        reference is rejected, because requests of a route that refers to a
        missing object could not be forwarded.
    """
    if record.format > SNAPSHOT_FORMAT:
        # A newer format may have fields that this program would silently drop.
        return Failure((_NEWER_FORMAT,))
    objects: dict[ObjectKey, VersionedObject] = {}
    for item in record.objects:
        value = snapshot_object_value(item)
        if value is None or not 0 < item.revision <= record.as_of:
            return Failure((_malformed(item),))
        objects[object_key(value)] = VersionedObject(value, item.revision)
    problems = check_objects(objects)
    if problems:
        return Failure(problems)
    return Success(
        ConfigState(
            snapshot=Snapshot(record.as_of, MappingProxyType(objects)),
            decisions=_decisions(record.audit),
        )
    )


def adopt_snapshot(
    state: ConfigState, record: SnapshotRecord
) -> Result[ConfigState, tuple[Problem, ...]]:
    """Adopts the state of a snapshot that is newer than the present state.

    A snapshot may be outdated when it arrives, because its writer was paused or
    the read was slow. A node that adopted an outdated snapshot would restore
    routes that operators have replaced.

    Args:
        state: Present state.
        record: The snapshot.

    Returns:
        The new state; the same object if the snapshot is not newer; or the
        problems of the snapshot.
    """
    if record.as_of <= state.snapshot.version:
        return Success(state)
    return restore_snapshot(record)


def _malformed(item: SnapshotObject) -> Problem:
    return Problem(
        ProblemKind.MALFORMED_OPERATION,
        "",
        "a snapshot's object needs exactly one of service, upstream, route and"
        f" workspace, and a revision within the snapshot, not {item.revision}",
    )


def _object_record(item: VersionedObject) -> SnapshotObject:
    value = item.value
    return SnapshotObject(
        service=value if isinstance(value, ServiceObject) else None,
        upstream=value if isinstance(value, UpstreamObject) else None,
        route=value if isinstance(value, RouteObject) else None,
        revision=item.revision,
        workspace=value if isinstance(value, WorkspaceObject) else None,
    )


def _audit_record(decision: ChangeDecision) -> AuditRecord:
    return AuditRecord(
        version=decision.version,
        change_id=decision.change_id,
        author=decision.author,
        reason=decision.reason,
        at_ms=decision.at_ms,
        objects=decision.objects,
        problems=tuple(
            ProblemRecord(
                kind=problem.kind.value,
                key=problem.object,
                message=problem.message,
            )
            for problem in decision.problems
        ),
        digest=decision.digest,
    )


def _decisions(
    audit: Iterable[AuditRecord],
) -> MappingProxyType[str, ChangeDecision]:
    return MappingProxyType({item.change_id: _decision(item) for item in audit})


def _decision(item: AuditRecord) -> ChangeDecision:
    return ChangeDecision(
        version=item.version,
        change_id=item.change_id,
        author=item.author,
        reason=item.reason,
        at_ms=item.at_ms,
        objects=item.objects,
        problems=tuple(map(_problem, item.problems)),
        digest=item.digest,
    )


def _problem(item: ProblemRecord) -> Problem:
    try:
        kind = ProblemKind(item.kind)
    except ValueError:
        # A newer node may use kinds that this program does not know. The
        # rejection of the change and the message are still valid.
        kind = ProblemKind.MALFORMED_OPERATION
    return Problem(kind, item.key, item.message)


@attrs.define
class SnapshotSchedule:
    """Decides when this node should write a snapshot.

    Every node runs a schedule. A node's delay before its write grows with the
    node's rank in a hash order, so that usually only one node writes. Two
    snapshots from two nodes do no harm, because replay skips snapshots.
    Therefore, the nodes need no lease, which could expire.

    Attributes:
        settings: Retention and delay between two nodes' turns.
        node: The node's id.
        rng: Source of randomness.
        as_of: Version of the newest known snapshot.
        written_ms: Time of that snapshot on this node's monotonic clock.
        due_ms: Start of this node's turn; None while no snapshot is due.
    """

    settings: SnapshotSettings
    node: str
    rng: random.Random
    as_of: int = 0
    written_ms: int | None = None
    due_ms: int | None = None

    def on_snapshot(
        self, record: SnapshotRecord, now_ms: int, wall_ms: int
    ) -> None:
        """Records a snapshot that replay has read.

        Args:
            record: The snapshot.
            now_ms: Monotonic time.
            wall_ms: Time since the epoch, compared with the writer's time.
        """
        self.on_snapshot_age(record.as_of, wall_ms - record.at_ms, now_ms)

    def on_snapshot_age(self, as_of: int, age_ms: int, now_ms: int) -> None:
        """Records the age of the newest snapshot in the log.

        A node that starts from a peer's state has not read any snapshot from
        the log. If the node measured the age from its own start, a fleet whose
        nodes are all replaced within a third of the retention would never write
        a snapshot.

        Args:
            as_of: Version of the snapshot; 0 if the age is that of the oldest
                record.
            age_ms: Age of the snapshot.
            now_ms: Monotonic time.
        """
        # A snapshot whose writer's clock is ahead has a negative age. Without
        # the limit of 0, that age would delay the next snapshot on all nodes.
        written_ms = now_ms - max(0, age_ms)
        known = self.written_ms is not None
        if as_of < self.as_of or (known and as_of == self.as_of):
            return
        self.as_of = as_of
        self.written_ms = written_ms
        self.due_ms = None

    def should_write(
        self, version: int, live: Iterable[str], now_ms: int
    ) -> bool:
        """Returns whether this node should write a snapshot now.

        Args:
            version: The node's version.
            live: Ids of the live members, the node's own included.
            now_ms: Monotonic time.

        Returns:
            Whether the node should write a snapshot.
        """
        if not self._is_due(version, now_ms):
            self.due_ms = None
            return False
        if self.due_ms is None:
            self.due_ms = now_ms + self._delay_ms(live)
        return now_ms >= self.due_ms

    def on_write_failed(self, now_ms: int) -> None:
        """Delays the next attempt after a failed append of a snapshot."""
        pause_ms = self.rng.randint(1, 2 * self.settings.rank_delay_ms)
        self.due_ms = now_ms + pause_ms

    def _is_due(self, version: int, now_ms: int) -> bool:
        if version == 0:
            return False
        if self.written_ms is None:
            # The age of the log's first records is unknown, so the age is
            # measured from this node's first check.
            self.written_ms = now_ms
        limit_ms = self.settings.retention_ms // _RETENTION_DIVISOR
        if now_ms - self.written_ms >= limit_ms:
            return True
        limit = self.settings.retention_records // _RETENTION_DIVISOR
        return bool(limit) and version - self.as_of >= limit

    def _delay_ms(self, live: Iterable[str]) -> int:
        # The salt changes with every snapshot, so that the writers change too.
        rank = rank_of(self.node, live, salt=f"snapshot-{self.as_of}")
        step_ms = self.settings.rank_delay_ms
        return rank * step_ms + self.rng.randint(0, step_ms // 2)


@attrs.frozen
class Recovery:
    """State from which a node can continue after the log was trimmed.

    Attributes:
        state: State of the snapshot.
        record: The snapshot.
    """

    state: ConfigState
    record: SnapshotRecord


def usable_snapshot(
    record: SnapshotRecord, offset: int, first_kept: int, version: int
) -> Recovery | None:
    """Returns the recovery from a snapshot in the log if it is usable.

    A snapshot written by a node that was paused for a long time may be older
    than the oldest retained record. Records between the two are missing, so
    that a node that started from this snapshot could not apply any more
    records.

    Args:
        record: The snapshot.
        offset: The snapshot's offset.
        first_kept: Offset of the oldest retained record.
        version: The node's own version, which must never decrease.

    Returns:
        The recovery, None if the snapshot is not usable.
    """
    if not max(first_kept, version + 1) <= record.as_of <= offset:
        return None
    match restore_snapshot(record):
        case Success(state):
            return Recovery(state, record)
        case _:
            return None
