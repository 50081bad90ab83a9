"""Converts between operators' messages and records of the log."""

from collections.abc import Iterable

from pomelobank_core import Problem, VersionedObject
from pomelobank_schema import SchemaError
from pomelobank_schema.generated import operator_pb2 as pb
from pomelobank_schema.generated.records import (
    ChangeRecord,
    OperationRecord,
    RouteObject,
    ServiceObject,
    UpstreamObject,
    WeightedDestination,
    WorkspaceObject,
)
from pomelobank_schema.operator_messages import object_message

# Time-out of a route whose message does not set one.
_DEFAULT_ROUTE_TIMEOUT_MS = 5000
_KIND_NAMES = {pb.Operation.PUT: "put", pb.Operation.DELETE: "delete"}


def change_record(
    request: pb.ApplyRequest, change_id: str, at_ms: int
) -> ChangeRecord:
    """Converts an operator's change to a record of the log.

    Args:
        request: The operator's request.
        change_id: Id of the change.
        at_ms: Time of the request, in ms since the Unix epoch.

    Returns:
        The record.

    Raises:
        SchemaError: If a field of an object is outside its limits.
    """
    return ChangeRecord(
        change_id=change_id,
        author=request.author,
        reason=request.reason,
        at_ms=at_ms,
        operations=tuple(map(_operation, request.operations)),
    )


def _operation(operation: pb.Operation) -> OperationRecord:
    message = operation.object
    return OperationRecord(
        kind=_KIND_NAMES.get(operation.kind, ""),
        service=_service(message) if message.HasField("service") else None,
        upstream=_upstream(message) if message.HasField("upstream") else None,
        route=_route(message.route) if message.HasField("route") else None,
        expected_revision=operation.expected_revision,
        workspace=(
            _workspace(message.workspace)
            if message.HasField("workspace")
            else None
        ),
    )


def _service(message: pb.ConfigObject) -> ServiceObject:
    return ServiceObject(
        name=message.service.name, description=message.service.description
    )


def _upstream(message: pb.ConfigObject) -> UpstreamObject:
    return UpstreamObject(
        name=message.upstream.name, service=message.upstream.service
    )


def _route(route: pb.Route) -> RouteObject:
    return RouteObject(
        name=route.name,
        service=route.service,
        path_prefix=route.path_prefix,
        destinations=tuple(
            WeightedDestination(upstream=item.upstream, weight=item.weight)
            for item in route.destinations
        ),
        timeout_ms=route.timeout_ms or _DEFAULT_ROUTE_TIMEOUT_MS,
        traffic_class=route.traffic_class or "interactive",
        idempotent_methods=tuple(route.idempotent_methods),
        repeatable=route.repeatable,
        max_attempts=route.max_attempts,
        aim_ms=route.aim_ms,
        priority=route.priority,
        allow_anonymous=route.allow_anonymous,
    )


def _workspace(workspace: pb.Workspace) -> WorkspaceObject:
    try:
        return WorkspaceObject(
            name=workspace.name,
            key_digests=tuple(workspace.key_digests),
            priority=workspace.priority,
            rate_per_s=workspace.rate_per_s,
            burst=workspace.burst,
        )
    except SchemaError as error:
        # A transaction may contain many workspaces, so the name of the field
        # alone does not tell which one is invalid.
        path = f"workspace/{workspace.name}: {error.field_path}"
        raise SchemaError(error.kind, path, error.message) from None


def config_object(item: VersionedObject) -> pb.ConfigObject:
    """Converts an object to the message that operators receive."""
    message = object_message(item.value)
    message.revision = item.revision
    return message


def problem_messages(problems: Iterable[Problem]) -> list[pb.ChangeProblem]:
    """Converts problems to the messages that operators receive."""
    return [
        pb.ChangeProblem(
            kind=problem.kind.value,
            object=problem.object,
            message=problem.message,
        )
        for problem in problems
    ]
