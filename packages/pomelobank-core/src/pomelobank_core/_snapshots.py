"""Snapshots: the whole replayed state as one record of the log."""

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
)
from pomelobank_schema.generated.settings import SnapshotSettings

# A snapshot is due when the newest one has used up this part of the retention.
# The rest is for the nodes whose turn comes first being gone, for an outage of
# the log, and for nodes that read the snapshot late.
_RETENTION_PART = 3

SNAPSHOT_FORMAT = 1
_NEWER_FORMAT = Problem(
    ProblemKind.MALFORMED_OPERATION,
    "",
    "the snapshot was written by a newer program; update this node",
)


def snapshot_record(
    state: ConfigState, node: str = "", at_ms: int = 0
) -> SnapshotRecord:
    """Returns the record that carries a whole state.

    Args:
        state: The state.
        node: Node that writes it.
        at_ms: Time since the epoch.

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
    """Rebuilds the state that a snapshot carries.

    Args:
        record: The snapshot.

    Returns:
        The state, or what is wrong with the snapshot. A snapshot that breaks
        a reference is never taken: a route of it would lead nowhere.
    """
    if record.format > SNAPSHOT_FORMAT:
        # It may hold what this program would drop without noticing.
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
            decisions=_verdicts(record.audit),
        )
    )


def adopt_snapshot(
    state: ConfigState, record: SnapshotRecord
) -> Result[ConfigState, tuple[Problem, ...]]:
    """Takes over a snapshot, unless the state is as new already.

    A snapshot may be old when it arrives, from a writer that was paused or
    from a slow read; taking it would bring back routes that operators have
    replaced.

    Args:
        state: State before.
        record: The snapshot.

    Returns:
        The state after, the same object where the snapshot is no news; or
        what is wrong with the snapshot.
    """
    if record.as_of <= state.snapshot.version:
        return Success(state)
    return restore_snapshot(record)


def _malformed(item: SnapshotObject) -> Problem:
    return Problem(
        ProblemKind.MALFORMED_OPERATION,
        "",
        "a snapshot's object needs exactly one of service, upstream and route,"
        f" and a revision within the snapshot, not {item.revision}",
    )


def _object_record(item: VersionedObject) -> SnapshotObject:
    value = item.value
    return SnapshotObject(
        service=value if isinstance(value, ServiceObject) else None,
        upstream=value if isinstance(value, UpstreamObject) else None,
        route=value if isinstance(value, RouteObject) else None,
        revision=item.revision,
    )


def _audit_record(verdict: ChangeDecision) -> AuditRecord:
    return AuditRecord(
        version=verdict.version,
        change_id=verdict.change_id,
        author=verdict.author,
        reason=verdict.reason,
        at_ms=verdict.at_ms,
        objects=verdict.objects,
        problems=tuple(
            ProblemRecord(
                kind=problem.kind.value,
                key=problem.object,
                message=problem.message,
            )
            for problem in verdict.problems
        ),
        digest=verdict.digest,
    )


def _verdicts(
    audit: Iterable[AuditRecord],
) -> MappingProxyType[str, ChangeDecision]:
    return MappingProxyType({item.change_id: _verdict(item) for item in audit})


def _verdict(item: AuditRecord) -> ChangeDecision:
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
        # A newer node may know more kinds; that the change was rejected, and
        # the message, still hold.
        kind = ProblemKind.MALFORMED_OPERATION
    return Problem(kind, item.key, item.message)


@attrs.define
class SnapshotSchedule:
    """Decides when this node should write a snapshot.

    Every node runs one. The nodes take turns in the order of a hash, so that
    usually one of them writes; two that both write do no harm, because replay
    passes over a snapshot. Nobody holds a lease that could lapse.

    Attributes:
        settings: Retention and pause between two nodes' turns.
        node: The node's id.
        rng: Source of randomness.
        as_of: Version of the newest snapshot that is known.
        written_ms: When it was written, on this node's own clock.
        due_ms: When this node's turn comes; None while nothing is due.
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
        """Notes a snapshot that replay came past.

        Args:
            record: The snapshot.
            now_ms: Monotonic time.
            wall_ms: Time since the epoch, compared with the writer's.
        """
        self.on_snapshot_age(record.as_of, wall_ms - record.at_ms, now_ms)

    def on_snapshot_age(self, as_of: int, age_ms: int, now_ms: int) -> None:
        """Notes how old the newest snapshot in the log is.

        A node that starts from a peer's state has never read a snapshot from
        the log. If it counted from its own start, a fleet whose nodes are all
        replaced within a third of the retention would never write one.

        Args:
            as_of: Version of the snapshot; 0 where the age is that of the
                oldest record.
            age_ms: Its age.
            now_ms: Monotonic time.
        """
        # A writer whose clock is ahead would otherwise keep everybody from
        # writing the next snapshot in time.
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
        """Tells whether this node should write a snapshot now.

        Args:
            version: The node's version.
            live: Ids of the live members, the node's own included.
            now_ms: Monotonic time.

        Returns:
            Whether it should.
        """
        if not self._is_due(version, now_ms):
            self.due_ms = None
            return False
        if self.due_ms is None:
            self.due_ms = now_ms + self._delay_ms(live)
        return now_ms >= self.due_ms

    def on_write_failed(self, now_ms: int) -> None:
        """Puts the next try off after one that the log did not take."""
        pause_ms = self.rng.randint(1, 2 * self.settings.rank_delay_ms)
        self.due_ms = now_ms + pause_ms

    def _is_due(self, version: int, now_ms: int) -> bool:
        if version == 0:
            return False
        if self.written_ms is None:
            # Nothing is known of the log's first records; time starts to
            # count with this node's first look.
            self.written_ms = now_ms
        limit_ms = self.settings.retention_ms // _RETENTION_PART
        if now_ms - self.written_ms >= limit_ms:
            return True
        limit = self.settings.retention_records // _RETENTION_PART
        return bool(limit) and version - self.as_of >= limit

    def _delay_ms(self, live: Iterable[str]) -> int:
        # The salt moves the task to another node with every snapshot.
        rank = rank_of(self.node, live, salt=f"snapshot-{self.as_of}")
        step_ms = self.settings.rank_delay_ms
        return rank * step_ms + self.rng.randint(0, step_ms // 2)


@attrs.frozen
class Recovery:
    """Where a node can start again after records were trimmed.

    Attributes:
        state: State that a snapshot carries.
        record: The snapshot.
    """

    state: ConfigState
    record: SnapshotRecord


def usable_snapshot(
    record: SnapshotRecord, offset: int, first_kept: int, version: int
) -> Recovery | None:
    """Tells whether a node can start again from a snapshot in the log.

    A snapshot written by a node that was paused for long may be older than
    the oldest record that is kept: between the two, records are missing, and
    a node that started from it could never go on.

    Args:
        record: The snapshot.
        offset: Its offset.
        first_kept: Offset of the oldest record that is kept.
        version: The node's own version, below which it never goes.

    Returns:
        The recovery, None where the snapshot is of no use.
    """
    if not max(first_kept, version + 1) <= record.as_of <= offset:
        return None
    match restore_snapshot(record):
        case Success(state):
            return Recovery(state, record)
        case _:
            return None
