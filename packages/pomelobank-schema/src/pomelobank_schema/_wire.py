"""Positional msgpack codec of frames and records."""

from collections.abc import Callable, Sequence
from typing import ClassVar, Protocol, Self, TypeVar

import msgpack

from pomelobank_schema._errors import SchemaError, SchemaErrorKind


class WireMessage(Protocol):
    """A generated message with a kind number and a positional form."""

    KIND: ClassVar[int]

    def to_wire(self) -> list[object]:
        """Returns the fields in the order of their numbers."""

    @classmethod
    def from_wire(cls, values: Sequence[object]) -> Self:
        """Builds the message from its fields; more fields are ignored."""


# Each new packer takes a buffer of 256 KB.
_packer = msgpack.Packer()

MessageT = TypeVar("MessageT")
ValueT = TypeVar("ValueT")


def read_field(
    values: Sequence[object],
    index: int,
    kind: type[ValueT],
    default: ValueT,
    name: str,
) -> ValueT:
    """Returns a field by position, or its default where the sender has none.

    Raises:
        SchemaError: If the value is of another type.
    """
    try:
        value = values[index]
    except IndexError:
        return default
    if value.__class__ is not kind:
        raise _wrong_type(kind, value, name)
    return value


def _wrong_type(kind: type, value: object, name: str) -> SchemaError:
    return SchemaError(
        SchemaErrorKind.WRONG_TYPE,
        name,
        f"expected {kind.__name__}, got {type(value).__name__}",
    )


def read_repeated(
    values: Sequence[object], index: int, kind: type[ValueT], name: str
) -> tuple[ValueT, ...]:
    """Returns a repeated field of plain values."""
    items = read_field(values, index, list, [], name)
    for item in items:
        if item.__class__ is not kind:
            raise _wrong_type(kind, item, name)
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
    """Returns a message field, None where the sender set none."""
    if index >= len(values) or values[index] is None:
        return None
    return build(read_field(values, index, list, [], name))


def encode(message: WireMessage) -> bytes:
    """Encodes a frame or record as one msgpack array, its kind first."""
    packed: bytes = _packer.pack([message.KIND, *message.to_wire()])
    return packed


def decode_values(
    values: object, kinds: dict[int, type[WireMessage]]
) -> WireMessage:
    """Builds the message from an unpacked array.

    Args:
        values: What msgpack returned.
        kinds: Messages that are allowed here, by kind number.

    Returns:
        The message.

    Raises:
        SchemaError: If it is not an array, of an unknown kind, or one of its
            fields is wrong.
    """
    if type(values) is not list or not values or type(values[0]) is not int:
        raise SchemaError(
            SchemaErrorKind.MALFORMED, "", "expected an array led by a kind"
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
        SchemaError: If the bytes are not a message of these kinds.
    """
    try:
        values = msgpack.unpackb(data)
    except (ValueError, msgpack.exceptions.UnpackException) as error:
        raise SchemaError(
            SchemaErrorKind.MALFORMED, "", f"not msgpack: {error}"
        ) from None
    return decode_values(values, kinds)
