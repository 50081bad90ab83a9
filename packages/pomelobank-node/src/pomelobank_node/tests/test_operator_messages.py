"""Conversion between operators' messages and records of the log."""

from pomelobank_node._operator_messages import change_record
from pomelobank_schema.generated import operator_pb2 as pb
from pomelobank_schema.generated.records import RouteObject, WeightedDestination
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
    )
    operation = pb.Operation(
        kind=pb.Operation.PUT, object=object_message(route)
    )
    request = pb.ApplyRequest(operations=[operation])
    (converted,) = change_record(request, "id", 0).operations
    assert converted.route == route
