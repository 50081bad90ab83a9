"""The configuration as a state machine that replays records of the log."""

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
    check_affected_objects,
)
from pomelobank_schema.generated.records import ChangeRecord, OperationRecord

KeyT = TypeVar("KeyT")
ValueT = TypeVar("ValueT")

# Number of recent changes in the audit trail. A repeated change id is only
# recognised within these changes. At 420 changes a day, 2,000 entries cover
# four days; at about 1 KB an entry, a node holds at most 2 MB of entries.
MAX_AUDIT_ENTRIES = 2000
_DIGEST_MASK = (1 << 63) - 1


@attrs.frozen
class ChangeDecision:
    """Decision of replay about a change.

    The decision does not contain the change's operations, so that a snapshot
    with all decisions stays small.

    Attributes:
        version: Version from which the change is in force: its offset plus one.
        change_id: Unique id of the change.
        author: Operator who requested the change.
        reason: Reason that the operator gave.
        at_ms: Time at which a node appended the change, in ms since the epoch.
        objects: Keys of the objects in the change, as text.
        problems: Reasons for the rejection; empty if the change was accepted.
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
        """Returns the decision about a change record."""
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
    """State that replay derives from the log.

    Attributes:
        snapshot: The configuration in force.
        decisions: Decisions by change id, oldest first; at most
            `MAX_AUDIT_ENTRIES`.
    """

    snapshot: Snapshot = attrs.field(factory=Snapshot)
    decisions: Mapping[str, ChangeDecision] = attrs.field(
        factory=lambda: MappingProxyType({})
    )


def operations_digest(record: ChangeRecord) -> int:
    """Returns a digest of a change's operations, the same on every node.

    The digest distinguishes a repeated change from another change with the same
    id by mistake. If a node returned the decision about the first change for
    the second one, an operator would believe that the second is in force.
    """
    operations = [_digested_fields(item) for item in record.operations]
    return xxhash.xxh3_64_intdigest(msgpack.packb(operations)) & _DIGEST_MASK


def _digested_fields(operation: OperationRecord) -> list[object]:
    # Fields that an earlier program does not know are None where the change
    # does not use them. Without them the digest is the earlier program's, so
    # a change repeated after an update is not taken for another change.
    fields = operation.to_wire()
    while fields and fields[-1] is None:
        fields.pop()
    return fields


def replay_change(
    state: ConfigState, offset: int, record: ChangeRecord
) -> ConfigState:
    """Applies one change record.

    Every node runs this pure function on the same records in the same order, so
    that all nodes make the same decisions without messages.

    Args:
        state: State before the record; its version must equal the offset.
        offset: The record's offset in the log.
        record: The change.

    Returns:
        The state after the record. A rejected or repeated change increases the
        version and changes no object.

    Raises:
        ValueError: If the record is not the next one.
    """
    if offset != state.snapshot.version:
        raise ValueError(
            f"cannot apply the record at offset {offset}: the next offset is"
            f" {state.snapshot.version}"
        )
    if record.change_id in state.decisions:
        return skip_record(state, offset)
    return _decide(state, offset, record)


def advance(
    state: ConfigState, offset: int, record: ChangeRecord | None
) -> ConfigState:
    """Applies a record from the log or a peer if the record is the next one.

    Pushes from peers may arrive out of order, twice or after a gap. A node that
    applied records out of order would derive a different configuration than
    the other nodes. Any record but the one at the state's version is ignored.

    Args:
        state: State before the record.
        offset: The record's offset in the log.
        record: The change; None for a record that changes nothing.

    Returns:
        The state after the record; the same object if the record is not the
        next one.
    """
    if offset != state.snapshot.version:
        return state
    if record is None:
        return skip_record(state, offset)
    return replay_change(state, offset, record)


def skip_record(state: ConfigState, offset: int) -> ConfigState:
    """Advances the version past a record that changes nothing."""
    advanced = attrs.evolve(state.snapshot, version=offset + 1)
    return attrs.evolve(state, snapshot=advanced)


def _decide(
    state: ConfigState, offset: int, record: ChangeRecord
) -> ConfigState:
    version = offset + 1
    match evaluate(state.snapshot, version, record):
        case Success(objects):
            decision = ChangeDecision.of(version, record)
        case Failure(problems):
            decision = ChangeDecision.of(version, record, problems)
            objects = state.snapshot.objects
    return ConfigState(
        snapshot=Snapshot(version, objects),
        decisions=_add_decision(state.decisions, decision),
    )


def evaluate(
    snapshot: Snapshot, version: int, record: ChangeRecord
) -> Result[Mapping[ObjectKey, VersionedObject], tuple[Problem, ...]]:
    """Computes the configuration that results from a change.

    Args:
        snapshot: Configuration before the change.
        version: Version that the change would get.
        record: The change.

    Returns:
        All objects after the change, or the problems for which the whole change
        is rejected.
    """
    if not record.operations:
        empty = Problem(
            ProblemKind.EMPTY_CHANGE, "", "a change needs an operation"
        )
        return Failure((empty,))
    objects = _mutable_copy(snapshot.objects)
    problems: list[Problem] = []
    for operation in record.operations:
        problem = _apply_operation(objects, operation, version)
        if problem is not None:
            problems.append(problem)
    problems.extend(check_affected_objects(objects, _touched_keys(record)))
    if problems:
        return Failure(tuple(problems))
    return Success(MappingProxyType(objects))


def _touched_keys(record: ChangeRecord) -> list[ObjectKey]:
    values = map(operation_object, record.operations)
    keys = [object_key(value) for value in values if value is not None]
    return list(dict.fromkeys(keys))


def _mutable_copy(items: Mapping[KeyT, ValueT]) -> dict[KeyT, ValueT]:
    # MappingProxyType.copy() copies the underlying dictionary with its hashes;
    # dict() would compute the hash of every key again.
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
            "an operation needs exactly one of service, upstream, route and"
            " workspace",
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
    # Without this check, two operators who read and write the same route would
    # silently overwrite each other's change. With the check, the change that is
    # later in the log names an outdated revision and is rejected as a whole.
    current = found.revision if found else MUST_NOT_EXIST
    if expected in (ANY_REVISION, current):
        return None
    return Problem(
        ProblemKind.REVISION_MISMATCH,
        str(key),
        f"expected revision {expected}, it is at {current}",
    )


def _add_decision(
    decisions: Mapping[str, ChangeDecision], decision: ChangeDecision
) -> Mapping[str, ChangeDecision]:
    kept = _mutable_copy(decisions)
    kept[decision.change_id] = decision
    while len(kept) > MAX_AUDIT_ENTRIES:
        del kept[next(iter(kept))]
    return MappingProxyType(kept)
