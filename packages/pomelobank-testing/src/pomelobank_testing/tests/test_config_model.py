"""Model checking of the replicated configuration.

Each search is complete within its bounds. Each counterexample is what the
checker found with one guard removed, the shortest there is; walked with all
guards in place, the same steps do no harm.
"""

from types import MappingProxyType

import attrs
import minicheck
import pytest
from returns.result import Result

from pomelobank_core import (
    ConfigState,
    MinServingVersion,
    Problem,
    advance,
    restore_snapshot,
    snapshot_record,
)
from pomelobank_schema.generated.records import ChangeRecord, SnapshotRecord
from pomelobank_testing._config_model import (
    Bounds,
    ConfigModel,
    FunctionsUnderTest,
    ModelState,
    service_change,
)

BLIND = {"x": service_change("x"), "y": service_change("y")}
RACING = {"x": service_change("x", 0), "y": service_change("y", 0)}
BROKEN = {"x": service_change("x", 0), "z": service_change("z", broken=True)}
MAX_STATES = 200_000


@pytest.mark.parametrize(
    ("changes", "bounds", "states"),
    [
        pytest.param(
            BLIND,
            Bounds({"x": 2}, snapshots=1, restarts=1, trims=1),
            38_264,
            id="repeated-change-snapshot-trim-restarts",
        ),
        pytest.param(
            BLIND,
            Bounds({"x": 2, "y": 1}, snapshots=1, restarts=0, trims=1),
            17_272,
            id="repeated-and-crossed-changes-snapshot-trim",
        ),
        pytest.param(
            RACING,
            Bounds({"x": 1, "y": 1}, snapshots=1, restarts=0, trims=2),
            5_334,
            id="racing-operators-snapshot-trim",
        ),
        pytest.param(
            BROKEN,
            Bounds({"x": 1, "z": 1}, snapshots=0, restarts=1, trims=0),
            1_835,
            id="bad-last-part-restarts",
        ),
    ],
)
def test_invariants_hold(
    changes: dict[str, ChangeRecord], bounds: Bounds, states: int
) -> None:
    protocol = ConfigModel(changes, bounds).protocol()
    result = minicheck.check_safety(protocol, max_states=MAX_STATES)
    assert result["exhaustive"]
    holds = {
        name: found["holds"] for name, found in result["properties"].items()
    }
    assert holds == dict.fromkeys(holds, True)
    assert result["reachable_states"] == states


def out_of_order(
    state: ConfigState, offset: int, record: ChangeRecord | None
) -> ConfigState:
    moved = attrs.evolve(state.snapshot, version=offset)
    return advance(attrs.evolve(state, snapshot=moved), offset, record)


def forget_change_ids(
    state: ConfigState, offset: int, record: ChangeRecord | None
) -> ConfigState:
    if record is None or offset != state.snapshot.version:
        return advance(state, offset, record)
    others = {
        change_id: verdict
        for change_id, verdict in state.decisions.items()
        if change_id != record.change_id
    }
    fresh = attrs.evolve(state, decisions=MappingProxyType(others))
    return advance(fresh, offset, record)


def forget_audit(state: ConfigState) -> SnapshotRecord:
    return attrs.evolve(snapshot_record(state), audit=())


def take_any_snapshot(
    _: ConfigState, record: SnapshotRecord
) -> Result[ConfigState, tuple[Problem, ...]]:
    return restore_snapshot(record)


def serve_at_once(_: MinServingVersion, __: int) -> bool:
    return True


def trust_new_peers(floor: MinServingVersion, version: int) -> bool:
    if floor.known_version:
        floor.first_ready_ms = 0
    return floor.update(version, 0)


def small(**limits: int) -> Bounds:
    return Bounds({"x": 2, "y": 1}, **{**NOTHING, **limits})


NOTHING = {"snapshots": 0, "restarts": 0, "trims": 0}

