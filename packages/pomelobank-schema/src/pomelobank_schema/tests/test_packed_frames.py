"""Encoding and decoding of packed frames."""

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
            BodyChunk(request_id=1, data=b"a" * 9000),
            id="frame without member entries",
        ),
    ],
)
def test_frame_is_unchanged_after_encoding_and_decoding(
    frame: Gossip | BodyChunk,
) -> None:
    received = decode(encode_frame(frame), peer.KINDS)
    assert unpack_frame(received, peer.KINDS) == frame


def test_member_table_is_compressed_to_a_third() -> None:
    """Guards against member tables that are sent uncompressed."""
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
def test_invalid_packed_frame_is_rejected(data: bytes, message: str) -> None:
    """A faulty peer sends bytes that are not compressed or expand too far.

    A node that decompressed without a limit could run out of memory.
    """
    with pytest.raises(SchemaError, match=message):
        unpack_frame(PackedFrame(data=data), peer.KINDS)


def test_packed_frame_inside_a_packed_frame_is_rejected() -> None:
    """Guards against a faulty peer that nests packed frames in packed frames.

    Each level that the node unpacked would cost it processor time and memory.
    """
    inner = decode(encode_frame(gossip(194)), peer.KINDS)
    assert isinstance(inner, PackedFrame)
    nested = encode_frame(inner)
    packed = PackedFrame(data=compress(nested))
    with pytest.raises(SchemaError, match="another packed frame"):
        unpack_frame(packed, peer.KINDS)


def compress(data: bytes) -> bytes:
    return zstandard.ZstdCompressor().compress(data)
