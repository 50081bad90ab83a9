"""Generates the Python code in `generated/` from the schema in `protos/`.

Run as `python -m pomelobank_schema.generate`; needs `grpcio-tools`.
"""

import argparse
import importlib
import re
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import attrs
from google.protobuf import descriptor_pb2

PACKAGE_DIR = Path(__file__).parent
PROTOS_DIR = PACKAGE_DIR / "protos"
GENERATED_DIR = PACKAGE_DIR / "generated"
CLASS_MODULES = ("peer", "records", "settings")
PROTOC_MODULES = ("options", "operator")

_FIELD = descriptor_pb2.FieldDescriptorProto
_SCALAR_TYPES = {
    _FIELD.TYPE_INT32: ("int", "0"),
    _FIELD.TYPE_INT64: ("int", "0"),
    _FIELD.TYPE_STRING: ("str", '""'),
    _FIELD.TYPE_BYTES: ("bytes", 'b""'),
    _FIELD.TYPE_BOOL: ("bool", "False"),
    _FIELD.TYPE_DOUBLE: ("float", "0.0"),
}
_MESSAGE_TYPE_NUMBER = 4
_FIELD_NUMBER = 2


def main() -> int:
    """Writes the generated modules and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path, default=GENERATED_DIR)
    write_all(parser.parse_args().out)
    return 0


def write_all(out: Path) -> None:
    """Writes every generated module into a directory."""
    out.mkdir(parents=True, exist_ok=True)
    (out / "__init__.py").write_text('"""Generated code; do not edit."""\n')
    _run_protoc(out)
    for module in CLASS_MODULES:
        (out / f"{module}.py").write_text(_module_source(module))


def _run_protoc(out: Path) -> None:
    arguments = [
        f"--{kind}_out={out}" for kind in ("python", "pyi", "grpc_python")
    ]
    _protoc([*arguments, *(f"{name}.proto" for name in PROTOC_MODULES)])
    (out / "options_pb2_grpc.py").unlink()
    stub_path = out / "operator_pb2_grpc.py"
    text = stub_path.read_text()
    stub_path.write_text(
        re.sub(
            r"^import operator_pb2",
            "from pomelobank_schema.generated import operator_pb2",
            text,
            flags=re.MULTILINE,
        )
    )


def _protoc(arguments: list[str]) -> None:
    tools = importlib.import_module("grpc_tools")
    include = Path(str(tools.__file__)).parent / "_proto"
    subprocess.run(
        [
            sys.executable,
            "-m",
            "grpc_tools.protoc",
            f"-I{PROTOS_DIR}",
            f"-I{include}",
            *arguments,
        ],
        check=True,
    )


@attrs.frozen
class FieldSpec:
    """Options that the schema attaches to a field.

    Attributes:
        unit: Unit of a number.
        default: Value if a document lacks the field.
        allowed: Range, list or form of the allowed values, as readable text.
        reason: Reason for the default or the limits.
        required: Whether every document must have the field.
    """

    unit: str
    default: str
    allowed: str
    reason: str
    required: bool


def field_spec(field: descriptor_pb2.FieldDescriptorProto) -> FieldSpec:
    """Returns the options that the schema attaches to a field."""
    options = _options()
    extensions = field.options.Extensions
    low, high = extensions[options.min], extensions[options.max]
    allowed = extensions[options.one_of].replace(",", ", ")
    if low or high:
        allowed = f"{low} to {high}"
    if extensions[options.ip_port]:
        allowed = "IP:PORT"
    return FieldSpec(
        unit=extensions[options.unit],
        default=extensions[options.default_value],
        allowed=allowed,
        reason=extensions[options.reason],
        required=extensions[options.required],
    )


@attrs.frozen
class Schema:
    """One schema file with its comments.

    Attributes:
        file: Descriptor of the file.
        comments: Leading comments by protoc's path of their element.
    """

    file: descriptor_pb2.FileDescriptorProto
    comments: dict[tuple[int, ...], str]

    @classmethod
    def read(cls, module: str) -> "Schema":
        """Reads the schema file of a module."""
        _options()  # Registers the extensions before descriptors are parsed.
        file = _descriptor(module)
        comments = {
            tuple(location.path): " ".join(location.leading_comments.split())
            for location in file.source_code_info.location
        }
        return cls(file, comments)

    def comment(
        self,
        message: descriptor_pb2.DescriptorProto,
        field: descriptor_pb2.FieldDescriptorProto,
    ) -> str:
        """Returns the comment of a field."""
        message_names = [item.name for item in self.file.message_type]
        field_names = [item.name for item in message.field]
        path = (
            _MESSAGE_TYPE_NUMBER,
            message_names.index(message.name),
            _FIELD_NUMBER,
            field_names.index(field.name),
        )
        return self.comments.get(path, "")


def _descriptor(module: str) -> descriptor_pb2.FileDescriptorProto:
    with tempfile.TemporaryDirectory() as scratch:
        output = Path(scratch) / "set.bin"
        _protoc(
            [
                "--include_source_info",
                f"--descriptor_set_out={output}",
                f"{module}.proto",
            ]
        )
        files = descriptor_pb2.FileDescriptorSet.FromString(output.read_bytes())
    return files.file[-1]


def _options() -> Any:
    return importlib.import_module("pomelobank_schema.generated.options_pb2")


def _module_source(module: str) -> str:
    schema = Schema.read(module)
    file, comments = schema.file, schema.comments
    sections = [
        f'"""Generated from {module}.proto; do not edit."""\n\n'
        "from __future__ import annotations\n\n"
        "from collections.abc import Sequence\n"
        "from typing import ClassVar, cast\n\n"
        "import attrs\n\n"
        "from pomelobank_schema import _checks, _wire\n"
    ]
    for index, message in enumerate(file.message_type):
        sections.append(_class_source(message, index, comments))
    sections.append(_kinds_table_source(file))
    source = "\n".join(sections)
    if "cast(" not in source:
        source = source.replace("ClassVar, cast", "ClassVar")
    return source


def _kinds_table_source(file: descriptor_pb2.FileDescriptorProto) -> str:
    options = _options()
    kinds = [
        message.name
        for message in file.message_type
        if message.options.Extensions[options.kind]
    ]
    lines = ["", "KINDS: dict[int, type[_wire.WireMessage]] = {"]
    lines += [f"    {name}.KIND: {name}," for name in kinds]
    lines += ["}", ""]
    return "\n".join(lines)


def _class_source(
    message: descriptor_pb2.DescriptorProto,
    index: int,
    comments: dict[tuple[int, ...], str],
) -> str:
    options = _options()
    path = (_MESSAGE_TYPE_NUMBER, index)
    lines = ["", "@attrs.frozen(kw_only=True)", f"class {message.name}:"]
    lines.append(f'    """{comments.get(path, message.name)}')
    lines += ["", "    Attributes:"]
    for number, field in enumerate(message.field):
        text = comments.get((*path, _FIELD_NUMBER, number), "")
        unit = field.options.Extensions[options.unit]
        lines.append(
            f"        {field.name}: {text}" + (f" In {unit}." if unit else "")
        )
    lines += ['    """', ""]
    kind = message.options.Extensions[options.kind]
    lines += [f"    KIND: ClassVar[int] = {kind}", ""]
    lines += [f"    {_field_source(field)}" for field in message.field]
    lines += [
        "",
        *_to_wire_source(message),
        "",
        *_from_wire_source(message),
        "",
    ]
    return "\n".join(lines)


