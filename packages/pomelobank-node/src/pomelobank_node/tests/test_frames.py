"""Bytes from a peer, whatever they are."""

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
def test_any_bytes_end_in_frames_or_one_typed_error(parts: list[bytes]) -> None:
    """A peer of another version or with a fault sends what is no frame.

    An exception that nobody expects would end the task of a stream without
    closing it, and its callers would wait until their deadlines.
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


def test_frames_before_an_error_are_kept() -> None:
    stream = FrameStream()
    stream.data_received(VALID + b"\xc1")
    assert len(stream.frames) == 1
    assert stream.error is not None
    assert stream.error.kind is SchemaErrorKind.MALFORMED


class StuckTransport:
    """A transport whose peer takes nothing."""

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


def stuck_stream() -> tuple[FrameStream, StuckTransport]:
    stream = FrameStream()
    transport = StuckTransport()
    stream.transport = transport  # type: ignore[assignment]
    return stream, transport


def test_peer_that_never_reads_is_given_up() -> None:
    """A frozen peer reads nothing while frames for it go on arriving.

    Without a bound the queue for one peer takes all memory of the node, and
    callers of every other peer lose their requests with it.
    """
    stream, transport = stuck_stream()
    stream.pause_writing()
    frame = peer.BodyChunk(request_id=1, data=bytes(1024 * 1024))
    sent = 0
    while not transport.aborted:
        stream.send(frame)
        sent += 1
    assert sent * 1024 * 1024 <= MAX_QUEUED_BYTES + 1024 * 1024


@pytest.mark.parametrize(
    ("paused", "tags"),
    [
        pytest.param(False, [5], id="handed over at once"),
        pytest.param(True, [], id="still ours while the kernel is full"),
    ],
)
def test_tag_is_told_when_a_frame_leaves(paused: bool, tags: list[int]) -> None:
    stream, _ = stuck_stream()
    told: list[int] = []
    stream.on_written = told.append
    if paused:
        stream.pause_writing()
    stream.send(peer.CancelRequest(request_id=5), tag=5)
    assert told == tags
    assert stream.withdraw(5) is paused
    stream.resume_writing()
    assert told == tags


def test_waiting_frames_leave_in_order() -> None:
    stream, transport = stuck_stream()
    stream.pause_writing()
    frames = [peer.CancelRequest(request_id=number) for number in (1, 2, 3)]
    for frame in frames:
        stream.send(frame)
    stream.resume_writing()
    assert transport.written == [encode(frame) for frame in frames]
    assert stream.queued_bytes == 0


async def test_a_frame_that_comes_during_the_close_breaks_nothing() -> None:
    """A peer's probe arrives after this node has said its last word.

    An answer would break the stream; requests of that peer that still run here
    would end with it, and their callers would be told that nobody knows.
    """
    stream, transport = stuck_stream()
    closing = asyncio.create_task(stream.close())
    await transport.ended.wait()
    stream.send(peer.CancelRequest(request_id=1))
    stream.connection_lost(None)
    await closing
    assert not transport.written
    assert not transport.aborted


@pytest.mark.parametrize("size", range(1, len(VALID) + 2))
def test_frames_may_come_in_pieces(size: int) -> None:
    """Guards against a frame that is lost where the network cuts it."""
    stream = FrameStream()
    data = 3 * VALID
    for begin in range(0, len(data), size):
        stream.data_received(data[begin : begin + size])
    assert list(stream.frames) == 3 * [peer.CancelRequest(request_id=7)]


def test_a_stream_without_half_a_frame_holds_no_unpacker() -> None:
    """Guards against 45 KB for each of hundreds of streams at rest."""
    stream = FrameStream()
    stream.data_received(2 * VALID + VALID[:-1])
    assert stream.unpacker is not None
    stream.data_received(VALID[-1:])
    assert stream.unpacker is None
