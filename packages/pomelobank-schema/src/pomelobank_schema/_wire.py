"""Codec of frames and records: msgpack arrays with fields by position."""

from collections.abc import Callable, Sequence
from typing import ClassVar, Protocol, Self, TypeVar

import msgpack

from pomelobank_schema._errors import SchemaError, SchemaErrorKind


class WireMessage(Protocol):
    """A generated message with a kind number and fields by position."""

    KIND: ClassVar[int]

    def to_wire(self) -> list[object]:
        """Returns the fields in the order of their numbers."""

    @classmethod
    def from_wire(cls, values: Sequence[object]) -> Self:
        """Builds the message; ignores fields of newer versions."""


# Shared by all calls, because each packer allocates a buffer of 256 KB.
_packer = msgpack.Packer()

MessageT = TypeVar("MessageT")
ValueT = TypeVar("ValueT")


def read_field(
    values: Sequence[object],
    index: int,
    value_type: type[ValueT],
    default: ValueT,
    name: str,
) -> ValueT:
    """Returns a field by position.

    Args:
        values: Fields of the message, in the order of their numbers.
        index: Position of the field.
        value_type: Type that the value must have.
        default: Value if the message of an older sender lacks the field.
        name: Name of the field, for the error message.

    Raises:
        SchemaError: If the value has another type.
    """
    try:
        value = values[index]
    except IndexError:
        return default
    if value.__class__ is not value_type:
        raise _wrong_type(value_type, value, name)
    return value


def _wrong_type(value_type: type, value: object, name: str) -> SchemaError:
    return SchemaError(
        SchemaErrorKind.WRONG_TYPE,
        name,
        f"expected {value_type.__name__}, got {type(value).__name__}",
    )


def read_repeated(
    values: Sequence[object], index: int, value_type: type[ValueT], name: str
) -> tuple[ValueT, ...]:
    """Returns a repeated field of scalar values."""
    items = read_field(values, index, list, [], name)
    for item in items:
        if item.__class__ is not value_type:
            raise _wrong_type(value_type, item, name)
    return tuple(items)


def read_repeated_messages(
    values: Sequence[object],
    index: int,
    build: Callable[[Sequence[object]], MessageT],
    name: str,
) -> tuple[MessageT, ...]:
    """Returns a repeated field of messages."""
    return tuple(
        [build(item) for item in read_repeated(values, index, list, name)]
    )


def read_message(
    values: Sequence[object],
    index: int,
    build: Callable[[Sequence[object]], MessageT],
    name: str,
) -> MessageT | None:
    """Returns a message field; None if the sender left the field unset."""
    if index >= len(values) or values[index] is None:
        return None
    return build(read_field(values, index, list, [], name))


def encode(message: WireMessage) -> bytes:
    """Encodes a frame or record as a msgpack array: the kind, then fields."""
    packed: bytes = _packer.pack([message.KIND, *message.to_wire()])
    return packed


def decode_values(
    values: object, kinds: dict[int, type[WireMessage]]
) -> WireMessage:
    """Builds the message from a decoded msgpack array.

    Args:
        values: The decoded msgpack value.
        kinds: Allowed message classes by kind number.

    Returns:
        The message.

    Raises:
        SchemaError: If the value is not an array that starts with a kind
            number, the kind is unknown or a field is invalid.
    """
    if type(values) is not list or not values or type(values[0]) is not int:
        raise SchemaError(
            SchemaErrorKind.MALFORMED,
            "",
            "expected an array that starts with a kind number",
        )
    message_type = kinds.get(values[0])
    if message_type is None:
        raise SchemaError(
            SchemaErrorKind.UNKNOWN_KIND, "", f"unknown kind {values[0]}"
        )
    return message_type.from_wire(values[1:])


def decode(data: bytes, kinds: dict[int, type[WireMessage]]) -> WireMessage:
    """Decodes one frame or record.

    Raises:
        SchemaError: If the bytes are not a valid message of `kinds`.
    """
    try:
        values = msgpack.unpackb(data)
    except (ValueError, msgpack.exceptions.UnpackException) as error:
        raise SchemaError(
            SchemaErrorKind.MALFORMED, "", f"not msgpack: {error}"
        ) from None
    return decode_values(values, kinds)
