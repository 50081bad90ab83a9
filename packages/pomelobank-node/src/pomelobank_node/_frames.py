"""Frames of msgpack on a TCP stream between two nodes."""

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Callable

import msgpack

from pomelobank_node._socket_options import enable_dead_peer_detection
from pomelobank_schema import (
    SchemaError,
    SchemaErrorKind,
    WireMessage,
    decode_values,
)
from pomelobank_schema.generated import peer
from pomelobank_schema.packed_frames import encode_frame, unpack_frame

_logger = logging.getLogger(__name__)

# A frame carries at most one part of a body and its headers, or a batch of
# records; a sender that exceeds this is broken, and its stream is closed
# before it fills our memory.
MAX_FRAME_BYTES = 16 * 1024 * 1024
# Frames that wait for a peer which does not read. Beyond this the peer is
# held to be stuck: its stream is closed, so that one frozen peer costs a node
# a few megabytes and not all its memory.
MAX_QUEUED_BYTES = 8 * 1024 * 1024
# Frames that were read and not handled yet; reading pauses above it.
_MAX_READ_AHEAD = 256
# Bytes that the kernel may hold unsent. What waits beyond that stays in our
# queue, where a short frame can still overtake the parts of an archive.
_KERNEL_UNSENT_BYTES = 64 * 1024


# A peer that takes nothing for so long is not worth waiting for at a stop.
CLOSE_TIMEOUT_S = 2.0


def _ignore(_: int) -> None:
    """Takes no notice."""


