"""The configuration store applies records and restores snapshots."""

import attrs
import msgpack
import pytest

from pomelobank_core import ConfigState, operations_digest, snapshot_record
from pomelobank_node._config_store import (
    MAX_RECENT_BYTES,
    MAX_RECENT_RECORDS,
    ConfigStore,
    RecentRecords,
)
from pomelobank_schema import encode
from pomelobank_schema.generated.records import (
    ChangeRecord,
    OperationRecord,
    ServiceObject,
    SnapshotRecord,
    WorkspaceObject,
)

UNKNOWN_KIND = msgpack.packb([99, "from the future"])


def change(change_id: str) -> ChangeRecord:
    service = ServiceObject(name=change_id)
    operation = OperationRecord(kind="put", service=service)
    return ChangeRecord(change_id=change_id, operations=(operation,))


def store_with(*items: bytes) -> ConfigStore:
    store = ConfigStore()
    for offset, data in enumerate(items):
        store.apply(offset, data)
    return store


@pytest.mark.parametrize(
    ("offset", "applied"),
    [
        pytest.param(0, False, id="repeated"),
        pytest.param(1, True, id="next"),
        pytest.param(2, False, id="after-a-gap"),
    ],
)
def test_only_the_next_record_is_applied(offset: int, applied: bool) -> None:
    """A record arrives again, in order, or after missing records.

    If the node applied any but the next record, its configuration would differ
    from that of other nodes.
    """
    store = store_with(encode(change("a")))
    assert store.apply(offset, encode(change("b"))) is applied
    assert store.version == 1 + applied


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xc1", id="not-msgpack"),
        pytest.param(msgpack.packb([1, 5]), id="wrong-type"),
        pytest.param(msgpack.packb([1, ""]), id="no-change-id"),
        pytest.param(msgpack.packb([3, -1]), id="half-a-snapshot"),
    ],
)
def test_unreadable_records_are_skipped(data: bytes) -> None:
    """A broken client writes invalid bytes into the configuration stream.

    A node that stopped at such a record would never apply a change again.
    """
    store = store_with(data, encode(change("a")))
    assert store.version == 2
    assert list(store.state.decisions) == ["a"]


def test_a_record_of_a_newer_program_stops_the_replay() -> None:
    """During an upgrade a newer node writes a record of an unknown kind.

    If this node skipped the record, or restored a snapshot from after it, the
    node would route differently from newer nodes, and nothing would report
    that.
    """
    store = store_with(encode(change("a")), UNKNOWN_KIND)
    assert (store.version, store.blocked) == (1, True)
    assert not store.apply(2, encode(change("b")))
    assert not store.restore(SnapshotRecord(as_of=9))
    assert store.version == 1


@pytest.mark.parametrize(
    ("record", "restored"),
    [
        pytest.param(SnapshotRecord(as_of=9), True, id="newer"),
        pytest.param(SnapshotRecord(as_of=1), False, id="level"),
        pytest.param(SnapshotRecord(as_of=0), False, id="older"),
        pytest.param(SnapshotRecord(as_of=9, format=2), False, id="format"),
    ],
)
def test_only_newer_snapshots_are_restored(
    record: SnapshotRecord, restored: bool
) -> None:
    """A snapshot may be outdated, or written by a newer program."""
    store = store_with(encode(change("a")))
    assert store.restore(record) is restored
    assert store.version == (9 if restored else 1)


def test_a_snapshot_that_differs_from_the_state_is_counted() -> None:
    """A snapshot in the log disagrees with the state that replay reached.

    The count shows that two nodes derived different states from the log.
    """
    store = store_with(encode(change("a")))
    matching = snapshot_record(store.state)
    store.apply(1, encode(matching))
    assert store.mismatches == 0
    differing = attrs.evolve(matching, as_of=2, objects=())
    store.apply(2, encode(differing))
    assert (store.version, store.mismatches) == (3, 1)


def test_a_snapshot_is_encoded_once_per_version() -> None:
    """Many restarted peers need a snapshot at the same time.

    Encoding the snapshot for each peer would delay requests.
    """
    store = store_with(encode(change("a")))
    first = store.encoded_snapshot("n", 1)
    assert store.encoded_snapshot("n", 2) is first
    store.apply(1, encode(change("b")))
    assert store.encoded_snapshot("n", 3) != first


def test_recent_records_are_bounded() -> None:
    """Guards against many or large records that fill the node's memory."""
    recent = RecentRecords()
    for offset in range(MAX_RECENT_RECORDS + 10):
        recent.add(offset, b"x")
    assert recent.first_offset == 10
    assert recent.since(9, 5) == ()
    assert len(recent.since(10, 5)) == 5
    recent.add(recent.first_offset + MAX_RECENT_RECORDS, b"y" * 2**22)
    assert recent.size_bytes <= MAX_RECENT_BYTES
    recent.add(5000, b"z")
    assert (recent.first_offset, recent.records) == (5000, [b"z"])


def test_the_digest_distinguishes_changes_with_the_same_id() -> None:
    """A repeated change has the same digest; another change does not."""
    first = change("a")
    again = attrs.evolve(first, at_ms=5, author="somebody else")
    other = attrs.evolve(first, operations=change("b").operations)
    assert operations_digest(first) == operations_digest(again)
    assert operations_digest(first) != operations_digest(other)
    assert ConfigState().decisions == {}


def test_only_a_changed_workspace_builds_a_new_table() -> None:
    """Replay at the start of a node must not index all keys for each record."""
    workspace = WorkspaceObject(name="acme", key_digests=("ab" * 32,))
    put = OperationRecord(workspace=workspace)
    record = ChangeRecord(change_id="put", operations=(put,))
    store = store_with(encode(record))
    table = store.workspaces
    assert table.by_key_digest[b"\xab" * 32].name == "acme"
    store.apply(1, encode(change("other")))
    assert store.workspaces is table
    delete = OperationRecord(
        kind="delete", workspace=workspace, expected_revision=-1
    )
    record = ChangeRecord(change_id="delete", operations=(delete,))
    store.apply(2, encode(record))
    assert not store.workspaces.enabled
