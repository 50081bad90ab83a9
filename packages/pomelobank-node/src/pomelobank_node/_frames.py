"""Frames encoded as msgpack on a TCP stream between two nodes."""

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Callable

import msgpack

from pomelobank_node._socket_options import enable_dead_peer_detection
from pomelobank_node.buffering import MIN_BOOKED_BYTES
from pomelobank_schema import (
    SchemaError,
    SchemaErrorKind,
    WireMessage,
    decode_values,
)
from pomelobank_schema.generated import peer
from pomelobank_schema.packed_frames import encode_frame, unpack_frame

_logger = logging.getLogger(__name__)

# Maximum size of a frame. A frame carries at most the headers and one part of a
# body, or a batch of records. A sender that exceeds the limit is faulty, and
# the receiving node closes the stream before the frame exhausts the node's
# memory.
MAX_FRAME_BYTES = 16 * 1024 * 1024
# Maximum size of an incomplete frame on an accepted stream before the peer has
# introduced itself. A client that is no peer then costs little more than its
# connection.
_MAX_FIRST_FRAME_BYTES = 64 * 1024
# Queued bytes at which a stream is closed because its peer does not read. One
# frozen peer then costs a node a few megabytes instead of all memory.
MAX_QUEUED_BYTES = 8 * 1024 * 1024
# Number of received frames that may wait to be handled. Above this number, the
# node stops reading from the stream until all of these frames are handled.
_MAX_READ_AHEAD = 256
# Maximum number of unsent bytes of a stream that the kernel may hold. Further
# frames stay in the queue of this process, where a short frame can still
# overtake the parts of an archive.
_KERNEL_UNSENT_BYTES = 64 * 1024


# Longest wait at a stop for a peer that does not read or close its stream.
CLOSE_TIMEOUT_S = 1.0


def _ignore(_: int) -> None:
    """Ignores a written frame, or a change of the bytes held."""


