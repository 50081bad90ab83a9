"""Converts objects of records and documents to operators' messages."""

import functools

from pomelobank_schema.generated import operator_pb2 as pb
from pomelobank_schema.generated.records import (
    RouteObject,
    ServiceObject,
    UpstreamObject,
    WorkspaceObject,
)


@functools.singledispatch
def object_message(
    value: ServiceObject | UpstreamObject | RouteObject | WorkspaceObject,
) -> pb.ConfigObject:
    """Returns the operators' message for an object; its revision is unset."""
    raise TypeError(
        f"no operators' message for an object of type {type(value).__name__}"
    )


@object_message.register
def _(value: ServiceObject) -> pb.ConfigObject:
    service = pb.Service(name=value.name, description=value.description)
    return pb.ConfigObject(service=service)


@object_message.register
def _(value: UpstreamObject) -> pb.ConfigObject:
    upstream = pb.Upstream(name=value.name, service=value.service)
    return pb.ConfigObject(upstream=upstream)


@object_message.register
def _(value: RouteObject) -> pb.ConfigObject:
    route = pb.Route(
        name=value.name,
        service=value.service,
        path_prefix=value.path_prefix,
        destinations=[
            pb.Destination(upstream=item.upstream, weight=item.weight)
            for item in value.destinations
        ],
        timeout_ms=value.timeout_ms,
        traffic_class=value.traffic_class,
        idempotent_methods=value.idempotent_methods,
        repeatable=value.repeatable,
        max_attempts=value.max_attempts,
        aim_ms=value.aim_ms,
        priority=value.priority,
        allow_anonymous=value.allow_anonymous,
    )
    return pb.ConfigObject(route=route)


@object_message.register
def _(value: WorkspaceObject) -> pb.ConfigObject:
    workspace = pb.Workspace(
        name=value.name,
        key_digests=value.key_digests,
        priority=value.priority,
        rate_per_s=value.rate_per_s,
        burst=value.burst,
    )
    return pb.ConfigObject(workspace=workspace)
