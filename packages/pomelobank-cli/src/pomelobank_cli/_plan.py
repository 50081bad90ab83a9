"""Works out the operations that lead from a configuration to a document."""

import attrs

from pomelobank_cli._output import as_document
from pomelobank_schema import SchemaError, SchemaErrorKind
from pomelobank_schema.generated import operator_pb2 as pb
from pomelobank_schema.generated.records import ConfigDocument
from pomelobank_schema.operator_messages import object_message

_KINDS = ("service", "upstream", "route")


@attrs.frozen
class PlannedStep:
    """One operation and how it reads for people.

    Attributes:
        mark: "+" for a new object, "~" for a changed one, "-" for a deleted.
        key: The object's key, such as "route/stock".
        operation: The operation.
        before: The object's fields before, none for a new one.
        after: The object's fields after, none for a deleted one.
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
    """Returns the fields of an object by name."""
    inner = getattr(message, message.WhichOneof("object"))
    return as_document(inner)


def plan(
    current: pb.GetConfigReply, document: ConfigDocument, prune: bool = False
) -> list[PlannedStep]:
    """Returns the steps that make the configuration match the document.

    Args:
        current: The configuration as it was read.
        document: What the operator wants.
        prune: Whether to delete every object that the document does not name.

    Returns:
        The steps; none where everything is as written.

    Raises:
        SchemaError: If the document deletes what is not there.
    """
    known = {object_key(item): item for item in current.objects}
    wanted = {object_key(item): item for item in _wanted(document)}
    deleted = list(document.delete)
    if prune:
        deleted += [key for key in known if key not in wanted]
    steps = [_put_step(known, item) for item in wanted.values()]
    steps += [_delete_step(known, key) for key in dict.fromkeys(deleted)]
    return [step for step in steps if step is not None]


def document_of(current: pb.GetConfigReply) -> dict[str, object]:
    """Returns a configuration as a document that `apply` takes again."""
    return {
        f"{kind}s": [
            object_fields(item)
            for item in current.objects
            if item.WhichOneof("object") == kind
        ]
        for kind in _KINDS
    }


def _wanted(document: ConfigDocument) -> list[pb.ConfigObject]:
    wanted = [object_message(item) for item in document.services]
    wanted += [object_message(item) for item in document.upstreams]
    return wanted + [object_message(item) for item in document.routes]


def _put_step(
    known: dict[str, pb.ConfigObject], wanted: pb.ConfigObject
) -> PlannedStep | None:
    key = object_key(wanted)
    found = known.get(key)
    after = object_fields(wanted)
    before = object_fields(found) if found is not None else {}
    if found is not None and before == after:
        return None
    operation = pb.Operation(
        kind=pb.Operation.PUT,
        object=wanted,
        expected_revision=found.revision if found is not None else 0,
    )
    return PlannedStep("~" if found else "+", key, operation, before, after)


def _delete_step(known: dict[str, pb.ConfigObject], key: str) -> PlannedStep:
    found = known.get(key)
    if found is None:
        raise SchemaError(
            SchemaErrorKind.OUT_OF_RANGE,
            "delete",
            f"{key!r} does not exist; keys look like route/NAME, with"
            f" {', '.join(_KINDS)}",
        )
    operation = pb.Operation(
        kind=pb.Operation.DELETE,
        object=found,
        expected_revision=found.revision,
    )
    return PlannedStep("-", key, operation, object_fields(found), {})
