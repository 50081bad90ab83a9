"""Conversion between operators' messages and records of the log."""

import pytest

from pomelobank_node._operator_messages import change_record
from pomelobank_schema import SchemaError
from pomelobank_schema.generated import operator_pb2 as pb
from pomelobank_schema.generated.records import (
    RouteObject,
    WeightedDestination,
    WorkspaceObject,
)
from pomelobank_schema.operator_messages import object_message


def test_a_route_keeps_all_fields_in_both_conversions() -> None:
    """A field that a conversion omits would be lost with the next apply."""
    route = RouteObject(
        name="stock",
        service="shop",
        path_prefix="/stock",
        destinations=(WeightedDestination(upstream="blue", weight=3),),
        timeout_ms=1200,
        traffic_class="batch",
        idempotent_methods=("GET",),
        repeatable="always",
        max_attempts=2,
        aim_ms=300,
        priority=1,
        allow_anonymous=True,
    )
    operation = pb.Operation(
        kind=pb.Operation.PUT, object=object_message(route)
    )
    request = pb.ApplyRequest(operations=[operation])
    (converted,) = change_record(request, "id", 0).operations
    assert converted.route == route


def test_a_workspace_keeps_all_fields_in_both_conversions() -> None:
    """A field that a conversion omits would be lost with the next apply."""
    workspace = WorkspaceObject(
        name="acme",
        key_digests=("ab" * 32, "cd" * 32),
        priority=2,
        rate_per_s=0.5,
        burst=7,
    )
    operation = pb.Operation(object=object_message(workspace))
    request = pb.ApplyRequest(operations=[operation])
    (converted,) = change_record(request, "id", 0).operations
    assert converted.workspace == workspace


@pytest.mark.parametrize(
    ("workspace", "path"),
    [
        pytest.param(
            pb.Workspace(name="acme", rate_per_s=-0.5),
            "workspace/acme: rate_per_s",
            id="negative-rate",
        ),
        pytest.param(
            pb.Workspace(name="acme", rate_per_s=float("nan")),
            "workspace/acme: rate_per_s",
            id="rate-is-no-number",
        ),
        pytest.param(
            pb.Workspace(name="acme", burst=-1),
            "workspace/acme: burst",
            id="negative-burst",
        ),
        pytest.param(pb.Workspace(), "workspace/: name", id="no-name"),
    ],
)
def test_the_error_names_the_workspace(
    workspace: pb.Workspace, path: str
) -> None:
    """With the field alone, an operator could not find the invalid entry."""
    operation = pb.Operation(object=pb.ConfigObject(workspace=workspace))
    with pytest.raises(SchemaError) as raised:
        change_record(pb.ApplyRequest(operations=[operation]), "id", 0)
    assert raised.value.field_path == path
