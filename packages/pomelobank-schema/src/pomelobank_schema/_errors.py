"""Errors of the codecs: input that does not match the schema."""

import enum

import attrs


class SchemaErrorKind(enum.Enum):
    """Why bytes or a document could not be taken.

    Attributes:
        MALFORMED: Not msgpack, not YAML, or not the expected shape.
        WRONG_TYPE: A field holds a value of another type.
        OUT_OF_RANGE: A field's value breaks one of its limits.
        MISSING: A required field is absent or empty.
        UNKNOWN_FIELD: A document names a field that does not exist.
        UNKNOWN_KIND: A frame or record of a kind this version cannot read.
    """

    MALFORMED = "malformed"
    WRONG_TYPE = "wrong_type"
    OUT_OF_RANGE = "out_of_range"
    MISSING = "missing"
    UNKNOWN_FIELD = "unknown_field"
    UNKNOWN_KIND = "unknown_kind"


@attrs.frozen
class SchemaError(ValueError):
    """Input that does not match the schema.

    Attributes:
        kind: Why it was refused.
        field_path: Path of the field, such as "membership.period_ms".
        message: What is wrong and what is allowed.
    """

    kind: SchemaErrorKind
    field_path: str
    message: str

    def __str__(self) -> str:
        return (
            f"{self.field_path}: {self.message}"
            if self.field_path
            else self.message
        )
