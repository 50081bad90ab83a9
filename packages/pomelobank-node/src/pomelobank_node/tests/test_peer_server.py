"""A peer's requests at the node of the target."""

import asyncio
from typing import Any

import pytest

from pomelobank_core import ErrorKind, ManualClock
from pomelobank_node import _peer_server
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
    """Keeps what was sent."""

    def __init__(self) -> None:
        self.sent: list[WireMessage] = []

    def send(self, message: WireMessage) -> None:
        self.sent.append(message)


class HeldOwner:
    """Runs requests until the test lets them end."""

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
    owner: Any = HeldOwner()
    return PeerConnection(stream, owner, unused, unused, unused)


def request(number: int, sent_ms: int = 0, **fields: Any) -> ForwardRequest:
    return ForwardRequest(
        request_id=number,
        upstream="main",
        sent_ms=sent_ms,
        remaining_ms=500,
        **fields,
    )


async def step() -> None:
    for _ in range(3):
        await asyncio.sleep(0)


async def test_request_that_aged_in_a_paused_process(connection: Any) -> None:
    """This process was stopped for 2 s and now reads what came meanwhile.

    The callers were answered long ago; a reorder that ran now would be one
    that its caller believes lost and has lodged elsewhere.
    """
    owner = connection.owner
    handle_frame(request(1, sent_ms=0), connection)
    owner.clock.advance(2_010)
    handle_frame(request(2, sent_ms=10), connection)
    handle_frame(request(3, sent_ms=1_800), connection)
    await step()
    assert [item.request_id for item in owner.served] == [1, 3]
    assert owner.served[1].remaining_ms == 500 - 210
    (reply,) = connection.stream.sent
    assert reply.error == ErrorKind.DEADLINE_NOT_RUN.value
    assert connection.expired == 1


async def test_request_that_comes_twice_runs_once(connection: Any) -> None:
    """A peer with a fault sends a frame again."""
    for number in (1, 2, 1, 2):
        handle_frame(request(number), connection)
    await step()
    assert len(connection.owner.served) == 2
    assert connection.duplicates == 2


async def test_cancel_in_the_same_packet_prevents_the_run(
    connection: Any,
) -> None:
    """A paused node finds a request and its cancellation side by side."""
    handle_frame(request(1), connection)
    handle_frame(CancelRequest(request_id=1), connection)
    await step()
    assert connection.owner.served == []
    assert connection.running == {}


async def test_late_bound_request_runs_after_its_sender_accepts(
    connection: Any,
) -> None:
    """Guards against a request that runs at each target where it waits."""
    handle_frame(request(1, bind_late=True), connection)
    handle_frame(request(2, bind_late=True), connection)
    await step()
    offers = connection.stream.sent
    assert offers == [SlotOffer(request_id=1), SlotOffer(request_id=2)]
    assert connection.owner.served == []
    handle_frame(SlotAccept(request_id=2), connection)
    handle_frame(CancelRequest(request_id=1), connection)
    await step()
    assert [item.request_id for item in connection.owner.served] == [2]
    assert not connection.slot_offers


async def test_slot_accepted_twice_or_never_offered(connection: Any) -> None:
    """Guards against a frame out of turn that ends the stream's other work."""
    handle_frame(request(1, bind_late=True), connection)
    await step()
    for number in (1, 1, 7):
        handle_frame(SlotAccept(request_id=number), connection)
    await step()
    assert len(connection.owner.served) == 1
    assert connection.late_frames == 2


async def test_too_many_requests_are_refused_at_once(
    connection: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One peer sends more than any target could start in time."""
    monkeypatch.setattr(_peer_server, "MAX_RUNNING", 2)
    for number in (1, 2, 3):
        handle_frame(request(number), connection)
    await step()
    (reply,) = connection.stream.sent
    assert reply.request_id == 3
    assert reply.error == ErrorKind.OVERLOADED.value


async def test_fault_of_our_own_is_answered(connection: Any) -> None:
    """An exception that nobody foresaw must not leave the caller waiting."""
    connection.owner.error = ValueError("unforeseen")
    connection.owner.release.set()
    handle_frame(request(1), connection)
    await step()
    (reply,) = connection.stream.sent
    assert reply.error == ErrorKind.INTERNAL.value


async def test_body_is_asked_for_only_when_it_is_read(connection: Any) -> None:
    """A refused upload must still be whole at the entry, to go elsewhere."""
    handle_frame(request(1, body=b"first", more=True), connection)
    await step()
    assert connection.stream.sent == []
    (served,) = connection.owner.served
    reading = asyncio.create_task(served.rest.read())
    await step()
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
async def test_frames_of_no_request_are_counted(
    connection: Any, frame: WireMessage
) -> None:
    handle_frame(frame, connection)
    assert connection.late_frames == 1


async def test_stop_names_the_last_request_taken(connection: Any) -> None:
    handle_frame(request(7), connection)
    connection.announce_closing()
    assert connection.stream.sent == [StreamClosing(last_request_id=7)]


async def test_request_that_crosses_the_last_word_is_not_run(
    connection: Any,
) -> None:
    """A node stops and tells a peer which of its requests it has taken.

    A request that was on its way meanwhile is sent elsewhere by the peer, as
    one that has not run. Taken all the same, a reorder runs at two targets: at
    a rolling stop a filing ran here from 7.312 s on, a moment after the last
    word, and at another target from 7.822 s on.
    """
    handle_frame(request(1), connection)
    connection.announce_closing()
    handle_frame(request(2), connection)
    await step()
    assert [item.request_id for item in connection.owner.served] == [1]
    assert connection.stream.sent == [StreamClosing(last_request_id=1)]


async def test_stop_delivers_the_replies_of_requests_that_run() -> None:
    """A node stops while its target works on a peer's request.

    Closed at once, the stream takes no reply any more: a list that was ready
    after half a second never reached its caller, who waited for 2.6 s and
    found the connection closed.
    """
    unused: Any = None
    owner: Any = HeldOwner()
    server = PeerServer("127.0.0.1:0", owner, unused, unused, unused)
    await server.start()
    links = PeerLinks(Hello(node="entry"))
    calling = asyncio.create_task(links.to(server.address).forward(request(1)))
    while not owner.served:  # noqa: ASYNC110
        await asyncio.sleep(0)
    stopping = asyncio.create_task(server.stop())
    await asyncio.sleep(0.05)
    owner.release.set()
    reply = await calling
    await links.stop()
    await stopping
    assert (reply.error, reply.status) == ("", 200)