COUNTEREXAMPLES = [
    pytest.param(
        FunctionsUnderTest(advance=out_of_order),
        small(),
        "no_node_goes_back",
        [
            "append of x takes effect",
            "append of x takes effect",
            "node 0 reads",
            "node 0 reads",
            "push of 0 reaches node 0",
        ],
        id="push-out-of-order",
    ),
    pytest.param(
        FunctionsUnderTest(advance=forget_change_ids),
        small(),
        "replay_is_as_specified",
        [
            "append of x takes effect",
            "append of x takes effect",
            "node 0 reads",
            "node 0 reads",
        ],
        id="repeated-change-id",
    ),
    pytest.param(
        FunctionsUnderTest(snapshot=forget_audit),
        small(snapshots=1),
        "replay_is_as_specified",
        [
            "append of x takes effect",
            "node 0 reads",
            "a snapshot of version 1 is made",
            "snapshot of version 1 reaches node 1",
        ],
        id="snapshot-without-change-ids",
    ),
    pytest.param(
        FunctionsUnderTest(adopt=take_any_snapshot),
        small(snapshots=1),
        "no_node_goes_back",
        [
            "node 0 reads",
            "append of x takes effect",
            "a snapshot of version 0 is made",
            "node 0 reads",
            "snapshot of version 0 reaches node 0",
        ],
        id="late-snapshot",
    ),
    pytest.param(
        FunctionsUnderTest(ready=serve_at_once),
        small(restarts=1),
        "no_restart_serves_older",
        [
            "append of x takes effect",
            "node 0 reads",
            "node 0 restarts",
            "digest of 1 reaches node 0",
        ],
        id="no-floor",
    ),
    pytest.param(
        FunctionsUnderTest(ready=trust_new_peers),
        small(restarts=1),
        "no_restart_serves_older",
        [
            "append of x takes effect",
            "append of x takes effect",
            "node 0 reads",
            "node 0 reads",
            "node 1 reads",
            "node 0 restarts",
            "push of 0 reaches node 0",
        ],
        id="new-peers-as-witnesses",
    ),
    # No guard but a limit: a node that dies within the moment in which its
    # news travels, while the log is down, cannot learn how new it was.
    pytest.param(
        FunctionsUnderTest(announced=False),
        small(restarts=1),
        "no_restart_serves_older",
        [
            "node 0 reads",
            "append of x takes effect",
            "node 1 reads",
            "node 1 restarts",
            "digest of 0 reaches node 1",
        ],
        id="died-before-telling",
    ),
]


@pytest.mark.parametrize(
    ("rules", "bounds", "invariant", "expected"), COUNTEREXAMPLES
)
def test_counterexample_without_a_guard(
    rules: FunctionsUnderTest,
    bounds: Bounds,
    invariant: str,
    expected: list[str],
) -> None:
    model = ConfigModel(BLIND, bounds, rules)
    check = model.invariants()[invariant]
    assert not check(walk(model, expected))
    guarded = ConfigModel(BLIND, bounds)
    assert guarded.invariants()[invariant](walk(guarded, expected))


@pytest.mark.parametrize(
    ("rules", "bounds", "invariant", "expected"), COUNTEREXAMPLES
)
def test_the_checker_finds_it(
    rules: FunctionsUnderTest,
    bounds: Bounds,
    invariant: str,
    expected: list[str],
) -> None:
    changes = {"x": BLIND["x"]}
    sends = {"x": bounds.sends["x"]}
    smaller = attrs.evolve(bounds, sends=sends)
    protocol = ConfigModel(changes, smaller, rules).protocol()
    result = minicheck.check_safety(protocol, max_states=MAX_STATES)
    found = result["properties"][invariant]
    assert found["holds"] is False
    labels = [step["label"] for step in found["counterexample"][1:]]
    assert len(labels) == len(expected)


def walk(model: ConfigModel, labels: list[str]) -> ModelState:
    world = ModelState()
    for label in labels:
        world = dict(model.steps(world)).get(label, world)
    return world