class FrameStream(asyncio.Protocol):
    """Sends and receives whole frames.

    A frame is handed to the connection at once while the kernel takes it.
    Later frames wait in a queue of their own, so that it is known of each
    whether any byte of it may have left.

    Attributes:
        loop: The event loop, once there is a connection.
        bytes_sent: Bytes of all frames sent, for the metrics.
        bytes_received: Bytes that came in, for the metrics.
        unknown_frames: Frames of a kind this version does not know.
        unpacker: Holds the part of a frame that has come; None where there is
            none.
        fed_bytes: Bytes that the unpacker was given.
        queued_bytes: Bytes of the frames that wait.
        closed: Set once the connection is gone.
        said_all: Set once no frame may be sent any more.
        on_written: Called with the tag of a frame when it is handed over.
    """

    def __init__(
        self, on_connected: Callable[["FrameStream"], None] | None = None
    ) -> None:
        self.on_connected = on_connected
        self.on_written: Callable[[int], None] = _ignore
        self.transport: asyncio.Transport | None = None
        self.loop: asyncio.AbstractEventLoop
        self.unpacker: msgpack.Unpacker | None = None
        self.fed_bytes = 0
        self.frames: deque[WireMessage] = deque()
        self.error: SchemaError | None = None
        self.reader: asyncio.Future[None] | None = None
        self.queue: deque[tuple[bytes, int]] = deque()
        self.turns: deque[asyncio.Future[None]] = deque()
        self.paused = False
        self.closed = False
        self.said_all = False
        self.read_paused = False
        self.lost = asyncio.Event()
        self.bytes_sent = 0
        self.bytes_received = 0
        self.unknown_frames = 0
        self.queued_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.loop = asyncio.get_running_loop()
        # Be told as soon as the kernel did not take all of a frame.
        transport.set_write_buffer_limits(high=0)
        enable_dead_peer_detection(transport)
        sock = transport.get_extra_info("socket")
        if hasattr(socket, "TCP_NOTSENT_LOWAT"):
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_NOTSENT_LOWAT,
                _KERNEL_UNSENT_BYTES,
            )
        if self.on_connected is not None:
            self.on_connected(self)

    def connection_lost(self, _: Exception | None) -> None:
        """Wakes everyone who waits."""
        self.closed = True
        self.lost.set()
        self._wake_reader()
        while self.turns:
            turn = self.turns.popleft()
            if not turn.done():
                turn.set_result(None)

    def pause_writing(self) -> None:
        """Lets frames wait."""
        self.paused = True

    def resume_writing(self) -> None:
        """Sends the frames that waited, then gives bodies their turns."""
        self.paused = False
        while self.queue and not self.paused:
            data, tag = self.queue.popleft()
            self.queued_bytes -= len(data)
            self._write(data, tag)
        while self.turns and not self.paused:
            turn = self.turns.popleft()
            if not turn.done():
                turn.set_result(None)
                return

    def send(self, message: WireMessage, tag: int = 0) -> None:
        """Sends a frame, or queues it behind those that wait.

        Args:
            message: The frame.
            tag: Passed to `on_written` once bytes of it may have left.
        """
        if self.closed or self.said_all:
            return
        data = encode_frame(message)
        if not self.paused and not self.queue:
            self._write(data, tag)
            return
        self.queue.append((data, tag))
        self.queued_bytes += len(data)
        if self.queued_bytes > MAX_QUEUED_BYTES:
            _logger.warning(
                "peer.slow_reader", extra={"queued_bytes": self.queued_bytes}
            )
            self.abort()

    def withdraw(self, tag: int) -> bool:
        """Takes back a frame that waits; False where it may have left."""
        for item in self.queue:
            if item[1] == tag:
                self.queue.remove(item)
                self.queued_bytes -= len(item[0])
                return True
        return False

    def _write(self, data: bytes, tag: int) -> None:
        assert self.transport is not None
        if tag:
            self.on_written(tag)
        self.bytes_sent += len(data)
        self.transport.write(data)

    async def acquire_turn(self) -> bool:
        """Waits until a part of a body may be sent.

        Bodies take turns in the order in which they asked; frames that wait go
        first, so that a look-up never waits for more than a part.

        Returns:
            Whether the stream is still open.
        """
        if self.paused or self.queue or self.turns:
            waiting = self.loop.create_future()
            self.turns.append(waiting)
            try:
                await waiting
            except asyncio.CancelledError:
                self.release_turn()
                raise
        return not self.closed

    def release_turn(self) -> None:
        """Passes the turn on; called after a part was sent."""
        while self.turns and not self.paused and not self.queue:
            turn = self.turns.popleft()
            if not turn.done():
                turn.set_result(None)
                return

    def data_received(self, data: bytes) -> None:
        """Decodes what came in."""
        self.bytes_received += len(data)
        try:
            self._unpack(data)
        except SchemaError as error:
            self.error = error
        except msgpack.exceptions.BufferFull:
            self.error = _malformed("a frame is too large")
        except (ValueError, msgpack.exceptions.UnpackException) as error:
            self.error = _malformed(f"not msgpack: {error}")
        if len(self.frames) > _MAX_READ_AHEAD or self.error is not None:
            self._pause_reading()
        self._wake_reader()

    def _unpack(self, data: bytes) -> None:
        # An unpacker takes 45 KB, and in a large mesh a node has hundreds of
        # streams; so it is kept only while a frame is not whole.
        if self.unpacker is None:
            self.unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)
            self.fed_bytes = 0
        unpacker = self.unpacker
        self.fed_bytes += len(data)
        unpacker.feed(data)
        end = 0
        for values in unpacker:
            end = unpacker.tell()
            self._decode(values)
        if end == self.fed_bytes:
            self.unpacker = None

    def _decode(self, values: object) -> None:
        try:
            frame = decode_values(values, peer.KINDS)
            self.frames.append(unpack_frame(frame, peer.KINDS))
        except SchemaError as error:
            if error.kind is not SchemaErrorKind.UNKNOWN_KIND:
                raise
            self.unknown_frames += 1

    def _pause_reading(self) -> None:
        if self.transport is not None and not self.read_paused:
            self.read_paused = True
            self.transport.pause_reading()

    def _wake_reader(self) -> None:
        if self.reader is not None and not self.reader.done():
            self.reader.set_result(None)

    async def receive(self) -> WireMessage | None:
        """Returns the next frame, None at the end of the stream.

        Raises:
            SchemaError: If the peer sends what is not a frame; the stream
                cannot be used any further.
        """
        while not self.frames:
            if self.error is not None:
                raise self.error
            if self.closed:
                return None
            self._resume_reading()
            self.reader = self.loop.create_future()
            await self.reader
        return self.frames.popleft()

    def _resume_reading(self) -> None:
        if self.read_paused and self.transport is not None:
            self.read_paused = False
            self.transport.resume_reading()

    def abort(self) -> None:
        """Closes the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    async def close(self) -> None:
        """Closes the connection after the frames that wait were sent."""
        if self.transport is None:
            return
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                while self.queue and await self.acquire_turn():
                    continue
                if not self.closed:
                    # The peer closes when it has read all of this. Closing
                    # first could reset the connection, and the last answers
                    # would be lost on the way.
                    # The peer's frames still come meanwhile, and what
                    # answers them must not break the stream.
                    self.said_all = True
                    self.transport.write_eof()
                await self.lost.wait()
        except (OSError, TimeoutError):
            self.transport.abort()


def _malformed(message: str) -> SchemaError:
    return SchemaError(SchemaErrorKind.MALFORMED, "", message)
