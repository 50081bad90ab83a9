"""A peer's requests at the owner node."""

import asyncio
from typing import Any

import pytest

from pomelobank_core import ErrorKind, ManualClock
from pomelobank_node import _frames, _peer_server
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node._peer_server import (
    PeerConnection,
    PeerServer,
    handle_frame,
)
from pomelobank_node._requests import ForwardReply, ForwardRequest
from pomelobank_schema import SchemaError, WireMessage
from pomelobank_schema.generated.peer import (
    BodyChunk,
    BodyCredit,
    CancelRequest,
    Hello,
    SlotAccept,
    SlotOffer,
    StreamClosing,
)


class RecordingStream:
    """Records the sent frames."""

    def __init__(self) -> None:
        self.sent: list[WireMessage] = []

    def send(self, message: WireMessage) -> None:
        self.sent.append(message)


class BlockingOwner:
    """Runs requests until the test sets `release`."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.served: list[ForwardRequest] = []
        self.release = asyncio.Event()
        self.error: Exception | None = None

    async def serve(
        self, request: ForwardRequest, offer_slot: Any = None
    ) -> ForwardReply:
        if offer_slot is not None:
            await offer_slot()
        self.served.append(request)
        await self.release.wait()
        if self.error is not None:
            raise self.error
        return ForwardReply(request_id=request.request_id, status=200)


@pytest.fixture
def connection() -> Any:
    unused: Any = None
    stream: Any = RecordingStream()
    owner: Any = BlockingOwner()
    return PeerConnection(stream, owner, unused, unused, unused)


def request(request_id: int, sent_ms: int = 0, **fields: Any) -> ForwardRequest:
    return ForwardRequest(
        request_id=request_id,
        upstream="main",
        sent_ms=sent_ms,
        remaining_ms=500,
        **fields,
    )


async def run_pending_tasks() -> None:
    for _ in range(3):
        await asyncio.sleep(0)


async def test_request_that_expired_in_a_paused_process(
    connection: Any,
) -> None:
    """Guards against requests that run after their callers received an error.

    This process was stopped for 2 s and then reads the frames that arrived
    meanwhile. A caller that received an error may have sent its reorder again,
    so the reorder would be placed twice.
    """
    owner = connection.owner
    handle_frame(request(1, sent_ms=0), connection)
    owner.clock.advance(2_010)
    handle_frame(request(2, sent_ms=10), connection)
    handle_frame(request(3, sent_ms=1_800), connection)
    await run_pending_tasks()
    assert [item.request_id for item in owner.served] == [1, 3]
    assert owner.served[1].remaining_ms == 500 - 210
    (reply,) = connection.stream.sent
    assert reply.error == ErrorKind.DEADLINE_NOT_RUN.value
    assert connection.expired == 1


async def test_request_received_twice_runs_once(connection: Any) -> None:
    """Guards against a second run when a faulty peer repeats a frame."""
    for request_id in (1, 2, 1, 2):
        handle_frame(request(request_id), connection)
    await run_pending_tasks()
    assert len(connection.owner.served) == 2
    assert connection.duplicates == 2


async def test_cancel_in_the_same_packet_prevents_the_run(
    connection: Any,
) -> None:
    """Guards against the run of a request that is already cancelled.

    A paused node reads a request and its cancellation from one packet.
    """
    handle_frame(request(1), connection)
    handle_frame(CancelRequest(request_id=1), connection)
    await run_pending_tasks()
    assert connection.owner.served == []
    assert connection.running == {}


async def test_late_bound_request_runs_after_its_sender_accepts(
    connection: Any,
) -> None:
    """Guards against a late-bound request that runs at several targets.

    The owner may run such a request only after the sender has accepted the
    offered slot. The sender may accept the slot of another target instead.
    """
    handle_frame(request(1, bind_late=True), connection)
    handle_frame(request(2, bind_late=True), connection)
    await run_pending_tasks()
    offers = connection.stream.sent
    assert offers == [SlotOffer(request_id=1), SlotOffer(request_id=2)]
    assert connection.owner.served == []
    handle_frame(SlotAccept(request_id=2), connection)
    handle_frame(CancelRequest(request_id=1), connection)
    await run_pending_tasks()
    assert [item.request_id for item in connection.owner.served] == [2]
    assert not connection.slot_offers


async def test_slot_accepted_twice_or_never_offered(connection: Any) -> None:
    """Guards against an unexpected frame that fails the stream's requests.

    A faulty peer accepts a slot twice, or a slot that was never offered.
    """
    handle_frame(request(1, bind_late=True), connection)
    await run_pending_tasks()
    for request_id in (1, 1, 7):
        handle_frame(SlotAccept(request_id=request_id), connection)
    await run_pending_tasks()
    assert len(connection.owner.served) == 1
    assert connection.late_frames == 2


async def test_too_many_requests_are_rejected_at_once(
    connection: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one peer that fills the node with tasks.

    The peer sends more requests than a target could start before their
    deadlines.
    """
    monkeypatch.setattr(_peer_server, "MAX_RUNNING", 2)
    for request_id in (1, 2, 3):
        handle_frame(request(request_id), connection)
    await run_pending_tasks()
    (reply,) = connection.stream.sent
    assert reply.request_id == 3
    assert reply.error == ErrorKind.OVERLOADED.value


