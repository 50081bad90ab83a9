"""Messages, records and settings of pomelobank, generated from its schema."""

from pomelobank_schema._checks import parse_address
from pomelobank_schema._documents import build, read_yaml
from pomelobank_schema._errors import SchemaError, SchemaErrorKind
from pomelobank_schema._key_digests import is_key_digest
from pomelobank_schema._wire import WireMessage, decode, decode_values, encode

__all__ = [
    "SchemaError",
    "SchemaErrorKind",
    "WireMessage",
    "build",
    "decode",
    "decode_values",
    "encode",
    "is_key_digest",
    "parse_address",
    "read_yaml",
]
