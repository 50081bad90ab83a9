"""The configuration as a state machine that is replayed from the log."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import TypeVar

import attrs
import msgpack
import xxhash
from returns.result import Failure, Result, Success

from pomelobank_core._objects import (
    ObjectKey,
    Snapshot,
    VersionedObject,
    object_key,
    operation_object,
)
from pomelobank_core._validation import (
    ANY_REVISION,
    MUST_NOT_EXIST,
    Problem,
    ProblemKind,
    check_touched,
)
from pomelobank_schema.generated.records import ChangeRecord, OperationRecord

KeyT = TypeVar("KeyT")
ValueT = TypeVar("ValueT")

# The audit trail and the window in which a repeated change id is recognised:
# both end after this many changes. An entry takes about 1 KB; at 420 changes a
# day 2,000 cover four days and a node holds 2 MB of them at most.
MAX_AUDIT_ENTRIES = 2000
_DIGEST_MASK = (1 << 63) - 1


@attrs.frozen
class ChangeDecision:
    """What replay decided about a change.

    It leaves out the change's operations, so that a snapshot carries every
    remembered change in little space.

    Attributes:
        version: Version from which the change counts: its offset plus one.
        change_id: Unique id of the change.
        author: Operator who asked for it.
        reason: Why, in the operator's words.
        at_ms: When the accepting node appended it, in ms since the epoch.
        objects: Keys of the objects it names, as text.
        problems: Why it was rejected; none where it was accepted.
        digest: Digest of the change's operations.
    """

    version: int
    change_id: str
    author: str = ""
    reason: str = ""
    at_ms: int = 0
    objects: tuple[str, ...] = ()
    problems: tuple[Problem, ...] = ()
    digest: int = 0

    @classmethod
    def of(
        cls,
        version: int,
        record: ChangeRecord,
        problems: tuple[Problem, ...] = (),
    ) -> "ChangeDecision":
        """Returns the verdict on a change record."""
        values = map(operation_object, record.operations)
        return cls(
            version=version,
            change_id=record.change_id,
            author=record.author,
            reason=record.reason,
            at_ms=record.at_ms,
            objects=tuple(str(object_key(value)) for value in values if value),
            problems=problems,
            digest=operations_digest(record),
        )

    @property
    def accepted(self) -> bool:
        """Whether the change is in force from its version on."""
        return not self.problems


@attrs.frozen
class ConfigState:
    """Everything that replay derives from the log.

    Attributes:
        snapshot: The configuration in force.
        decisions: What was decided, by change id, oldest first and bounded.
    """

    snapshot: Snapshot = attrs.field(factory=Snapshot)
    decisions: Mapping[str, ChangeDecision] = attrs.field(
        factory=lambda: MappingProxyType({})
    )


def operations_digest(record: ChangeRecord) -> int:
    """Returns a digest of what a change does, the same on every node.

    It tells a change that is sent again from another change that was given
    the same id by mistake: answering the second with the verdict on the first
    would tell an operator that something is in force which never was.
    """
    operations = [item.to_wire() for item in record.operations]
    return xxhash.xxh3_64_intdigest(msgpack.packb(operations)) & _DIGEST_MASK


def replay_change(
    state: ConfigState, offset: int, record: ChangeRecord
) -> ConfigState:
    """Applies one change record.

    Every node runs this same pure function over the same records in the same
    order, so all agree on each verdict without asking each other.

    Args:
        state: State before the record; its version must equal the offset.
        offset: The record's offset in the log.
        record: The change.

    Returns:
        The state after the record. A rejected or repeated change moves the
        version on and leaves every object as it was.

    Raises:
        ValueError: If the record is not the next one.
    """
    if offset != state.snapshot.version:
        raise ValueError(
            f"offset {offset} does not follow version {state.snapshot.version}"
        )
    if record.change_id in state.decisions:
        return skip_record(state, offset)
    return _decide(state, offset, record)


def advance(
    state: ConfigState, offset: int, record: ChangeRecord | None
) -> ConfigState:
    """Takes one record as it arrives, from the log or from a peer.

    Pushes cross each other, arrive twice or after a gap. Taking one out of
    order would make this node decide on another configuration than the others
    did; only the record that follows the version is applied.

    Args:
        state: State before.
        offset: The record's offset in the log.
        record: The change; None for a record that changes nothing.

    Returns:
        The state after, the same object where the record is not the next one.
    """
    if offset != state.snapshot.version:
        return state
    if record is None:
        return skip_record(state, offset)
    return replay_change(state, offset, record)


def skip_record(state: ConfigState, offset: int) -> ConfigState:
    """Moves past a record that changes nothing."""
    moved = attrs.evolve(state.snapshot, version=offset + 1)
    return attrs.evolve(state, snapshot=moved)


def _decide(
    state: ConfigState, offset: int, record: ChangeRecord
) -> ConfigState:
    version = offset + 1
    match evaluate(state.snapshot, version, record):
        case Success(objects):
            verdict = ChangeDecision.of(version, record)
        case Failure(problems):
            verdict = ChangeDecision.of(version, record, problems)
            objects = state.snapshot.objects
    return ConfigState(
        snapshot=Snapshot(version, objects),
        decisions=_remember(state.decisions, verdict),
    )


def evaluate(
    snapshot: Snapshot, version: int, record: ChangeRecord
) -> Result[Mapping[ObjectKey, VersionedObject], tuple[Problem, ...]]:
    """Works out the configuration that a change leads to.

    Args:
        snapshot: Configuration before the change.
        version: Version that the change would get.
        record: The change.

    Returns:
        Every object after the change, or the problems that reject it whole.
    """
    if not record.operations:
        empty = Problem(
            ProblemKind.EMPTY_CHANGE, "", "a change needs an operation"
        )
        return Failure((empty,))
    objects = _copied(snapshot.objects)
    problems: list[Problem] = []
    for operation in record.operations:
        problem = _apply_operation(objects, operation, version)
        if problem is not None:
            problems.append(problem)
    problems.extend(check_touched(objects, _touched(record)))
    if problems:
        return Failure(tuple(problems))
    return Success(MappingProxyType(objects))


def _touched(record: ChangeRecord) -> list[ObjectKey]:
    values = map(operation_object, record.operations)
    keys = [object_key(value) for value in values if value is not None]
    return list(dict.fromkeys(keys))


def _copied(items: Mapping[KeyT, ValueT]) -> dict[KeyT, ValueT]:
    # Copying through the read-only view would hash every key again.
    if isinstance(items, MappingProxyType):
        return items.copy()
    return dict(items)


def _apply_operation(
    objects: dict[ObjectKey, VersionedObject],
    operation: OperationRecord,
    version: int,
) -> Problem | None:
    value = operation_object(operation)
    if value is None:
        return Problem(
            ProblemKind.MALFORMED_OPERATION,
            "",
            "an operation needs exactly one of service, upstream and route",
        )
    key = object_key(value)
    found = objects.get(key)
    problem = _check_revision(key, found, operation.expected_revision)
    if problem is not None:
        return problem
    if operation.kind == "put":
        objects[key] = VersionedObject(value, version)
        return None
    if found is None:
        return Problem(ProblemKind.NOT_FOUND, str(key), "does not exist")
    del objects[key]
    return None


def _check_revision(
    key: ObjectKey, found: VersionedObject | None, expected: int
) -> Problem | None:
    # Two operators who read the same route and both write it would silently
    # undo each other; the one whose record comes later in the log sees that
    # the revision has moved and is rejected whole.
    current = found.revision if found else MUST_NOT_EXIST
    if expected in (ANY_REVISION, current):
        return None
    return Problem(
        ProblemKind.REVISION_MISMATCH,
        str(key),
        f"expected revision {expected}, it is at {current}",
    )


def _remember(
    verdicts: Mapping[str, ChangeDecision], verdict: ChangeDecision
) -> Mapping[str, ChangeDecision]:
    kept = _copied(verdicts)
    kept[verdict.change_id] = verdict
    while len(kept) > MAX_AUDIT_ENTRIES:
        del kept[next(iter(kept))]
    return MappingProxyType(kept)
