"""Digests of API keys in the input of operators."""

from collections.abc import Iterator

from pomelobank_schema import SchemaError, SchemaErrorKind, is_key_digest


def check_key_digests(document: object) -> None:
    """Checks that workspaces list digests and nothing that may be a key.

    The check runs before the document is converted, because the messages of
    the conversion and the printed plan quote values.

    Args:
        document: The parsed YAML or JSON.

    Raises:
        SchemaError: If an entry is not a digest. The error names the entry and
            does not quote it.
    """
    for path, entry in _digest_entries(document):
        if not isinstance(entry, str) or not is_key_digest(entry):
            raise SchemaError(
                SchemaErrorKind.OUT_OF_RANGE,
                path,
                "is not a SHA-256 digest of 64 hexadecimal characters; a"
                " file lists digests of keys, never keys: use 'pomelobank keys"
                " add'",
            )


def _digest_entries(document: object) -> Iterator[tuple[str, object]]:
    workspaces = _list_field(document, "workspaces")
    for index, workspace in enumerate(workspaces):
        digests = _list_field(workspace, "key_digests")
        for position, entry in enumerate(digests):
            yield f"workspaces[{index}].key_digests[{position}]", entry


def _list_field(document: object, name: str) -> list[object]:
    # Values of other types are reported by the conversion of the document.
    value = document.get(name) if isinstance(document, dict) else None
    return value if isinstance(value, list) else []
