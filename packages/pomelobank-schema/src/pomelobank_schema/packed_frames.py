"""Packs frames that name many members.

Entries of members differ by a few characters. A table of 194 of them takes
20 KB as it stands and a quarter of that packed, and in the start of a mesh each
node is sent it several times over lines between data centres.
"""

import functools

import zstandard

from pomelobank_schema._errors import SchemaError, SchemaErrorKind
from pomelobank_schema._wire import WireMessage, decode, encode
from pomelobank_schema.generated.peer import (
    Gossip,
    IndirectProbe,
    PackedFrame,
    ProbeReply,
    ProbeRequest,
    SyncReply,
)

# Shorter frames gain too little for the work.
_PACK_FROM_BYTES = 400
_LEVEL = 1
_USUAL_BYTES = 16 * 1024
# Thousands of members; a broken peer cannot fill the memory.
_MAX_BYTES = 4 * 1024 * 1024
_PACKED_TYPES = (Gossip, ProbeRequest, ProbeReply, IndirectProbe, SyncReply)


def encode_frame(message: WireMessage) -> bytes:
    """Encodes a frame, packed where that makes it shorter."""
    data = encode(message)
    if len(data) < _PACK_FROM_BYTES or not isinstance(message, _PACKED_TYPES):
        return data
    packed = encode(PackedFrame(data=_packer().compress(data)))
    return min(packed, data, key=len)


def unpack_frame(
    frame: WireMessage, kinds: dict[int, type[WireMessage]]
) -> WireMessage:
    """Returns the frame in a packed one, any other as it is.

    Args:
        frame: The frame as it came.
        kinds: Messages that are allowed here, by kind number.

    Raises:
        SchemaError: If it cannot be unpacked, or holds another packed one.
    """
    if not isinstance(frame, PackedFrame):
        return frame
    inner = decode(_unpack(frame.data), kinds)
    if isinstance(inner, PackedFrame):
        raise _malformed("a packed frame holds another one")
    return inner


def _unpack(data: bytes) -> bytes:
    try:
        size = zstandard.frame_content_size(data)
        if not 0 <= size <= _MAX_BYTES:
            raise _malformed(f"a packed frame cannot be {size} bytes long")
        return _unpacker().decompress(data)
    except zstandard.ZstdError as error:
        raise _malformed(f"not a packed frame: {error}") from None


def _malformed(message: str) -> SchemaError:
    return SchemaError(SchemaErrorKind.MALFORMED, "data", message)


@functools.cache
def _packer() -> zstandard.ZstdCompressor:
    parameters = zstandard.ZstdCompressionParameters.from_level(
        _LEVEL, source_size=_USUAL_BYTES
    )
    return zstandard.ZstdCompressor(compression_params=parameters)


@functools.cache
def _unpacker() -> zstandard.ZstdDecompressor:
    return zstandard.ZstdDecompressor()
