"""Validation of targets' announcements.

A target that sends an invalid announcement, for example without slots, must
receive an error that names the wrong field.
"""

import pytest

from pomelobank_node._admin import parse_announcement
from pomelobank_schema import SchemaError


@pytest.mark.parametrize(
    ("body", "kind", "field"),
    [
        pytest.param(b"{", "malformed", "", id="not-json"),
        pytest.param(b"[]", "wrong_type", "", id="not-an-object"),
        pytest.param(b"x" * 5000, "out_of_range", "", id="too-large"),
        pytest.param(
            b'{"upstream": "u", "address": "127.0.0.1:1"}',
            "missing",
            "slots",
            id="no-slots",
        ),
        pytest.param(
            b'{"upstream": "u", "address": "127.0.0.1:1", "slots": true}',
            "wrong_type",
            "slots",
            id="slots-not-a-number",
        ),
        pytest.param(
            b'{"upstream": "u", "address": "127.0.0.1:1", "slots": 0}',
            "out_of_range",
            "slots",
            id="no-slot",
        ),
        pytest.param(
            b'{"upstream": "u", "address": "localhost", "slots": 1}',
            "out_of_range",
            "address",
            id="bad-address",
        ),
    ],
)
def test_invalid_announcements_are_rejected(
    body: bytes, kind: str, field: str
) -> None:
    with pytest.raises(SchemaError) as raised:
        parse_announcement(body)
    assert (raised.value.kind.value, raised.value.field_path) == (kind, field)
