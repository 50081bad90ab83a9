"""Packed frames on their way between nodes."""

import pytest
import zstandard

from pomelobank_schema import SchemaError, decode, encode
from pomelobank_schema.generated import peer
from pomelobank_schema.generated.peer import (
    BodyChunk,
    Gossip,
    MemberEntry,
    PackedFrame,
)
from pomelobank_schema.packed_frames import encode_frame, unpack_frame


def gossip(count: int) -> Gossip:
    members = [
        MemberEntry(
            node=f"sidecar-hobart-{index}",
            data_centre="hobart",
            state="ready",
            peer_address=f"10.1.0.{index}:7620",
        )
        for index in range(count)
    ]
    return Gossip(members=tuple(members))


@pytest.mark.parametrize(
    "frame",
    [
        pytest.param(gossip(1), id="short"),
        pytest.param(gossip(194), id="long"),
        pytest.param(
            BodyChunk(request_id=1, data=b"a" * 9000), id="not of members"
        ),
    ],
)
def test_a_frame_comes_as_it_was_sent(frame: Gossip | BodyChunk) -> None:
    received = decode(encode_frame(frame), peer.KINDS)
    assert unpack_frame(received, peer.KINDS) == frame


def test_a_table_takes_a_third_of_its_bytes() -> None:
    """Guards against entries that are sent as they stand."""
    table = gossip(194)
    assert len(encode_frame(table)) < len(encode(table)) / 3


@pytest.mark.parametrize(
    ("data", "message"),
    [
        pytest.param(b"", "not a packed frame", id="empty"),
        pytest.param(b"abcdefgh", "not a packed frame", id="other bytes"),
        pytest.param(
            bytes.fromhex("28b52ffda0000000ff"), "cannot be", id="too long"
        ),
    ],
)
def test_what_cannot_be_unpacked_is_refused(data: bytes, message: str) -> None:
    """Guards against a broken peer that fills the memory."""
    with pytest.raises(SchemaError, match=message):
        unpack_frame(PackedFrame(data=data), peer.KINDS)


def test_a_packed_frame_in_a_packed_one_is_refused() -> None:
    """Guards against a broken peer that nests frames without an end."""
    inner = decode(encode_frame(gossip(194)), peer.KINDS)
    assert isinstance(inner, PackedFrame)
    nested = encode_frame(inner)
    packed = PackedFrame(data=pack(nested))
    with pytest.raises(SchemaError, match="another one"):
        unpack_frame(packed, peer.KINDS)


def pack(data: bytes) -> bytes:
    return zstandard.ZstdCompressor().compress(data)