def _type_name(field: descriptor_pb2.FieldDescriptorProto) -> str:
    if field.type == _FIELD.TYPE_MESSAGE:
        base = field.type_name.rsplit(".", 1)[-1]
    else:
        base = _SCALAR_TYPES[field.type][0]
    if field.label == _FIELD.LABEL_REPEATED:
        return f"tuple[{base}, ...]"
    return f"{base} | None" if field.proto3_optional else base


def _default(field: descriptor_pb2.FieldDescriptorProto) -> str | None:
    options = _options()
    extensions = field.options.Extensions
    default = extensions[options.default_value]
    if field.label == _FIELD.LABEL_REPEATED:
        return "()"
    if field.proto3_optional:
        return "None"
    if extensions[options.required]:
        return None
    if field.type == _FIELD.TYPE_MESSAGE:
        return f"attrs.Factory({_type_name(field)})"
    if default:
        return repr(default) if field.type == _FIELD.TYPE_STRING else default
    choices = extensions[options.one_of]
    if choices:
        return repr(choices.split(",")[0])
    return _SCALAR_TYPES[field.type][1]


def _validators(field: descriptor_pb2.FieldDescriptorProto) -> list[str]:
    options = _options()
    extensions = field.options.Extensions
    validators = []
    is_required_string = (
        extensions[options.required] and field.type == _FIELD.TYPE_STRING
    )
    if is_required_string:
        validators.append("_checks.not_empty")
    if extensions[options.ip_port]:
        validators.append("_checks.address")
    choices = extensions[options.one_of]
    if choices:
        names = ", ".join(repr(choice) for choice in choices.split(","))
        validators.append(f"_checks.one_of({names})")
    low, high = extensions[options.min], extensions[options.max]
    if low or high:
        validators.append(f"_checks.in_range({low}, {high})")
    return validators


