"""Validators that generated classes attach to their fields."""

import ipaddress
from collections.abc import Callable
from typing import Any

import attrs

from pomelobank_schema._errors import SchemaError, SchemaErrorKind

MAX_PORT = 65535

Validator = Callable[[Any, "attrs.Attribute[Any]", Any], None]


# Maximum length of an invalid text in an error message.
_MAX_QUOTED = 100


def parse_address(text: str) -> tuple[str, int]:
    """Splits an address of the form IP:PORT.

    Args:
        text: The address, such as "127.0.0.1:8080" or "[::1]:8080".

    Returns:
        The IP address and the port.

    Raises:
        SchemaError: If the text has another form, its host is not an IP
            address or its port is larger than 65535.

    >>> parse_address("127.0.0.1:8080")
    ('127.0.0.1', 8080)
    """
    host, separator, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        separator = ""
    # The number of digits is checked first: `int` refuses a text of thousands.
    is_port = (
        port.isascii()
        and port.isdecimal()
        and len(port) <= len(str(MAX_PORT))
        and int(port) <= MAX_PORT
    )
    if not separator or not is_port:
        raise SchemaError(
            SchemaErrorKind.OUT_OF_RANGE,
            "",
            f"{text[:_MAX_QUOTED]!r} is not an address of the form IP:PORT",
        )
    return host, int(port)


def in_range(low: int | None, high: int | None) -> Validator:
    """Returns a validator for numbers from `low` to `high`.

    Args:
        low: Smallest allowed number; None if there is no lower limit.
        high: Largest allowed number; None if there is no upper limit.
    """

    def check(
        _: object, attribute: "attrs.Attribute[Any]", value: object
    ) -> None:
        assert isinstance(value, int | float)
        if (low is None or value >= low) and (high is None or value <= high):
            return
        raise SchemaError(
            SchemaErrorKind.OUT_OF_RANGE,
            attribute.name,
            f"{value} is out of range, allowed is {low} to {high}",
        )

    return check


def one_of(*allowed: str) -> Validator:
    """Returns a validator for strings that must be one of a list."""

    def check(
        _: object, attribute: "attrs.Attribute[Any]", value: object
    ) -> None:
        if value not in allowed:
            raise SchemaError(
                SchemaErrorKind.OUT_OF_RANGE,
                attribute.name,
                f"{value!r} is not one of {', '.join(allowed)}",
            )

    return check


def not_empty(
    _: object, attribute: "attrs.Attribute[Any]", value: object
) -> None:
    """Validates that a string has at least one character."""
    if value == "":
        raise SchemaError(
            SchemaErrorKind.MISSING, attribute.name, "must not be empty"
        )


def address(
    _: object, attribute: "attrs.Attribute[Any]", value: object
) -> None:
    """Validates one IP:PORT address or a tuple; empty strings are allowed."""
    for text in value if isinstance(value, tuple) else (value,):
        if text == "":
            continue
        try:
            parse_address(str(text))
        except SchemaError as error:
            raise SchemaError(
                error.kind, attribute.name, error.message
            ) from None
