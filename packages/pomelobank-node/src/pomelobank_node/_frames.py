"""Frames of msgpack on a TCP stream between two nodes."""

import asyncio

import attrs
import msgpack

from pomelobank_schema import (
    SchemaError,
    SchemaErrorKind,
    WireMessage,
    decode_values,
    encode,
)
from pomelobank_schema.generated import peer

READ_SIZE = 64 * 1024
# A frame carries at most one chunk of a body and its headers; a sender that
# exceeds this is broken, and its stream is closed before it fills our memory.
MAX_FRAME_BYTES = 80 * 1024 * 1024


@attrs.define(eq=False)
class FrameStream:
    """Sends and receives whole frames.

    Attributes:
        reader: Incoming bytes.
        writer: Outgoing bytes.
        unpacker: Splits the incoming bytes.
        bytes_sent: For the metrics.
        unknown_frames: Frames of a kind this version does not know.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    unpacker: msgpack.Unpacker = attrs.field(
        factory=lambda: msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)
    )
    bytes_sent: int = 0
    unknown_frames: int = 0

    def send(self, message: WireMessage) -> None:
        """Queues a frame for sending."""
        data = encode(message)
        self.bytes_sent += len(data)
        self.writer.write(data)

    async def receive(self) -> WireMessage | None:
        """Returns the next frame, None at the end of the stream.

        Raises:
            SchemaError: If the peer sends what is not a frame; the stream
                cannot be used any further.
        """
        while True:
            for values in self.unpacker:
                message = self._decode(values)
                if message is not None:
                    return message
            data = await self.reader.read(READ_SIZE)
            if not data:
                return None
            self._feed(data)

    def _feed(self, data: bytes) -> None:
        try:
            self.unpacker.feed(data)
        except msgpack.exceptions.BufferFull:
            raise SchemaError(
                SchemaErrorKind.OUT_OF_RANGE, "", "a frame is too large"
            ) from None

    def _decode(self, values: object) -> WireMessage | None:
        try:
            return decode_values(values, peer.KINDS)
        except SchemaError as error:
            if error.kind is not SchemaErrorKind.UNKNOWN_KIND:
                raise
            self.unknown_frames += 1
            return None

    async def close(self) -> None:
        """Closes the connection."""
        self.writer.close()
        try:
            await self.writer.wait_closed()
        except OSError:
            return