class FrameStream(asyncio.Protocol):
    """Sends and receives whole frames.

    A frame is written to the connection at once while the kernel accepts
    bytes. Later frames wait in the stream's own queue, so that the stream knows
    for each frame whether any byte of it may have been sent.

    Attributes:
        loop: The event loop, once the stream is connected.
        bytes_sent: Bytes of all frames sent, for the metrics.
        bytes_received: Bytes received, for the metrics.
        unknown_frames: Number of frames of a kind that this version does not
            know.
        unpacker: Holds an incompletely received frame; None if every received
            frame is complete.
        fed_bytes: Bytes that were fed to the unpacker.
        unpacked_bytes: Those among them that belong to complete frames.
        is_introduced: Whether the peer has introduced itself, or this node
            opened the stream.
        on_held: Called with the bytes of the incomplete frame and of the queued
            frames when they change, once they are many.
        reported_bytes: Argument of the last call of `on_held`.
        queued_bytes: Bytes of the queued frames.
        closed: Whether the connection has been lost or closed.
        write_closed: Whether the sending side has been closed, so that no
            further frame may be sent.
        on_written: Called with the tag of a frame when the frame is written to
            the connection.
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
        self.unpacked_bytes = 0
        self.is_introduced = True
        self.on_held: Callable[[int], None] = _ignore
        self.reported_bytes = 0
        self.frames: deque[WireMessage] = deque()
        self.error: SchemaError | None = None
        self.reader: asyncio.Future[None] | None = None
        self.queue: deque[tuple[bytes, int]] = deque()
        self.turns: deque[asyncio.Future[None]] = deque()
        self.paused = False
        self.closed = False
        self.write_closed = False
        self.read_paused = False
        self.lost = asyncio.Event()
        self.bytes_sent = 0
        self.bytes_received = 0
        self.unknown_frames = 0
        self.queued_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sets the socket options."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.loop = asyncio.get_running_loop()
        # asyncio then calls pause_writing as soon as the kernel has not
        # accepted all bytes of a frame.
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
        """Wakes the reader and the bodies that wait for their turn."""
        self.closed = True
        self.lost.set()
        self._resume_reader()
        self._end_turns()

    def _end_turns(self) -> None:
        while self.turns:
            turn = self.turns.popleft()
            if not turn.done():
                turn.set_result(None)

    def pause_writing(self) -> None:
        """Queues the following frames."""
        self.paused = True

    def resume_writing(self) -> None:
        """Sends the queued frames, then gives the next body its turn."""
        self.paused = False
        while self.queue and not self.paused:
            data, tag = self.queue.popleft()
            self.queued_bytes -= len(data)
            self._write(data, tag)
        self._report_held()
        while self.turns and not self.paused:
            turn = self.turns.popleft()
            if not turn.done():
                turn.set_result(None)
                return

    def send(self, message: WireMessage, tag: int = 0) -> None:
        """Sends a frame, or queues it behind the frames that wait.

        Args:
            message: The frame.
            tag: Passed to `on_written` once bytes of the frame may have been
                sent.
        """
        if not self._can_send():
            return
        data = encode_frame(message)
        if not self.paused and not self.queue:
            self._write(data, tag)
            return
        self.queue.append((data, tag))
        self.queued_bytes += len(data)
        self._report_held()
        if self.queued_bytes > MAX_QUEUED_BYTES:
            _logger.warning(
                "peer.slow_reader", extra={"queued_bytes": self.queued_bytes}
            )
            self.abort()

    def withdraw(self, tag: int) -> bool:
        """Removes a queued frame; returns False if it may have been sent."""
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

        Bodies take turns in the order of their calls. Queued frames are sent
        first, so that a look-up never waits for more than one part of a body.

        Returns:
            Whether frames can still be sent.
        """
        if self._can_send() and (self.paused or self.queue or self.turns):
            waiting = self.loop.create_future()
            self.turns.append(waiting)
            try:
                await waiting
            except asyncio.CancelledError:
                self.release_turn()
                raise
        return self._can_send()

    def _can_send(self) -> bool:
        return not self.closed and not self.write_closed

    def release_turn(self) -> None:
        """Gives the next body its turn; called after a part was sent."""
        while self.turns and not self.paused and not self.queue:
            turn = self.turns.popleft()
            if not turn.done():
                turn.set_result(None)
                return

    def data_received(self, data: bytes) -> None:
        """Decodes received bytes into frames."""
        self.bytes_received += len(data)
        try:
            self._unpack(data)
        except SchemaError as error:
            self.error = error
        except msgpack.exceptions.BufferFull:
            self.error = _malformed("frame exceeds the maximum size")
        except (ValueError, msgpack.exceptions.UnpackException) as error:
            self.error = _malformed(f"not msgpack: {error}")
        if len(self.frames) > _MAX_READ_AHEAD or self.error is not None:
            self._pause_reading()
        self._resume_reader()

    def _unpack(self, data: bytes) -> None:
        # An unpacker takes 45 KB, and a node of a large mesh has hundreds of
        # streams, so the stream keeps the unpacker only while a received frame
        # is incomplete.
        if self.unpacker is None:
            self.unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)
            self.fed_bytes = self.unpacked_bytes = 0
        unpacker = self.unpacker
        self.fed_bytes += len(data)
        unpacker.feed(data)
        for values in unpacker:
            self.unpacked_bytes = unpacker.tell()
            self._decode(values)
        if self.unpacked_bytes == self.fed_bytes:
            self.unpacker = None
        elif not self.is_introduced and (
            self.fed_bytes - self.unpacked_bytes > _MAX_FIRST_FRAME_BYTES
        ):
            raise _malformed("the peer has not introduced itself")
        self._report_held()

    def _report_held(self) -> None:
        held_bytes = self.fed_bytes - self.unpacked_bytes + self.queued_bytes
        if held_bytes < MIN_BOOKED_BYTES:
            held_bytes = 0
        if held_bytes != self.reported_bytes:
            self.reported_bytes = held_bytes
            self.on_held(held_bytes)

    def _decode(self, values: object) -> None:
        try:
            frame = decode_values(values, peer.KINDS)
            message = unpack_frame(frame, peer.KINDS)
            self.is_introduced |= isinstance(message, peer.Hello)
            self.frames.append(message)
        except SchemaError as error:
            if error.kind is not SchemaErrorKind.UNKNOWN_KIND:
                raise
            self.unknown_frames += 1

    def _pause_reading(self) -> None:
        if self.transport is not None and not self.read_paused:
            self.read_paused = True
            self.transport.pause_reading()

    def _resume_reader(self) -> None:
        if self.reader is not None and not self.reader.done():
            self.reader.set_result(None)

    async def receive(self) -> WireMessage | None:
        """Returns the next frame, None at the end of the stream.

        Raises:
            SchemaError: If the peer sends bytes that are not a frame; the
                stream cannot be used any further.
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
        """Closes the connection after the queued frames were sent."""
        if self.transport is None:
            return
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                while self.queue and await self.acquire_turn():
                    continue
                if not self.closed:
                    # The peer closes its end after it has read all frames. If
                    # this node closed the socket first, the kernel could reset
                    # the connection, and the last replies would be lost.
                    # Frames of the peer still arrive meanwhile; a reply to
                    # them must not be written after the end of the stream.
                    self.write_closed = True
                    self._end_turns()
                    self.transport.write_eof()
                await self.lost.wait()
        except (OSError, TimeoutError):
            self.transport.abort()


def _malformed(message: str) -> SchemaError:
    return SchemaError(SchemaErrorKind.MALFORMED, "", message)
