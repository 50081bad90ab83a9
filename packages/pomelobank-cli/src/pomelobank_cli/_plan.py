"""Computes the operations that make the configuration match a document."""

import attrs

from pomelobank_cli._output import as_document
from pomelobank_schema import SchemaError, SchemaErrorKind
from pomelobank_schema.generated import operator_pb2 as pb
from pomelobank_schema.generated.records import ConfigDocument
from pomelobank_schema.operator_messages import object_message

_KINDS = ("service", "upstream", "route", "workspace")


@attrs.frozen
class PlannedStep:
    """One operation of a change and its description for operators.

    Attributes:
        mark: "+" for a created object, "~" for an updated object, "-" for a
            deleted object.
        key: The object's key, such as "route/stock".
        operation: The operation.
        before: Fields of the object before the change; empty for a created
            object.
        after: Fields of the object after the change; empty for a deleted
            object.
    """

    mark: str
    key: str
    operation: pb.Operation
    before: dict[str, object]
    after: dict[str, object]


def object_key(message: pb.ConfigObject) -> str:
    """Returns the key of an object, such as "route/stock"."""
    kind = message.WhichOneof("object")
    return f"{kind}/{getattr(message, kind).name}"


def object_fields(message: pb.ConfigObject) -> dict[str, object]:
    """Returns the fields of an object, by field name."""
    inner = getattr(message, message.WhichOneof("object"))
    return as_document(inner)


def plan(
    current: pb.GetConfigReply, document: ConfigDocument, prune: bool = False
) -> list[PlannedStep]:
    """Returns the steps that make the configuration match the document.

    Args:
        current: The configuration that the node returned.
        document: The operator's document.
        prune: Whether to delete all objects that the document does not contain.

    Returns:
        The steps; empty where the configuration already matches.

    Raises:
        SchemaError: If the document deletes an object that does not exist.
    """
    existing = {object_key(item): item for item in current.objects}
    desired = {object_key(item): item for item in _desired_objects(document)}
    deleted = list(document.delete)
    if prune:
        deleted += [key for key in existing if key not in desired]
    steps = [_put_step(existing, item) for item in desired.values()]
    steps += [_delete_step(existing, key) for key in dict.fromkeys(deleted)]
    return [step for step in steps if step is not None]


def document_of(current: pb.GetConfigReply) -> dict[str, object]:
    """Returns a configuration as a document that `apply` accepts."""
    return {
        f"{kind}s": [
            object_fields(item)
            for item in current.objects
            if item.WhichOneof("object") == kind
        ]
        for kind in _KINDS
    }


def _desired_objects(document: ConfigDocument) -> list[pb.ConfigObject]:
    objects = [object_message(item) for item in document.services]
    objects += [object_message(item) for item in document.upstreams]
    objects += [object_message(item) for item in document.routes]
    return objects + [object_message(item) for item in document.workspaces]


def _put_step(
    existing: dict[str, pb.ConfigObject], desired: pb.ConfigObject
) -> PlannedStep | None:
    key = object_key(desired)
    current = existing.get(key)
    after = object_fields(desired)
    before = object_fields(current) if current is not None else {}
    if current is not None and before == after:
        return None
    operation = pb.Operation(
        kind=pb.Operation.PUT,
        object=desired,
        expected_revision=current.revision if current is not None else 0,
    )
    return PlannedStep("~" if current else "+", key, operation, before, after)


def _delete_step(existing: dict[str, pb.ConfigObject], key: str) -> PlannedStep:
    current = existing.get(key)
    if current is None:
        raise SchemaError(
            SchemaErrorKind.OUT_OF_RANGE,
            "delete",
            f"{key!r} does not exist; a key has the form KIND/NAME, where KIND"
            f" is one of {', '.join(_KINDS)}",
        )
    operation = pb.Operation(
        kind=pb.Operation.DELETE,
        object=current,
        expected_revision=current.revision,
    )
    return PlannedStep("-", key, operation, object_fields(current), {})
