"""Documents for people: settings and operators' files in YAML."""

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
        SchemaError: If the file cannot be read or is not YAML.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SchemaError(
            SchemaErrorKind.MALFORMED, "", f"cannot be read: {error.strerror}"
        ) from None
    except UnicodeDecodeError:
        raise SchemaError(
            SchemaErrorKind.MALFORMED, "", "is not YAML: it is no text"
        ) from None
    try:
        # YAML takes in JSON. A file that a program has written is most likely
        # that, and reading it needs no further library: 30 ms of a start.
        return json.loads(text)
    except ValueError:
        return _read_text(text)


def _read_text(text: str) -> object:
    import yaml

    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        text = " ".join(str(error).split())
        raise SchemaError(
            SchemaErrorKind.MALFORMED, "", f"is not YAML: {text}"
        ) from None


def build(model: type[ModelT], document: object, where: str = "") -> ModelT:
    """Builds a generated class from a mapping.

    The general-purpose converters report all problems of a document as a tree;
    operators want the first one in a line with the key and what is allowed.

    Args:
        model: The generated class.
        document: What YAML or JSON returned.
        where: Path of the document, for messages.

    Returns:
        The checked object.

    Raises:
        SchemaError: If a field is unknown, missing, of the wrong type or
            breaks a limit.
    """
    if not isinstance(document, dict):
        raise SchemaError(
            SchemaErrorKind.WRONG_TYPE, where, "expected a mapping of keys"
        )
    fields = {field.name: field for field in attrs.fields(model)}  # type: ignore[arg-type]
    _refuse_unknown(document, fields, where)
    _refuse_missing(document, fields, where)
    hints = typing.get_type_hints(model)
    values = {
        name: _value(hints[name], value, _join(where, name))
        for name, value in document.items()
    }
    try:
        return model(**values)
    except SchemaError as error:
        raise SchemaError(
            error.kind, _join(where, error.field_path), error.message
        ) from None


def _refuse_unknown(
    document: dict[Any, object], fields: dict[str, Any], where: str
) -> None:
    for name in document:
        if name not in fields:
            raise SchemaError(
                SchemaErrorKind.UNKNOWN_FIELD,
                _join(where, str(name)),
                f"unknown key, allowed are {', '.join(fields)}",
            )


def _refuse_missing(
    document: dict[Any, object], fields: dict[str, Any], where: str
) -> None:
    for name, field in fields.items():
        if field.default is attrs.NOTHING and name not in document:
            raise SchemaError(
                SchemaErrorKind.MISSING,
                _join(where, name),
                "is required",
            )


def _join(where: str, name: str) -> str:
    return f"{where}.{name}" if where and name else where or name


def _value(hint: Any, value: object, where: str) -> object:
    if isinstance(hint, types.UnionType):
        if value is None:
            return None
        hint = hint.__args__[0]
    if typing.get_origin(hint) is tuple:
        return _items(typing.get_args(hint)[0], value, where)
    if attrs.has(hint):
        return build(hint, value, where)
    if hint is float and type(value) is int:
        return float(value)
    if type(value) is not hint:
        raise SchemaError(
            SchemaErrorKind.WRONG_TYPE,
            where,
            f"expected {_TYPE_NAMES[hint]}, got {value!r}",
        )
    return value


def _items(hint: Any, value: object, where: str) -> tuple[object, ...]:
    if not isinstance(value, list):
        raise SchemaError(SchemaErrorKind.WRONG_TYPE, where, "expected a list")
    return tuple(
        _value(hint, item, f"{where}[{index}]")
        for index, item in enumerate(value)
    )


_TYPE_NAMES = {
    int: "a whole number",
    float: "a number",
    str: "text",
    bool: "true or false",
    bytes: "bytes",
}
