"""Valid and invalid bytes from a peer, and the queue of frames to a peer."""

import asyncio

import msgpack
import pytest
from hypothesis import given, settings, strategies

from pomelobank_node._frames import MAX_QUEUED_BYTES, FrameStream
from pomelobank_schema import SchemaError, SchemaErrorKind, encode
from pomelobank_schema.generated import peer

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.binary(max_size=20)
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=5)
        | strategies.dictionaries(
            strategies.text(max_size=3) | strategies.integers(0, 9), inner
        )
    ),
    max_leaves=20,
)
FRAMES = strategies.builds(
    lambda kind, fields: msgpack.packb([kind, *fields]),
    strategies.integers(-1, 30),
    strategies.lists(VALUES, max_size=16),
)
VALID = encode(peer.CancelRequest(request_id=7))


@settings(max_examples=150, deadline=None, derandomize=True)
@given(strategies.lists(strategies.binary(max_size=64) | FRAMES, max_size=6))
def test_any_bytes_give_frames_or_one_schema_error(parts: list[bytes]) -> None:
    """Guards against an exception that ends a stream's task unnoticed.

    A peer of another version or a faulty peer sends bytes that are not a frame.
    An unexpected exception would end the task without closing the stream, and
    its callers would wait until their deadlines.
    """
    stream = FrameStream()
    for part in parts:
        stream.data_received(part)
    assert stream.error is None or isinstance(stream.error, SchemaError)
    assert all(type(frame) in peer.KINDS.values() for frame in stream.frames)


def test_unknown_kind_is_skipped() -> None:
    stream = FrameStream()
    stream.data_received(msgpack.packb([99, "later version"]) + VALID)
    assert stream.unknown_frames == 1
    assert list(stream.frames) == [peer.CancelRequest(request_id=7)]


UNFINISHED = b"\xc6" + (1024 * 1024).to_bytes(4, "big") + bytes(100_000)


def test_long_frame_before_the_introduction_is_an_error() -> None:
    """Guards against clients that send endless frames and are no peers."""
    stream = FrameStream()
    stream.is_introduced = False
    stream.data_received(UNFINISHED)
    assert stream.error is not None


def test_incomplete_frame_of_a_peer_is_reported() -> None:
    """Guards against frames that are held without being booked."""
    stream = FrameStream()
    stream.is_introduced = False
    reports: list[int] = []
    stream.on_held = reports.append
    stream.data_received(encode(peer.Hello(node="n")) + UNFINISHED)
    assert stream.error is None
    assert reports == [len(UNFINISHED)]


def test_frames_before_an_error_are_kept() -> None:
    stream = FrameStream()
    stream.data_received(VALID + b"\xc1")
    assert len(stream.frames) == 1
    assert stream.error is not None
    assert stream.error.kind is SchemaErrorKind.MALFORMED


class StuckTransport:
    """A transport whose peer reads no bytes."""

    def __init__(self) -> None:
        self.written: list[bytes] = []
        self.aborted = False
        self.ended = asyncio.Event()

    def write(self, data: bytes) -> None:
        if self.ended.is_set():
            raise RuntimeError("Cannot call write() after write_eof()")
        self.written.append(data)

    def write_eof(self) -> None:
        self.ended.set()

    def abort(self) -> None:
        self.aborted = True


def new_stuck_stream() -> tuple[FrameStream, StuckTransport]:
    stream = FrameStream()
    transport = StuckTransport()
    stream.transport = transport  # type: ignore[assignment]
    return stream, transport


def test_stream_to_a_peer_that_never_reads_is_closed() -> None:
    """Guards against one frozen peer that exhausts the node's memory.

    The peer reads nothing while frames for the peer keep arriving. Without a
    limit on the queue, the node would run out of memory, and the requests to
    all other peers would be lost too.
    """
    stream, transport = new_stuck_stream()
    stream.pause_writing()
    frame = peer.BodyChunk(request_id=1, data=bytes(1024 * 1024))
    sent_frames = 0
    while not transport.aborted:
        stream.send(frame)
        sent_frames += 1
    assert sent_frames * 1024 * 1024 <= MAX_QUEUED_BYTES + 1024 * 1024


@pytest.mark.parametrize(
    ("paused", "tags"),
    [
        pytest.param(False, [5], id="handed over at once"),
        pytest.param(True, [], id="still ours while the kernel is full"),
    ],
)
def test_tag_is_reported_when_its_frame_is_written(
    paused: bool, tags: list[int]
) -> None:
    stream, _ = new_stuck_stream()
    written_tags: list[int] = []
    stream.on_written = written_tags.append
    if paused:
        stream.pause_writing()
    stream.send(peer.CancelRequest(request_id=5), tag=5)
    assert written_tags == tags
    assert stream.withdraw(5) is paused
    stream.resume_writing()
    assert written_tags == tags


def test_queued_frames_are_sent_in_order() -> None:
    stream, transport = new_stuck_stream()
    stream.pause_writing()
    frames = [peer.CancelRequest(request_id=number) for number in (1, 2, 3)]
    for frame in frames:
        stream.send(frame)
    stream.resume_writing()
    assert transport.written == [encode(frame) for frame in frames]
    assert stream.queued_bytes == 0


async def test_reply_during_the_close_does_not_break_the_stream() -> None:
    """Guards against a write after the end of the stream.

    A peer's probe arrives after this node has closed its sending side. A reply
    to the probe would break the stream, and the peer's requests that still run
    here would fail as unknown.
    """
    stream, transport = new_stuck_stream()
    closing = asyncio.create_task(stream.close())
    await transport.ended.wait()
    stream.send(peer.CancelRequest(request_id=1))
    stream.connection_lost(None)
    await closing
    assert not transport.written
    assert not transport.aborted


@pytest.mark.parametrize("size", range(1, len(VALID) + 2))
def test_frames_may_arrive_in_pieces(size: int) -> None:
    """Guards against the loss of a frame that the network splits."""
    stream = FrameStream()
    data = 3 * VALID
    for begin in range(0, len(data), size):
        stream.data_received(data[begin : begin + size])
    assert list(stream.frames) == 3 * [peer.CancelRequest(request_id=7)]


def test_stream_without_an_incomplete_frame_holds_no_unpacker() -> None:
    """Guards against 45 KB of memory for each of hundreds of idle streams."""
    stream = FrameStream()
    stream.data_received(2 * VALID + VALID[:-1])
    assert stream.unpacker is not None
    stream.data_received(VALID[-1:])
    assert stream.unpacker is None


async def _paused_stream() -> FrameStream:
    stream, _ = new_stuck_stream()
    stream.loop = asyncio.get_running_loop()
    stream.pause_writing()
    return stream


async def test_turn_on_a_lost_stream_is_refused() -> None:
    """Guards against a body that waits for a stream which was lost before."""
    stream = await _paused_stream()
    stream.connection_lost(None)
    async with asyncio.timeout(5):
        assert not await stream.acquire_turn()


async def test_close_of_a_stream_does_not_keep_the_turn() -> None:
    """Guards against bodies that wait behind the close of their stream.

    The close takes its turn among them. A body whose turn never came would
    wait until the peer closes its end, and its target's slot with it.
    """
    stream = await _paused_stream()
    stream.send(peer.CancelRequest(request_id=1))
    closing = asyncio.create_task(stream.close())
    await asyncio.sleep(0)
    body = asyncio.create_task(stream.acquire_turn())
    await asyncio.sleep(0)
    stream.resume_writing()
    async with asyncio.timeout(5):
        assert not await body
    stream.connection_lost(None)
    await closing
