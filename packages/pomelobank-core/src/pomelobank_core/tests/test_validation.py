"""Checks of affected objects find the same problems as complete checks."""

from hypothesis import given, settings
from hypothesis import strategies as st

from pomelobank_core import ConfigState, check_objects, replay_change
from pomelobank_core._replay import (
    _apply_operation,
    _mutable_copy,
    _touched_keys,
)
from pomelobank_core._validation import check_affected_objects
from pomelobank_schema.generated.records import (
    ChangeRecord,
    OperationRecord,
    RouteObject,
    ServiceObject,
    UpstreamObject,
    WeightedDestination,
    WorkspaceObject,
)

NAMES = st.sampled_from("ab")
OBJECTS = st.one_of(
    st.builds(ServiceObject, name=NAMES),
    st.builds(UpstreamObject, name=NAMES, service=NAMES),
    st.builds(
        RouteObject,
        name=NAMES,
        service=NAMES,
        path_prefix=st.sampled_from(["/", "/x", "bad"]),
        destinations=st.lists(
            st.builds(
                WeightedDestination,
                upstream=NAMES,
                weight=st.integers(0, 1),
            ),
            max_size=2,
        ).map(tuple),
    ),
    st.builds(
        WorkspaceObject,
        name=NAMES,
        key_digests=st.lists(
            st.sampled_from(["ab" * 32, "AB" * 32, "cd" * 32, "bad"]),
            max_size=2,
        ).map(tuple),
    ),
)


def operation(
    kind: str,
    value: ServiceObject | UpstreamObject | RouteObject | WorkspaceObject,
) -> OperationRecord:
    return OperationRecord(
        kind=kind,
        expected_revision=-1,
        service=value if isinstance(value, ServiceObject) else None,
        upstream=value if isinstance(value, UpstreamObject) else None,
        route=value if isinstance(value, RouteObject) else None,
        workspace=value if isinstance(value, WorkspaceObject) else None,
    )


BASE = [
    operation("put", ServiceObject(name="a")),
    operation("put", UpstreamObject(name="a", service="a")),
    operation(
        "put",
        RouteObject(
            name="a",
            service="a",
            path_prefix="/",
            destinations=(WeightedDestination(upstream="a", weight=1),),
        ),
    ),
]
CHANGES = st.lists(
    st.lists(
        st.builds(
            operation, st.sampled_from(["put", "put", "delete"]), OBJECTS
        ),
        min_size=1,
        max_size=6,
    ),
    min_size=1,
    max_size=8,
)


@settings(max_examples=300, deadline=None)
@given(CHANGES)
def test_touched_check_equals_complete_check(
    changes: list[list[OperationRecord]],
) -> None:
    """A change removes an upstream that an unchanged route refers to.

    If only the changed objects were checked, the change would be accepted, and
    requests of that route could not be forwarded.
    """
    state = ConfigState()
    for offset, operations in enumerate([BASE, *changes]):
        record = ChangeRecord(
            change_id=str(offset), operations=tuple(operations)
        )
        objects = _mutable_copy(state.snapshot.objects)
        for item in operations:
            _apply_operation(objects, item, offset + 1)
        found = check_affected_objects(objects, _touched_keys(record))
        assert set(found) == set(check_objects(objects))
        state = replay_change(state, offset, record)
        assert check_objects(state.snapshot.objects) == ()