async def test_unexpected_exception_is_answered(connection: Any) -> None:
    """Guards against a caller that gets no response after an exception."""
    connection.owner.error = ValueError("unforeseen")
    connection.owner.release.set()
    handle_frame(request(1), connection)
    await run_pending_tasks()
    (reply,) = connection.stream.sent
    assert reply.error == ErrorKind.INTERNAL.value


async def test_credit_for_a_body_is_granted_on_the_first_read(
    connection: Any,
) -> None:
    """Guards against a rejected upload that cannot be sent to another target.

    The entry node must not send a part of the body before the target reads.
    """
    handle_frame(request(1, body=b"first", more=True), connection)
    await run_pending_tasks()
    assert connection.stream.sent == []
    (served,) = connection.owner.served
    reading = asyncio.create_task(served.rest.read())
    await run_pending_tasks()
    (credit,) = connection.stream.sent
    assert isinstance(credit, BodyCredit)
    handle_frame(BodyChunk(request_id=1, data=b"second"), connection)
    assert await reading == b"second"
    assert await served.rest.read() == b""


async def test_body_beyond_its_credit_closes_the_stream(
    connection: Any,
) -> None:
    handle_frame(request(1, body=b"first", more=True), connection)
    with pytest.raises(SchemaError):
        handle_frame(BodyChunk(request_id=1, data=b"x", more=True), connection)


@pytest.mark.parametrize(
    "frame",
    [
        pytest.param(BodyChunk(request_id=9, data=b"x"), id="chunk"),
        pytest.param(BodyCredit(request_id=9, bytes=5), id="credit"),
        pytest.param(CancelRequest(request_id=9), id="cancel"),
        pytest.param(ForwardReply(request_id=9), id="reply"),
    ],
)
async def test_frames_of_unknown_requests_are_counted(
    connection: Any, frame: WireMessage
) -> None:
    handle_frame(frame, connection)
    assert connection.late_frames == 1


async def test_stop_announces_the_last_accepted_request(
    connection: Any,
) -> None:
    handle_frame(request(7), connection)
    connection.announce_closing()
    assert connection.stream.sent == [StreamClosing(last_request_id=7)]


async def test_request_that_crosses_stream_closing_is_not_run(
    connection: Any,
) -> None:
    """Guards against a request that runs at two targets during a rolling stop.

    A stopping node announces the last request that it accepted. The peer sends
    a later request to another target, because the request has not run. If the
    stopping node accepted that request too, it would run twice: a filing ran
    here from 7.312 s on, just after StreamClosing, and at another target from
    7.822 s on.
    """
    handle_frame(request(1), connection)
    connection.announce_closing()
    handle_frame(request(2), connection)
    await run_pending_tasks()
    assert [item.request_id for item in connection.owner.served] == [1]
    assert connection.stream.sent == [StreamClosing(last_request_id=1)]


async def test_stop_delivers_the_replies_of_running_requests() -> None:
    """Guards against a lost reply when a node stops while its target works.

    A stream that is closed at once sends no further reply. A list that was
    ready after half a second never reached its caller; the caller waited for
    2.6 s until its connection was closed.
    """
    unused: Any = None
    owner: Any = BlockingOwner()
    server = PeerServer("127.0.0.1:0", owner, unused, unused, unused)
    await server.start()
    links = PeerLinks(Hello(node="entry"))
    forwarding = asyncio.create_task(
        links.to(server.address).forward(request(1))
    )
    while not owner.served:  # noqa: ASYNC110
        await asyncio.sleep(0)
    stopping = asyncio.create_task(server.stop())
    await asyncio.sleep(0.05)
    owner.release.set()
    reply = await forwarding
    await links.stop()
    await stopping
    assert (reply.error, reply.status) == ("", 200)


async def test_stop_does_not_wait_for_a_peer_that_keeps_its_stream_open(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stop that one unresponsive peer delays to its end."""
    monkeypatch.setattr(_frames, "CLOSE_TIMEOUT_S", 3600)
    unused: Any = None
    owner: Any = BlockingOwner()
    server = PeerServer("127.0.0.1:0", owner, unused, unused, None)
    server.stop_timeout_ms = 100
    await server.start()
    host, _, port = server.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    links = PeerLinks(Hello(node="entry"))
    owner.release.set()
    reply = await links.to(server.address).forward(request(1))
    assert reply.status == 200
    await server.stop()
    assert not server.connections
    await links.stop()
    writer.close()
    await writer.wait_closed()
    del reader
