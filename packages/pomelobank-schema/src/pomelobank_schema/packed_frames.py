"""Compresses frames that contain many member entries.

Member entries differ by a few characters and therefore compress well: a table
of 194 members takes 20 KB uncompressed and a quarter of that compressed. At the
start of a mesh, each node receives the table several times over network links
between data centres.
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

# Minimum size of a frame that is compressed. Compressing a shorter frame saves
# too few bytes to justify the processor time.
_MIN_PACKED_BYTES = 400
_COMPRESSION_LEVEL = 1
_TYPICAL_FRAME_BYTES = 16 * 1024
# Maximum size of an unpacked frame. The entries of thousands of members fit,
# and a faulty peer's frame cannot take more memory than this.
_MAX_UNPACKED_BYTES = 4 * 1024 * 1024
_PACKED_TYPES = (Gossip, ProbeRequest, ProbeReply, IndirectProbe, SyncReply)


def encode_frame(message: WireMessage) -> bytes:
    """Encodes a frame, compressed if that makes the frame shorter."""
    data = encode(message)
    if len(data) < _MIN_PACKED_BYTES or not isinstance(message, _PACKED_TYPES):
        return data
    packed = encode(PackedFrame(data=_compressor().compress(data)))
    return min(packed, data, key=len)


def unpack_frame(
    frame: WireMessage, kinds: dict[int, type[WireMessage]]
) -> WireMessage:
    """Returns the frame inside a packed frame, any other frame unchanged.

    Args:
        frame: The received frame.
        kinds: Allowed message classes by kind number.

    Raises:
        SchemaError: If the frame cannot be decompressed or contains another
            packed frame.
    """
    if not isinstance(frame, PackedFrame):
        return frame
    inner = decode(_unpack(frame.data), kinds)
    if isinstance(inner, PackedFrame):
        raise _malformed("a packed frame contains another packed frame")
    return inner


def _unpack(data: bytes) -> bytes:
    try:
        size = zstandard.frame_content_size(data)
        if not 0 <= size <= _MAX_UNPACKED_BYTES:
            raise _malformed(
                f"a packed frame cannot be {size} bytes long, allowed is 0 to"
                f" {_MAX_UNPACKED_BYTES}"
            )
        return _decompressor().decompress(data)
    except zstandard.ZstdError as error:
        raise _malformed(f"not a packed frame: {error}") from None


def _malformed(message: str) -> SchemaError:
    return SchemaError(SchemaErrorKind.MALFORMED, "data", message)


@functools.cache
def _compressor() -> zstandard.ZstdCompressor:
    parameters = zstandard.ZstdCompressionParameters.from_level(
        _COMPRESSION_LEVEL, source_size=_TYPICAL_FRAME_BYTES
    )
    return zstandard.ZstdCompressor(compression_params=parameters)


@functools.cache
def _decompressor() -> zstandard.ZstdDecompressor:
    return zstandard.ZstdDecompressor()
