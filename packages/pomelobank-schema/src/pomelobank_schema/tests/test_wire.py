"""Frames and records; unreadable input raises only `SchemaError`."""

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomelobank_schema import (
    SchemaError,
    SchemaErrorKind,
    decode,
    encode,
)
from pomelobank_schema.generated import peer, records

KINDS = {"peer": peer.KINDS, "records": records.KINDS}
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False)
    | st.text(max_size=8)
    | st.binary(max_size=8),
    lambda inner: st.lists(inner, max_size=5),
    max_leaves=20,
)
CHANGE = records.ChangeRecord(
    change_id="c1",
    author="ann",
    operations=(
        records.OperationRecord(
            kind="put",
            route=records.RouteObject(
                name="stock",
                service="desk",
                path_prefix="/stock",
                destinations=(
                    records.WeightedDestination(upstream="a", weight=3),
                ),
            ),
        ),
    ),
)


def test_record_is_unchanged_after_encoding_and_decoding() -> None:
    assert decode(encode(CHANGE), records.KINDS) == CHANGE


def test_fields_of_a_newer_version_are_ignored() -> None:
    values = [CHANGE.KIND, *CHANGE.to_wire(), "from a newer version"]
    assert decode(msgpack.packb(values), records.KINDS) == CHANGE


def test_fields_missing_from_an_older_version_get_their_defaults() -> None:
    values = [CHANGE.KIND, "c1", "ann"]
    assert decode(msgpack.packb(values), records.KINDS) == records.ChangeRecord(
        change_id="c1", author="ann"
    )


@pytest.mark.parametrize(
    ("data", "kind"),
    [
        pytest.param(b"", SchemaErrorKind.MALFORMED, id="nothing"),
        pytest.param(b"\xc1", SchemaErrorKind.MALFORMED, id="not msgpack"),
        pytest.param(
            msgpack.packb({"a": 1}), SchemaErrorKind.MALFORMED, id="a map"
        ),
        pytest.param(
            msgpack.packb([9999]), SchemaErrorKind.UNKNOWN_KIND, id="new kind"
        ),
        pytest.param(
            msgpack.packb([1, 7]), SchemaErrorKind.WRONG_TYPE, id="wrong type"
        ),
        pytest.param(
            msgpack.packb([1, ""]), SchemaErrorKind.MISSING, id="empty id"
        ),
        pytest.param(
            msgpack.packb([1, "c", "a", "r", 0, [["wipe"]]]),
            SchemaErrorKind.OUT_OF_RANGE,
            id="unknown operation",
        ),
    ],
)
def test_unreadable_records_are_rejected(
    data: bytes, kind: SchemaErrorKind
) -> None:
    with pytest.raises(SchemaError) as caught:
        decode(data, records.KINDS)
    assert caught.value.kind is kind


@pytest.mark.parametrize("family", sorted(KINDS))
@given(data=st.binary(max_size=60))
def test_any_bytes_decode_or_raise_a_schema_error(
    family: str, data: bytes
) -> None:
    try:
        decode(data, KINDS[family])
    except SchemaError:
        return


@pytest.mark.parametrize("family", sorted(KINDS))
@given(kind_index=st.integers(0, 50), fields=st.lists(VALUES, max_size=14))
def test_any_fields_decode_or_raise_a_schema_error(
    family: str, kind_index: int, fields: list[object]
) -> None:
    kinds = sorted(KINDS[family])
    kind = kinds[kind_index % len(kinds)]
    try:
        message = decode(msgpack.packb([kind, *fields]), KINDS[family])
    except SchemaError:
        return
    assert decode(encode(message), KINDS[family]) == message
