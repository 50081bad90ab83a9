"""Prints results: tables for people, JSON for scripts."""

import json
from collections.abc import Sequence

import yaml
from google.protobuf.json_format import MessageToDict
from google.protobuf.message import Message


def print_json(document: object) -> None:
    """Prints one JSON document."""
    print(json.dumps(document, indent=2, ensure_ascii=False))


def print_yaml(document: object) -> None:
    """Prints one YAML document."""
    print(yaml.safe_dump(document, sort_keys=False), end="")


def as_document(message: Message) -> dict[str, object]:
    """Returns a message as a JSON document that names every field."""
    return dict(
        MessageToDict(
            message,
            preserving_proto_field_name=True,
            always_print_fields_with_no_presence=True,
        )
    )


def print_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Prints rows under a header, columns aligned.

    >>> print_table(["NODE", "V"], [["a", "12"]])
    NODE  V
    a     12
    """
    table = [list(header), *(list(row) for row in rows)]
    widths = [
        max(len(row[place]) for row in table) for place in range(len(header))
    ]
    for row in table:
        cells = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        print("  ".join(cells).rstrip())
