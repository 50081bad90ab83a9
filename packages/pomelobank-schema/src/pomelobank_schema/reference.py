"""Writes the settings reference from the schema.

Run as `python -m pomelobank_schema.reference DOCS`; needs `grpcio-tools`.
"""

import sys
from collections.abc import Iterator
from pathlib import Path

from google.protobuf import descriptor_pb2

from pomelobank_schema import generate

_ROOT_MESSAGE = "NodeSettings"


def settings_page() -> str:
    """Returns the Markdown page with all settings."""
    schema = generate.Schema.read("settings")
    messages = {item.name: item for item in schema.file.message_type}
    rows = list(_rows(schema, messages, messages[_ROOT_MESSAGE], ""))
    return "\n".join(
        [
            "# Settings",
            "",
            "A node reads one YAML file; `pomelobankd --check-settings FILE`"
            " checks the file and exits with status 0, or with status 2 and one"
            " line that names the key and the allowed values.",
            "",
            "| key | unit | default | allowed | description and reason |",
            "|---|---|---|---|---|",
            *rows,
            "",
        ]
    )


def _rows(
    schema: generate.Schema,
    messages: dict[str, descriptor_pb2.DescriptorProto],
    message: descriptor_pb2.DescriptorProto,
    prefix: str,
) -> Iterator[str]:
    for field in message.field:
        key = f"{prefix}{field.name}"
        nested = messages.get(field.type_name.rsplit(".", 1)[-1])
        if nested is not None:
            yield from _rows(schema, messages, nested, f"{key}.")
        else:
            yield _row(schema, message, field, key)


def _row(
    schema: generate.Schema,
    message: descriptor_pb2.DescriptorProto,
    field: descriptor_pb2.FieldDescriptorProto,
    key: str,
) -> str:
    spec = generate.field_spec(field)
    text = schema.comment(message, field)
    if spec.reason:
        text = f"{text} {spec.reason}"
    default = "required" if spec.required else f"`{spec.default or '-'}`"
    return (
        f"| `{key}` | {spec.unit or '-'} | {default} |"
        f" {spec.allowed or '-'} | {text} |"
    )


def write_all(folder: Path) -> None:
    """Writes every reference page into a folder."""
    (folder / "settings.md").write_text(settings_page())


if __name__ == "__main__":
    write_all(Path(sys.argv[1]))
