"""Requests to a peer that replies late, twice, incorrectly or never."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from pomelobank_core import ErrorKind
from pomelobank_node._bodies import WINDOW_BYTES, rest_of
from pomelobank_node._frames import FrameStream
from pomelobank_node._peer_links import PeerLink, PeerLinks
from pomelobank_node._requests import ForwardReply, ForwardRequest, RequestError
from pomelobank_schema import WireMessage
from pomelobank_schema.generated.peer import (
    BodyChunk,
    BodyCredit,
    CancelRequest,
    Hello,
    SlotAccept,
    SlotOffer,
    StreamClosing,
)

LONG_MS = 60_000


class ScriptedPeer:
    """A peer whose frames the test sends one by one."""

    def __init__(self) -> None:
        self.accepted: asyncio.Queue[FrameStream] = asyncio.Queue()
        self.stream: FrameStream | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: FrameStream(self.accepted.put_nowait), "127.0.0.1", 0
        )
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def expect(self, kind: type[WireMessage]) -> WireMessage:
        if self.stream is None:
            self.stream = await self.accepted.get()
            assert isinstance(await self.stream.receive(), Hello)
        frame = await self.stream.receive()
        assert isinstance(frame, kind), frame
        return frame

    def send(self, frame: WireMessage) -> None:
        assert self.stream is not None
        self.stream.send(frame)


@pytest.fixture
async def peer() -> AsyncIterator[ScriptedPeer]:
    scripted = ScriptedPeer()
    await scripted.start()
    yield scripted
    scripted.server.close()


@pytest.fixture
async def link(peer: ScriptedPeer) -> AsyncIterator[PeerLink]:
    opened = PeerLinks(Hello(node="entry")).to(peer.address)
    yield opened
    await opened.close()


def request(remaining_ms: int = LONG_MS) -> ForwardRequest:
    return ForwardRequest(method="GET", remaining_ms=remaining_ms)


def start(
    link: PeerLink, remaining_ms: int = LONG_MS
) -> "asyncio.Task[ForwardReply]":
    return asyncio.create_task(link.forward(request(remaining_ms)))


async def test_reordered_repeated_and_unknown_replies(
    link: PeerLink, peer: ScriptedPeer
) -> None:
    """Guards against a caller that receives the response of another caller.

    Replies arrive in another order, twice, and for unknown request ids. A user
    would see the stock of another counter.
    """
    first, second = start(link), start(link)
    await peer.expect(ForwardRequest)
    await peer.expect(ForwardRequest)
    peer.send(ForwardReply(request_id=99, status=200, body=b"nobody"))
    peer.send(ForwardReply(request_id=2, status=200, body=b"two"))
    peer.send(ForwardReply(request_id=2, status=200, body=b"two again"))
    peer.send(ForwardReply(request_id=1, status=200, body=b"one"))
    assert [(await first).body, (await second).body] == [b"one", b"two"]
    assert link.late_replies == 2


async def test_sent_request_on_a_lost_stream_is_unknown(
    link: PeerLink, peer: ScriptedPeer
) -> None:
    """Guards against "not run" for a request that may have run.

    The owner node crashes after it received the request.
    """
    task = start(link)
    await peer.expect(ForwardRequest)
    assert peer.stream is not None
    peer.stream.abort()
    assert (await task).error == ErrorKind.PEER_LOST.value


async def test_unsent_request_on_a_lost_stream_did_not_run(
    link: PeerLink, peer: ScriptedPeer
) -> None:
    """Guards against "unknown" for a request that was never sent.

    The owner node freezes, the socket to the owner fills up, and the owner
    crashes. Callers may repeat a request that did not run; an unknown request
    is lost for callers that must not repeat it.
    """
    sent = start(link)
    await peer.expect(ForwardRequest)
    assert link.current is not None
    link.current.stream.pause_writing()
    waiting = start(link)
    await asyncio.sleep(0)
    assert len(link.current.calls) == 2
    link.current.stream.abort()
    assert (await sent).error == ErrorKind.PEER_LOST.value
    assert (await waiting).error == ErrorKind.PEER_UNREACHABLE.value


async def test_frozen_owner_does_not_delay_the_caller(
    link: PeerLink, peer: ScriptedPeer
) -> None:
    """Guards against a caller that waits forever for a frozen owner node.

    The owner node is stopped and sends no reply, but its socket stays open.
    Only the deadline at the entry node ends the request.
    """
    task = start(link, remaining_ms=30)
    frame = await peer.expect(ForwardRequest)
    assert isinstance(frame, ForwardRequest)
    assert (await task).error == ErrorKind.DEADLINE_UNKNOWN.value
    cancel = await peer.expect(CancelRequest)
    assert cancel == CancelRequest(request_id=frame.request_id)


async def test_unsent_request_past_its_deadline_did_not_run(
    link: PeerLink, peer: ScriptedPeer
) -> None:
    """Guards against a request that is sent after its caller got "not run".

    The socket to a frozen owner stays full until the deadline passes, so the
    stream must remove the queued frame.
    """
    await link.connect()
    assert link.current is not None
    stream = link.current.stream
    stream.pause_writing()
    reply = await link.forward(request(remaining_ms=20))
    assert reply.error == ErrorKind.DEADLINE_NOT_RUN.value
    assert not stream.queue


async def test_cancelled_caller_cancels_the_request(
    link: PeerLink, peer: ScriptedPeer
) -> None:
    task = start(link)
    frame = await peer.expect(ForwardRequest)
    assert isinstance(frame, ForwardRequest)
    task.cancel()
    cancel = await peer.expect(CancelRequest)
    assert cancel == CancelRequest(request_id=frame.request_id)


async def test_stopping_peer_rejects_unaccepted_requests(
    link: PeerLink, peer: ScriptedPeer
) -> None:
    """Guards against "unknown" for a request that a stopping owner never read.

    The owner stops as planned while a request is being sent. The later request
    did not run; the owner still replies to the earlier request.
    """
    first, second = start(link), start(link)
    await peer.expect(ForwardRequest)
    await peer.expect(ForwardRequest)
    peer.send(StreamClosing(last_request_id=1))
    assert (await second).error == ErrorKind.DRAINING.value
    peer.send(ForwardReply(request_id=1, status=200, body=b"done"))
    assert (await first).body == b"done"


async def test_long_response_waits_for_its_reader(
    link: PeerLink, peer: ScriptedPeer
) -> None:
    """Guards against an archive that fills the memory of the entry node.

    The archive arrives faster than the caller reads.
    """
    task = start(link)
    await peer.expect(ForwardRequest)
    peer.send(ForwardReply(request_id=1, status=200, body=b"a", more=True))
    peer.send(BodyChunk(request_id=1, data=bytes(WINDOW_BYTES), more=True))
    rest = rest_of(await task)
    assert rest is not None
    assert len(await rest.read()) == WINDOW_BYTES
    credit = await peer.expect(BodyCredit)
    assert credit == BodyCredit(request_id=1, bytes=WINDOW_BYTES)
    peer.send(BodyChunk(request_id=1, data=b"z"))
    assert await rest.read() == b"z"
    assert await rest.read() == b""


async def test_response_beyond_its_credit_closes_the_stream(
    link: PeerLink, peer: ScriptedPeer
) -> None:
    """Guards against a faulty peer that ignores credit and fills the memory.

    The peer sends one byte more than the flow-control window allows.
    """
    task = start(link)
    await peer.expect(ForwardRequest)
    peer.send(ForwardReply(request_id=1, status=200, more=True))
    peer.send(BodyChunk(request_id=1, data=bytes(WINDOW_BYTES + 1), more=True))
    rest = rest_of(await task)
    assert rest is not None
    with pytest.raises(RequestError):
        await rest.read()


async def test_response_on_a_lost_stream_is_incomplete(
    link: PeerLink, peer: ScriptedPeer
) -> None:
    """Guards against a truncated response that looks complete.

    The owner crashes after it has sent the first part of a response.
    """
    task = start(link)
    await peer.expect(ForwardRequest)
    peer.send(ForwardReply(request_id=1, status=200, body=b"a", more=True))
    rest = rest_of(await task)
    assert rest is not None and peer.stream is not None
    peer.stream.abort()
    with pytest.raises(RequestError):
        await rest.read()


async def test_response_aborted_by_the_owner_is_incomplete(
    link: PeerLink, peer: ScriptedPeer
) -> None:
    """Guards against a truncated response that looks complete.

    The target crashes in the middle of an archive; the owner node keeps
    running.
    """
    task = start(link)
    await peer.expect(ForwardRequest)
    peer.send(ForwardReply(request_id=1, status=200, body=b"a", more=True))
    peer.send(BodyChunk(request_id=1, aborted=True))
    rest = rest_of(await task)
    assert rest is not None
    with pytest.raises(RequestError):
        await rest.read()


@pytest.mark.parametrize(
    ("accepts", "expected_frame"),
    [
        pytest.param(True, SlotAccept, id="accepted"),
        pytest.param(False, CancelRequest, id="bound elsewhere"),
    ],
)
async def test_offered_slot_is_accepted_or_released(
    link: PeerLink,
    peer: ScriptedPeer,
    accepts: bool,
    expected_frame: type[WireMessage],
) -> None:
    """Guards against a slot reserved for a request that runs elsewhere.

    The owner offers a slot. If the entry node has bound the request to another
    target by then, the entry node must release the slot; otherwise the slot
    would stay reserved.
    """
    task = asyncio.create_task(link.forward(request(), lambda: accepts))
    await peer.expect(ForwardRequest)
    peer.send(SlotOffer(request_id=1))
    await peer.expect(expected_frame)
    peer.send(ForwardReply(request_id=1, status=200))
    reply = await task
    assert (reply.status == 200) is accepts


async def test_slot_offered_after_the_request_ended(
    link: PeerLink, peer: ScriptedPeer
) -> None:
    """Guards against an offer for a cancelled request that breaks the stream.

    The owner offers the slot before it reads the cancellation. Later requests
    on the stream must still get their responses.
    """
    task = asyncio.create_task(link.forward(request(), lambda: True))
    await peer.expect(ForwardRequest)
    task.cancel()
    await peer.expect(CancelRequest)
    peer.send(SlotOffer(request_id=1))
    second = start(link)
    await peer.expect(ForwardRequest)
    peer.send(ForwardReply(request_id=2, status=200))
    assert (await second).status == 200
    assert link.late_replies == 1
