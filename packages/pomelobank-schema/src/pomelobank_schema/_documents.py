"""Documents that people write: settings and operators' files in YAML."""

import json
import types
import typing
from pathlib import Path
from typing import Any, TypeVar

import attrs

from pomelobank_schema._errors import SchemaError, SchemaErrorKind

ModelT = TypeVar("ModelT")


def read_yaml(path: Path) -> object:
    """Reads one YAML file.

    Raises:
        SchemaError: If the file is unreadable or is not YAML.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SchemaError(
            SchemaErrorKind.MALFORMED, "", f"cannot be read: {error.strerror}"
        ) from None
    except UnicodeDecodeError:
        raise SchemaError(
            SchemaErrorKind.MALFORMED,
            "",
            "is not YAML: the file is not valid UTF-8",
        ) from None
    try:
        # Every JSON document is also YAML, and files that a program wrote are
        # mostly JSON. To parse JSON first saves the import of the YAML library,
        # which takes 30 ms at the start of a process.
        return json.loads(text)
    except ValueError:
        return _parse_yaml(text)


def _parse_yaml(text: str) -> object:
    import yaml

    try:
        return yaml.safe_load(text)
    except yaml.MarkedYAMLError as error:
        # The error's own text quotes the line, which may contain a secret.
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        raise SchemaError(
            SchemaErrorKind.MALFORMED,
            "",
            f"is not YAML: {error.problem}, line {line}",
        ) from None
    except yaml.YAMLError as error:
        text = " ".join(str(error).split())
        raise SchemaError(
            SchemaErrorKind.MALFORMED, "", f"is not YAML: {text}"
        ) from None


def build(
    model: type[ModelT], document: object, field_path: str = ""
) -> ModelT:
    """Builds an object of a generated class from a mapping.

    General-purpose converters report all problems of a document as a tree.
    This function reports only the first problem, so that operators get one line
    with the key and the allowed values.

    Args:
        model: The generated class.
        document: The parsed YAML or JSON.
        field_path: Path of `document` in the whole document, for messages;
            empty for the whole document.

    Returns:
        The validated object.

    Raises:
        SchemaError: If a field is unknown, missing, of the wrong type or out
            of range.
    """
    if not isinstance(document, dict):
        raise SchemaError(
            SchemaErrorKind.WRONG_TYPE, field_path, "expected a mapping of keys"
        )
    fields = {field.name: field for field in attrs.fields(model)}  # type: ignore[arg-type]
    _reject_unknown_keys(document, fields, field_path)
    _reject_missing_keys(document, fields, field_path)
    hints = typing.get_type_hints(model)
    values = {
        name: _convert_value(hints[name], value, _join_path(field_path, name))
        for name, value in document.items()
    }
    try:
        return model(**values)
    except SchemaError as error:
        raise SchemaError(
            error.kind, _join_path(field_path, error.field_path), error.message
        ) from None


def _reject_unknown_keys(
    document: dict[Any, object], fields: dict[str, Any], field_path: str
) -> None:
    for name in document:
        if name not in fields:
            raise SchemaError(
                SchemaErrorKind.UNKNOWN_FIELD,
                _join_path(field_path, str(name)),
                f"unknown key, allowed are {', '.join(fields)}",
            )


def _reject_missing_keys(
    document: dict[Any, object], fields: dict[str, Any], field_path: str
) -> None:
    for name, field in fields.items():
        if field.default is attrs.NOTHING and name not in document:
            raise SchemaError(
                SchemaErrorKind.MISSING,
                _join_path(field_path, name),
                "is required",
            )


def _join_path(field_path: str, name: str) -> str:
    return f"{field_path}.{name}" if field_path and name else field_path or name


def _convert_value(hint: Any, value: object, field_path: str) -> object:
    if isinstance(hint, types.UnionType):
        if value is None:
            return None
        hint = hint.__args__[0]
    if typing.get_origin(hint) is tuple:
        return _convert_list(typing.get_args(hint)[0], value, field_path)
    if attrs.has(hint):
        return build(hint, value, field_path)
    if hint is float and type(value) is int:
        return float(value)
    if type(value) is not hint:
        raise SchemaError(
            SchemaErrorKind.WRONG_TYPE,
            field_path,
            f"expected {_TYPE_NAMES[hint]}, got {value!r}",
        )
    return value


def _convert_list(
    hint: Any, value: object, field_path: str
) -> tuple[object, ...]:
    if not isinstance(value, list):
        raise SchemaError(
            SchemaErrorKind.WRONG_TYPE, field_path, "expected a list"
        )
    return tuple(
        _convert_value(hint, item, f"{field_path}[{index}]")
        for index, item in enumerate(value)
    )


_TYPE_NAMES = {
    int: "a whole number",
    float: "a number",
    str: "text",
    bool: "true or false",
    bytes: "bytes",
}
