"""Snapshots carry the whole state and outlive retention."""

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


def through_the_log(record: SnapshotRecord) -> SnapshotRecord:
    found = decode(encode(record), records.KINDS)
    assert isinstance(found, SnapshotRecord)
    return found


@settings(max_examples=150, deadline=None)
@given(st.lists(change(), max_size=12), st.integers(0, 12))
def test_a_snapshot_in_the_middle_changes_nothing(
    changes: list[ChangeRecord], cut: int
) -> None:
    """A node that was away for long starts again from a snapshot.

    If it forgot a change id or a rejection, it would apply a repeated change
    that all others pass over, and route differently for good.
    """
    whole = replay(ConfigState(), changes)
    first = replay(ConfigState(), changes[:cut])
    record = through_the_log(snapshot_record(first, "n", 5))
    restored = restore_snapshot(record).unwrap()
    assert replay(restored, changes[cut:]) == whole


def test_a_snapshot_with_a_bad_route_is_refused() -> None:
    """A faulty writer could leave out a service that a route needs.

    Callers of that route would be sent nowhere.
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
        pytest.param(7, 12, 8, 3, False, id="gap-behind-it"),
        pytest.param(13, 12, 8, 3, False, id="claims-the-future"),
        pytest.param(10, 12, 8, 10, False, id="no-news"),
        pytest.param(10, 12, 8, 11, False, id="older-than-own"),
    ],
)
def test_usable(
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
        pytest.param(0, 90_000, False, id="nothing-to-keep"),
    ],
)
def test_due(version: int, now_ms: int, due: bool) -> None:
    schedule = schedules(1)["n0"]
    schedule.should_write(1, ["n0"], 0)
    schedule.due_ms = None
    schedule.should_write(version, ["n0"], now_ms)
    assert (schedule.due_ms is not None) is due


def test_one_node_writes_and_the_others_see_it() -> None:
    nodes = schedules(50)
    writers = []
    for now_ms in range(0, 5000, 100):
        for name, schedule in nodes.items():
            if schedule.should_write(40, list(nodes), now_ms):
                writers.append(name)
        # It reaches the others a little later.
        if writers and now_ms % 500 == 0:
            record = SnapshotRecord(as_of=40, at_ms=now_ms)
            for other in nodes.values():
                other.on_snapshot(record, now_ms, now_ms)
    assert len(set(writers)) == 1


def test_a_dead_writer_is_replaced() -> None:
    """The node whose turn comes first may die before it has written.

    Without a next in turn the log would drop records that no snapshot holds,
    and a node that starts later could never get the configuration.
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
    rest = [item for name, item in nodes.items() if name != first]
    assert any(item.should_write(40, live, 4000) for item in rest)


def test_a_clock_ahead_does_not_put_the_next_snapshot_off() -> None:
    schedule = schedules(1)["n0"]
    schedule.on_snapshot(SnapshotRecord(as_of=5, at_ms=10**15), 1000, 1000)
    assert not schedule.should_write(6, ["n0"], 30_999)
    assert schedule.due_ms is None
    schedule.should_write(6, ["n0"], 31_000)
    assert schedule.due_ms is not None


def test_a_fleet_that_is_replaced_all_the_time_still_writes() -> None:
    """Every node is replaced before a third of the retention has passed.

    If each new one counted from its own start, no snapshot would ever be
    written, the log would drop records, and nobody could start any more.
    """
    age_ms = 0
    for _ in range(4):
        schedule = schedules(1)["n0"]
        schedule.on_snapshot_age(0, age_ms, 0)
        assert not schedule.should_write(1, ["n0"], 0)
        age_ms += 9_000
    schedule.should_write(1, ["n0"], 9_000)
    assert schedule.due_ms is not None
