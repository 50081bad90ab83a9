"""Snapshots contain the complete state and are written within retention."""

import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from pomelobank_core import (
    ConfigState,
    SnapshotSchedule,
    replay_change,
    restore_snapshot,
    skip_record,
    snapshot_record,
    usable_snapshot,
)
from pomelobank_schema import decode, encode
from pomelobank_schema.generated import records
from pomelobank_schema.generated.records import (
    ChangeRecord,
    OperationRecord,
    RouteObject,
    ServiceObject,
    SnapshotRecord,
    UpstreamObject,
    WeightedDestination,
    WorkspaceObject,
)
from pomelobank_schema.generated.settings import SnapshotSettings

ROUTE = RouteObject(
    name="r",
    service="s",
    path_prefix="/r",
    destinations=(WeightedDestination(upstream="u", weight=1),),
)
OBJECTS = (
    {"service": ServiceObject(name="s")},
    {"upstream": UpstreamObject(name="u", service="s")},
    {"route": ROUTE},
    {
        "workspace": WorkspaceObject(
            name="w", key_digests=("ab" * 32,), rate_per_s=2.5, burst=3
        )
    },
)


@st.composite
def change(draw: st.DrawFn) -> ChangeRecord:
    operations = draw(
        st.lists(
            st.builds(
                lambda kind, item, expected: OperationRecord(
                    kind=kind, expected_revision=expected, **item
                ),
                st.sampled_from(["put", "delete"]),
                st.sampled_from(OBJECTS),
                st.integers(-1, 2),
            ),
            max_size=3,
        )
    )
    return ChangeRecord(
        change_id=draw(st.sampled_from("abcdef")),
        author="ada",
        operations=tuple(operations),
    )


def replay(state: ConfigState, changes: list[ChangeRecord]) -> ConfigState:
    for record in changes:
        state = replay_change(state, state.snapshot.version, record)
    return state


def encode_and_decode(record: SnapshotRecord) -> SnapshotRecord:
    found = decode(encode(record), records.KINDS)
    assert isinstance(found, SnapshotRecord)
    return found


@settings(max_examples=150, deadline=None)
@given(st.lists(change(), max_size=12), st.integers(0, 12))
def test_replay_from_a_snapshot_equals_full_replay(
    changes: list[ChangeRecord], cut: int
) -> None:
    """A node that was stopped for a long time restarts from a snapshot.

    If the snapshot lacked a change id or a rejection, the node would apply a
    repeated change that all other nodes skip. The node's routes would then
    permanently differ.
    """
    full = replay(ConfigState(), changes)
    first = replay(ConfigState(), changes[:cut])
    record = encode_and_decode(snapshot_record(first, "n", 5))
    restored = restore_snapshot(record).unwrap()
    assert replay(restored, changes[cut:]) == full


def test_a_snapshot_with_a_bad_route_is_refused() -> None:
    """A faulty writer omits a service that a route refers to.

    Requests of that route could not be forwarded.
    """
    changes = [
        ChangeRecord(
            change_id="a",
            operations=tuple(
                OperationRecord(kind="put", **item) for item in OBJECTS
            ),
        )
    ]
    record = snapshot_record(replay(ConfigState(), changes))
    broken = attrs.evolve(record, objects=record.objects[1:])
    assert isinstance(restore_snapshot(broken), Failure)


@pytest.mark.parametrize(
    ("as_of", "offset", "first_kept", "version", "usable"),
    [
        pytest.param(10, 10, 8, 3, True, id="fresh"),
        pytest.param(8, 12, 8, 3, True, id="just-kept"),
        pytest.param(7, 12, 8, 3, False, id="records-missing-after-it"),
        pytest.param(13, 12, 8, 3, False, id="ahead-of-its-offset"),
        pytest.param(10, 12, 8, 10, False, id="not-newer"),
        pytest.param(10, 12, 8, 11, False, id="older-than-own"),
    ],
)
def test_usable_snapshot(
    as_of: int, offset: int, first_kept: int, version: int, usable: bool
) -> None:
    state = ConfigState()
    for at in range(as_of):
        state = skip_record(state, at)
    record = snapshot_record(state)
    found = usable_snapshot(record, offset, first_kept, version)
    assert (found is not None) is usable


RETENTION = SnapshotSettings(
    retention_records=90, retention_ms=90_000, rank_delay_ms=1000
)


def schedules(count: int) -> dict[str, SnapshotSchedule]:
    return {
        f"n{index}": SnapshotSchedule(
            RETENTION, f"n{index}", random.Random(index)
        )
        for index in range(count)
    }


@pytest.mark.parametrize(
    ("version", "now_ms", "due"),
    [
        pytest.param(29, 0, False, id="few-records"),
        pytest.param(30, 0, True, id="a-third-of-the-records"),
        pytest.param(1, 29_999, False, id="young"),
        pytest.param(1, 30_000, True, id="a-third-of-the-time"),
        pytest.param(0, 90_000, False, id="no-records"),
    ],
)
def test_snapshot_is_due(version: int, now_ms: int, due: bool) -> None:
    schedule = schedules(1)["n0"]
    schedule.should_write(1, ["n0"], 0)
    schedule.due_ms = None
    schedule.should_write(version, ["n0"], now_ms)
    assert (schedule.due_ms is not None) is due


def test_only_one_node_writes_a_snapshot() -> None:
    nodes = schedules(50)
    writers = []
    for now_ms in range(0, 5000, 100):
        for name, schedule in nodes.items():
            if schedule.should_write(40, list(nodes), now_ms):
                writers.append(name)
        # The other nodes read the snapshot a little later.
        if writers and now_ms % 500 == 0:
            record = SnapshotRecord(as_of=40, at_ms=now_ms)
            for other in nodes.values():
                other.on_snapshot(record, now_ms, now_ms)
    assert len(set(writers)) == 1


def test_a_dead_writer_is_replaced() -> None:
    """The node whose turn comes first dies before it writes a snapshot.

    If no other node wrote a snapshot, the log would trim records that no
    snapshot contains. A node that starts later could then not get the
    configuration.
    """
    nodes = schedules(3)
    live = list(nodes)
    first = min(
        nodes,
        key=lambda name: (
            nodes[name].should_write(40, live, 0),
            nodes[name].due_ms or 0,
        ),
    )
    remaining = [item for name, item in nodes.items() if name != first]
    assert any(item.should_write(40, live, 4000) for item in remaining)


def test_a_fast_clock_does_not_delay_the_next_snapshot() -> None:
    """A writer's wall clock is far ahead, so its snapshot has a negative age.

    If nodes used that age, no node would write the next snapshot in time.
    """
    schedule = schedules(1)["n0"]
    schedule.on_snapshot(SnapshotRecord(as_of=5, at_ms=10**15), 1000, 1000)
    assert not schedule.should_write(6, ["n0"], 30_999)
    assert schedule.due_ms is None
    schedule.should_write(6, ["n0"], 31_000)
    assert schedule.due_ms is not None


def test_a_fleet_of_short_lived_nodes_writes_snapshots() -> None:
    """Every node is replaced before a third of the retention has passed.

    If each new node measured the age from its own start, no node would write a
    snapshot, the log would trim records, and no further node could start.
    """
    age_ms = 0
    for _ in range(4):
        schedule = schedules(1)["n0"]
        schedule.on_snapshot_age(0, age_ms, 0)
        assert not schedule.should_write(1, ["n0"], 0)
        age_ms += 9_000
    schedule.should_write(1, ["n0"], 9_000)
    assert schedule.due_ms is not None