def _field_source(field: descriptor_pb2.FieldDescriptorProto) -> str:
    default = _default(field)
    arguments = [] if default is None else [f"default={default}"]
    validators = _validators(field)
    if len(validators) == 1:
        arguments.append(f"validator={validators[0]}")
    elif validators:
        arguments.append(f"validator=[{', '.join(validators)}]")
    joined = ", ".join(arguments)
    return f"{field.name}: {_type_name(field)} = attrs.field({joined})"


def _to_wire_source(message: descriptor_pb2.DescriptorProto) -> list[str]:
    lines = ["    def to_wire(self) -> list[object]:"]
    lines += ['        """Returns the fields in the order of their numbers."""']
    lines += ["        return ["]
    for field in message.field:
        name = f"self.{field.name}"
        if (
            field.label == _FIELD.LABEL_REPEATED
            and field.type == _FIELD.TYPE_MESSAGE
        ):
            name = f"[item.to_wire() for item in {name}]"
        elif field.label == _FIELD.LABEL_REPEATED:
            name = f"list({name})"
        elif field.type == _FIELD.TYPE_MESSAGE:
            name = f"None if {name} is None else {name}.to_wire()"
        lines.append(f"            {name},")
    return [*lines, "        ]"]


def _from_wire_source(message: descriptor_pb2.DescriptorProto) -> list[str]:
    lines = ["    @classmethod"]
    lines += [
        f"    def from_wire(cls, values: Sequence[object]) -> {message.name}:"
    ]
    lines += [
        '        """Builds the message; ignores fields of newer versions."""'
    ]
    lines += ["        return cls("]
    for index, field in enumerate(message.field):
        lines.append(
            f"            {field.name}={_read_call_source(field, index)},"
        )
    return [*lines, "        )"]


def _read_call_source(
    field: descriptor_pb2.FieldDescriptorProto, index: int
) -> str:
    repeated = field.label == _FIELD.LABEL_REPEATED
    if field.type == _FIELD.TYPE_MESSAGE:
        base = field.type_name.rsplit(".", 1)[-1]
        function = "read_repeated_messages" if repeated else "read_message"
        arguments = f'values, {index}, {base}.from_wire, "{field.name}"'
        source = f"_wire.{function}({arguments})"
        if repeated or field.proto3_optional:
            return source
        return f"cast({base!r}, {source})"
    base, empty = _SCALAR_TYPES[field.type]
    if repeated:
        return f'_wire.read_repeated(values, {index}, {base}, "{field.name}")'
    default = _default(field) or empty
    arguments = f'values, {index}, {base}, {default}, "{field.name}"'
    return f"_wire.read_field({arguments})"


if __name__ == "__main__":
    sys.exit(main())
