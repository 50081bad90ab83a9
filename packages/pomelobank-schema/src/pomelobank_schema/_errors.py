"""Errors of the codecs for input that does not match the schema."""

import enum

import attrs


class SchemaErrorKind(enum.Enum):
    """Reason why a codec rejected bytes or a document.

    Attributes:
        MALFORMED: The input is not msgpack, not YAML or not of the expected
            structure.
        WRONG_TYPE: The value of a field has another type than the schema says.
        OUT_OF_RANGE: The value of a field is outside its allowed values.
        MISSING: A required field is absent or empty.
        UNKNOWN_FIELD: A document has a key that the schema does not have.
        UNKNOWN_KIND: A frame or record has a kind number that this version
            does not know.
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
        kind: Reason of the rejection.
        field_path: Path of the field, such as "membership.period_ms"; empty if
            the error concerns the whole input.
        message: Description of the problem and of the allowed values.
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
