"""Output formats: tables for people, JSON and YAML for programs."""

import json
from collections.abc import Sequence
from typing import Any

import yaml
from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.json_format import MessageToDict
from google.protobuf.message import Message


def print_json(document: object) -> None:
    """Prints one JSON document."""
    print(json.dumps(document, indent=2, ensure_ascii=False))


def print_yaml(document: object) -> None:
    """Prints one YAML document."""
    print(yaml.safe_dump(document, sort_keys=False), end="")


def as_document(message: Message) -> dict[str, Any]:
    """Returns a message as a JSON document that contains every field.

    The JSON mapping of Protocol Buffers encodes 64-bit integers as strings,
    because some JSON parsers only have floating-point numbers. This function
    converts them back to integers, so that scripts can compare versions.
    """
    document = MessageToDict(
        message,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )
    _restore_integers(message.DESCRIPTOR, document)
    return dict(document)


def _restore_integers(descriptor: Any, document: dict[str, Any]) -> None:
    for field in descriptor.fields:
        value = document.get(field.name)
        if value is None:
            continue
        if field.cpp_type == FieldDescriptor.CPPTYPE_INT64:
            document[field.name] = int(value)
        elif field.cpp_type == FieldDescriptor.CPPTYPE_MESSAGE:
            for item in value if isinstance(value, list) else [value]:
                _restore_integers(field.message_type, item)


def print_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Prints rows under a header with aligned columns.

    >>> print_table(["NODE", "V"], [["a", "12"]])
    NODE  V
    a     12
    """
    table = [list(header), *(list(row) for row in rows)]
    widths = [
        max(len(row[column]) for row in table) for column in range(len(header))
    ]
    for row in table:
        cells = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        print("  ".join(cells).rstrip())
