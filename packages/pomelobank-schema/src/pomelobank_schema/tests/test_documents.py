"""Invalid settings give one message with the key and the allowed values."""

from typing import Any

import pytest

from pomelobank_schema import SchemaError, SchemaErrorKind, build
from pomelobank_schema.generated.settings import NodeSettings

LOG = {"address": "127.0.0.1:9000"}
VALID: dict[str, Any] = {"node": "a", "data_centre": "hobart", "log": LOG}


def test_valid_settings_get_their_defaults() -> None:
    settings = build(NodeSettings, VALID)
    assert settings.membership.period_ms == 500
    assert settings.log.timeout_ms == 2000


@pytest.mark.parametrize(
    ("document", "kind", "message"),
    [
        pytest.param(
            {**VALID, "colour": "red"},
            SchemaErrorKind.UNKNOWN_FIELD,
            "colour: unknown key, allowed are node,",
            id="unknown key",
        ),
        pytest.param(
            {**VALID, "membership": {"period_ms": "5"}},
            SchemaErrorKind.WRONG_TYPE,
            "membership.period_ms: expected a whole number, got '5'",
            id="text for a number",
        ),
        pytest.param(
            {**VALID, "membership": {"period_ms": 5}},
            SchemaErrorKind.OUT_OF_RANGE,
            "membership.period_ms: 5 is out of range, allowed is 20 to 60000",
            id="too small",
        ),
        pytest.param(
            {**VALID, "membership": {"period_ms": True}},
            SchemaErrorKind.WRONG_TYPE,
            "membership.period_ms: expected a whole number, got True",
            id="boolean for a number",
        ),
        pytest.param(
            {**VALID, "listen": {"http": "localhost:80"}},
            SchemaErrorKind.OUT_OF_RANGE,
            "listen.http: 'localhost:80' is not an address of the form IP:PORT",
            id="host name for an IP address",
        ),
        pytest.param(
            {**VALID, "log": {}},
            SchemaErrorKind.MISSING,
            "log.address: is required",
            id="missing",
        ),
        pytest.param(
            {**VALID, "node": ""},
            SchemaErrorKind.MISSING,
            "node: must not be empty",
            id="empty",
        ),
        pytest.param(
            ["node"],
            SchemaErrorKind.WRONG_TYPE,
            "expected a mapping of keys",
            id="a list",
        ),
    ],
)
def test_invalid_settings_are_rejected(
    document: object, kind: SchemaErrorKind, message: str
) -> None:
    with pytest.raises(SchemaError) as caught:
        build(NodeSettings, document)
    assert caught.value.kind is kind
    assert str(caught.value).startswith(message)
