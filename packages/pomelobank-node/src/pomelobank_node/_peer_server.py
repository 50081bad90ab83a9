"""Accepts the streams of peers and runs the peers' requests."""

import asyncio
import functools
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import attrs

from pomelobank_core import ErrorKind, FrameAge
from pomelobank_core.buffering import BufferAccount, CloseReason
from pomelobank_node._bodies import (
    WINDOW_BYTES,
    BodyBuffer,
    rest_of,
    with_rest,
)
from pomelobank_node._body_frames import Credit, ReceiveWindow, send_rest
from pomelobank_node._frames import FrameStream
from pomelobank_node._membership import Membership
from pomelobank_node._owner import Owner
from pomelobank_node._requests import RequestError, error_reply
from pomelobank_node.buffering import BufferManager
from pomelobank_schema import (
    SchemaError,
    SchemaErrorKind,
    WireMessage,
    parse_address,
)
from pomelobank_schema.generated.peer import (
    AnswerReport,
    BodyChunk,
    BodyCredit,
    CancelRequest,
    CrashReport,
    DepartureSyncRequest,
    DocumentPush,
    ForwardReply,
    ForwardRequest,
    FreshnessQuery,
    FreshnessReply,
    Gossip,
    Hello,
    IndirectProbe,
    ProbeReply,
    ProbeRequest,
    PromotionAck,
    PromotionStep,
    RecordsPull,
    RecordsPush,
    RolloutSync,
    SlotAccept,
    SlotOffer,
    SnapshotPush,
    StreamClosing,
    SuspicionSync,
    SyncReply,
    SyncRequest,
    TokenGrant,
    TokenRequest,
    VersionDigest,
    VoteReply,
    VoteRequest,
    WithdrawRequest,
)

if TYPE_CHECKING:
    from pomelobank_node._claims import ClaimService

_logger = logging.getLogger(__name__)

# Maximum number of requests of one peer that run or wait at once. A target has
# 10 to 20 slots and a short queue, so further requests could not start before
# their deadlines. The node rejects them at once, so that one peer cannot
# exhaust this node's memory with tasks.
MAX_RUNNING = 1024
# Length of the kernel's queue of unaccepted connections. After most of the
# fleet has crashed, all returning nodes may know the same few members and
# connect to them at once (a thundering herd). The kernel repeats a handshake
# that overflows the queue only after a second, and a returning node would look
# crashed to the members that it cannot reach meanwhile.
ACCEPT_BACKLOG = 1024
# Longest time that a stop takes by default.
_STOP_TIMEOUT_MS = 5000
_MS_PER_S = 1000


class PeerFrames(Protocol):
    """Handles peers' frames about one subject."""

    def receive(self, frame: WireMessage) -> None:
        """Handles one frame."""


class FreshnessFrames(Protocol):
    """Handles peers' frames about the age of their knowledge of the source."""

    def receive_query(self, frame: FreshnessQuery) -> None:
        """Replies to a peer's query."""

    def receive_reply(self, frame: FreshnessReply) -> None:
        """Handles a peer's reply."""


class DepartureFrames(Protocol):
    """Handles peers' frames about departures of targets."""

    def receive_request(
        self,
        frame: DepartureSyncRequest,
        reply: Callable[[WireMessage], None],
    ) -> None:
        """Adds a peer's departure and replies."""


@attrs.define(eq=False)
class Upload:
    """The rest of a request's body while it is received.

    Attributes:
        buffer: Received parts that have not been read yet.
        window: Receive window that limits the bytes that the peer may send.
    """

    buffer: BodyBuffer
    window: ReceiveWindow


@attrs.define(eq=False)
class PeerConnection:
    """One accepted stream.

    Attributes:
        stream: The stream.
        owner: Runs the peer's requests.
        membership: Handles the peer's gossip.
        feed: Handles the peer's frames about the configuration.
        claims: Runs the peer's requests with an idempotency key once; None if
            the targets handle the keys themselves.
        freshness: Handles the peer's frames about the age of its knowledge;
            None if this node has no published configuration.
        usage_caps: Handles the peer's frames about usage caps; None if the node
            has none.
        departures: Handles the peer's frames about departures of targets.
        rollouts: Handles the peer's frames about roll-outs; None if the node
            does not handle any.
        running: Tasks of the peer's requests, by request id.
        uploads: Request bodies that are being received, by request id.
        credits: Credit that the peer granted for response bodies, by request
            id.
        slot_offers: Slots offered to the peer, by request id.
        age: Estimates how long the peer's frames were delayed.
        last_id: Highest request id that the node accepted.
        closing: Whether the node has announced that it accepts no later
            request.
        duplicates: Number of requests whose id had been used before.
        expired: Number of requests that arrived after their deadline.
        late_frames: Number of frames of requests that had ended.
        buffers: Books what the stream holds.
        body_bytes: Size of the first parts of the running requests' bodies, by
            request id.
        frames_account: Frames that are incomplete or that the peer does not
            read.
        bodies_account: Bodies of requests, and credit for them.
    """

    stream: FrameStream
    owner: Owner
    membership: Membership
    feed: PeerFrames
    claims: "ClaimService | None"
    freshness: FreshnessFrames | None = None
    usage_caps: PeerFrames | None = None
    departures: DepartureFrames | None = None
    rollouts: PeerFrames | None = None
    running: dict[int, asyncio.Task[None]] = attrs.field(factory=dict)
    uploads: dict[int, Upload] = attrs.field(factory=dict)
    credits: dict[int, Credit] = attrs.field(factory=dict)
    slot_offers: dict[int, asyncio.Future[None]] = attrs.field(factory=dict)
    age: FrameAge = attrs.field(factory=FrameAge)
    last_id: int = 0
    closing: bool = False
    duplicates: int = 0
    expired: int = 0
    late_frames: int = 0
    buffers: BufferManager = attrs.field(factory=BufferManager)
    body_bytes: dict[int, int] = attrs.field(factory=dict)
    frames_account: BufferAccount = attrs.field(init=False)
    bodies_account: BufferAccount = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.frames_account = BufferAccount(self)
        self.bodies_account = BufferAccount(self)
        self.stream.on_held = self._book_frames

    def _book_frames(self, held_bytes: int) -> None:
        received_bytes = self.stream.bytes_received
        self.buffers.book(self.frames_account, held_bytes, True, received_bytes)

    def _book_bodies(self) -> None:
        held_bytes = sum(self.body_bytes.values()) + sum(
            item.window.allowed + item.buffer.size
            for item in self.uploads.values()
        )
        self.buffers.book(self.bodies_account, held_bytes, False, 0)

    def release_buffers(self) -> None:
        """Closes the stream, because memory is short."""
        self.buffers.record(CloseReason.NO_MEMORY, "peers", "")
        self.stream.abort()

    async def run(self) -> None:
        """Handles frames until the stream ends."""
        try:
            while (frame := await self.stream.receive()) is not None:
                handle_frame(frame, self)
        except (OSError, SchemaError) as error:
            _logger.warning("peer.stream_broken", extra={"error": str(error)})
        finally:
            for task in list(self.running.values()):
                task.cancel()
            self.stream.abort()
            self.buffers.budget.release(self.frames_account)
            self.buffers.budget.release(self.bodies_account)

    def start(self, request: ForwardRequest) -> None:
        """Runs one request in a task of its own."""
        if request.request_id <= self.last_id:
            # The peer assigns increasing ids. A frame that is received twice
            # must not run twice.
            self.duplicates += 1
            return
        if self.closing:
            # The request crossed this node's StreamClosing frame. The peer
            # treats the request as not run and sends it to another target, so
            # the request would run twice if this node accepted it.
            return
        self.last_id = request.request_id
        received_ms = self.owner.clock.now_ms()
        age_ms = self.age.age_ms(request.sent_ms, received_ms)
        if age_ms >= request.remaining_ms:
            # This process or the peer was paused, or the network delayed the
            # frame. The caller has already received an error, and a request
            # that runs now could repeat work that the caller sent again.
            self.expired += 1
            self._refuse(request, ErrorKind.DEADLINE_NOT_RUN)
            return
        if len(self.running) >= MAX_RUNNING or not self._has_room(request):
            self._refuse(request, ErrorKind.OVERLOADED)
            return
        if age_ms:
            request = attrs.evolve(
                request, remaining_ms=request.remaining_ms - age_ms
            )
        if request.body:
            self.body_bytes[request.request_id] = len(request.body)
        if request.more:
            request = self._with_body_buffer(request)
        self._book_bodies()
        self._run(request)

    def _has_room(self, request: ForwardRequest) -> bool:
        budget = self.buffers.budget
        if request.more:
            return budget.accepts_long_bodies
        return not request.body or budget.accepts_requests

    def _run(self, request: ForwardRequest) -> None:
        request_id = request.request_id
        task = asyncio.create_task(self._answer(request))
        self.running[request_id] = task
        # A task that is cancelled before its first step never enters its own
        # `finally` block, so a callback does the clean-up.
        task.add_done_callback(lambda _: self._ended(request_id))

    def _ended(self, request_id: int) -> None:
        del self.running[request_id]
        self.uploads.pop(request_id, None)
        if self.body_bytes.pop(request_id, 0) or self.bodies_account.held_bytes:
            self._book_bodies()

    def _refuse(self, request: ForwardRequest, kind: ErrorKind) -> None:
        self.stream.send(error_reply(request.request_id, RequestError(kind)))

    async def _answer(self, request: ForwardRequest) -> None:
        try:
            reply = await self._serve(request)
        except Exception:
            _logger.exception("request.failed")
            self._refuse(request, ErrorKind.INTERNAL)
            return
        self.stream.send(reply)
        rest = rest_of(reply)
        if rest is None:
            return
        credit = self.credits[request.request_id] = Credit()
        credit.add(WINDOW_BYTES)
        try:
            await send_rest(self.stream, request.request_id, rest, credit)
        finally:
            rest.close()
            del self.credits[request.request_id]

    async def _serve(self, request: ForwardRequest) -> ForwardReply:
        # A request without an upstream has an idempotency key that this node
        # must claim before the request is routed.
        if not request.upstream and self.claims is not None:
            return await self.claims.serve(request)
        if not request.bind_late:
            return await self.owner.serve(request)
        return await self.owner.serve(
            request, lambda: self._offer_slot(request.request_id)
        )

    async def _offer_slot(self, request_id: int) -> bool:
        acceptance = asyncio.get_running_loop().create_future()
        self.slot_offers[request_id] = acceptance
        self.stream.send(SlotOffer(request_id=request_id))
        try:
            await acceptance
        finally:
            del self.slot_offers[request_id]
        return True

    def _with_body_buffer(self, request: ForwardRequest) -> ForwardRequest:
        request_id = request.request_id

        def send_credit(size: int) -> None:
            self.stream.send(BodyCredit(request_id=request_id, bytes=size))
            self._book_bodies()

        window = ReceiveWindow(
            send_credit,
            0,
            window_bytes=lambda: self.buffers.budget.window_bytes(WINDOW_BYTES),
        )
        buffer = BodyBuffer(
            window.on_read, lambda: self._upload_closed(request_id)
        )
        self.uploads[request_id] = Upload(buffer, window)
        return with_rest(request, buffer)

    def _upload_closed(self, request_id: int) -> None:
        self.uploads.pop(request_id, None)

    def on_chunk(self, frame: BodyChunk) -> None:
        """Handles a part of a request's body."""
        upload = self.uploads.get(frame.request_id)
        if upload is None:
            self.late_frames += 1
            return
        if not upload.window.consume(len(frame.data)):
            raise SchemaError(
                SchemaErrorKind.OUT_OF_RANGE,
                "",
                "request body exceeds the granted credit",
            )
        upload.buffer.put(frame.data)
        if frame.aborted:
            upload.buffer.fail(ErrorKind.BODY_INCOMPLETE)
        elif not frame.more:
            upload.buffer.end()

    def on_credit(self, frame: BodyCredit) -> None:
        """Handles the peer's credit for more of a response body."""
        credit = self.credits.get(frame.request_id)
        if credit is None:
            self.late_frames += 1
            return
        credit.add(max(0, frame.bytes))

    def cancel(self, request_id: int) -> None:
        """Cancels a request that its sender has cancelled."""
        task = self.running.get(request_id)
        if task is None:
            self.late_frames += 1
            return
        task.cancel()

    def withdraw(self, request_id: int) -> None:
        """Rejects a request that waits for a slot; its sender is stopping."""
        task = self.running.get(request_id)
        if task is None:
            self.late_frames += 1
            return
        acceptance = self.slot_offers.get(request_id)
        if acceptance is not None and not acceptance.done():
            acceptance.set_exception(RequestError(ErrorKind.DRAINING))
        # The task of a request that was received just before has not begun yet.
        asyncio.get_running_loop().call_soon(
            self.owner.admission_queue.reject_if_waiting, task
        )

    def on_slot_accept(self, request_id: int) -> None:
        """Runs a late-bound request in the slot that the peer has accepted."""
        acceptance = self.slot_offers.get(request_id)
        if acceptance is None or acceptance.done():
            self.late_frames += 1
            return
        acceptance.set_result(None)

    def announce_closing(self) -> None:
        """Announces to the peer that later requests will not be accepted."""
        self.closing = True
        self.stream.send(StreamClosing(last_request_id=self.last_id))

    async def finish(self) -> None:
        """Closes the stream once all replies were sent."""
        # A closing stream sends no further replies. If the stream were closed
        # while a target works, a response that is ready shortly afterwards
        # would be lost, and its caller would wait until the deadline.
        running = list(self.running.values())
        if running:
            await asyncio.wait(running)
        await self.stream.close()


@functools.singledispatch
def handle_frame(frame: WireMessage, connection: PeerConnection) -> None:
    """Handles one frame of a peer; frames without a handler are ignored."""


@handle_frame.register
def _(frame: Hello, connection: PeerConnection) -> None:
    _logger.debug("peer.hello", extra={"peer": frame.node})


@handle_frame.register
def _(frame: ForwardRequest, connection: PeerConnection) -> None:
    connection.start(frame)


@handle_frame.register
def _(frame: BodyChunk, connection: PeerConnection) -> None:
    connection.on_chunk(frame)


@handle_frame.register
def _(frame: BodyCredit, connection: PeerConnection) -> None:
    connection.on_credit(frame)


@handle_frame.register
def _(frame: CancelRequest, connection: PeerConnection) -> None:
    connection.cancel(frame.request_id)


@handle_frame.register
def _(frame: WithdrawRequest, connection: PeerConnection) -> None:
    connection.withdraw(frame.request_id)


@handle_frame.register
def _(frame: SlotAccept, connection: PeerConnection) -> None:
    connection.on_slot_accept(frame.request_id)


@handle_frame.register
def _(frame: ForwardReply, connection: PeerConnection) -> None:
    # This node sends no requests on a stream that a peer opened, so no caller
    # waits for this reply.
    connection.late_frames += 1


@handle_frame.register(Gossip)
@handle_frame.register(ProbeRequest)
@handle_frame.register(ProbeReply)
@handle_frame.register(IndirectProbe)
@handle_frame.register(SyncRequest)
@handle_frame.register(SyncReply)
def _(frame: WireMessage, connection: PeerConnection) -> None:
    connection.membership.receive(frame, connection.stream.send)


@handle_frame.register
def _(frame: CrashReport, connection: PeerConnection) -> None:
    connection.owner.crash_reports.receive(frame)


@handle_frame.register
def _(frame: SuspicionSync, connection: PeerConnection) -> None:
    connection.owner.crash_reports.receive_sync(frame)


@handle_frame.register(RecordsPull)
@handle_frame.register(RecordsPush)
@handle_frame.register(SnapshotPush)
@handle_frame.register(DocumentPush)
@handle_frame.register(VersionDigest)
def _(frame: WireMessage, connection: PeerConnection) -> None:
    connection.feed.receive(frame)


@handle_frame.register
def _(frame: FreshnessQuery, connection: PeerConnection) -> None:
    if connection.freshness is not None:
        connection.freshness.receive_query(frame)


@handle_frame.register
def _(frame: FreshnessReply, connection: PeerConnection) -> None:
    if connection.freshness is not None:
        connection.freshness.receive_reply(frame)


@handle_frame.register
def _(frame: DepartureSyncRequest, connection: PeerConnection) -> None:
    if connection.departures is not None:
        connection.departures.receive_request(frame, connection.stream.send)


@handle_frame.register(AnswerReport)
@handle_frame.register(PromotionAck)
@handle_frame.register(PromotionStep)
@handle_frame.register(RolloutSync)
def _(frame: WireMessage, connection: PeerConnection) -> None:
    if connection.rollouts is not None:
        connection.rollouts.receive(frame)


@handle_frame.register(TokenRequest)
@handle_frame.register(TokenGrant)
@handle_frame.register(VoteRequest)
@handle_frame.register(VoteReply)
def _(frame: WireMessage, connection: PeerConnection) -> None:
    if connection.usage_caps is not None:
        connection.usage_caps.receive(frame)


@attrs.define(eq=False)
class PeerServer:
    """Listens for peers.

    Attributes:
        listen: Address to listen on.
        owner: Runs peers' requests.
        membership: Handles peers' gossip.
        feed: Handles peers' frames about the configuration.
        claims: Runs peers' requests with an idempotency key once; None if the
            targets handle the keys themselves.
        freshness: Handles peers' frames about the age of their knowledge; None
            if this node has no published configuration.
        usage_caps: Handles peers' frames about usage caps; None if the node has
            none.
        departures: Handles peers' frames about departures of targets.
        rollouts: Handles peers' frames about roll-outs; None if the node does
            not handle any.
        address: The bound address, once the server listens.
        connections: Accepted streams and their tasks.
        buffers: Books what streams hold.
        max_streams: Maximum number of accepted streams.
        rejected_streams: Number of streams closed above this limit.
        closed_bytes: Bytes sent on streams that have ended.
    """

    listen: str
    owner: Owner
    membership: Membership
    feed: PeerFrames
    claims: "ClaimService | None"
    freshness: FreshnessFrames | None = None
    usage_caps: PeerFrames | None = None
    departures: DepartureFrames | None = None
    rollouts: PeerFrames | None = None
    stop_timeout_ms: int = _STOP_TIMEOUT_MS
    address: str = ""
    server: asyncio.Server | None = None
    connections: dict[PeerConnection, asyncio.Task[None]] = attrs.field(
        factory=dict
    )
    buffers: BufferManager = attrs.field(factory=BufferManager)
    max_streams: int = attrs.field()
    rejected_streams: int = 0
    closed_bytes: int = 0

    @max_streams.default
    def _max_streams(self) -> int:
        return self.buffers.connection_limits().peers

    async def start(self) -> None:
        """Starts listening."""
        host, port = parse_address(self.listen)
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: FrameStream(self._accept),
            host,
            port,
            backlog=ACCEPT_BACKLOG,
        )
        socket_address = self.server.sockets[0].getsockname()
        self.address = f"{socket_address[0]}:{socket_address[1]}"

    def _accept(self, stream: FrameStream) -> None:
        if len(self.connections) >= self.max_streams:
            self.rejected_streams += 1
            stream.abort()
            return
        stream.is_introduced = False
        connection = PeerConnection(
            stream,
            self.owner,
            self.membership,
            self.feed,
            self.claims,
            self.freshness,
            self.usage_caps,
            self.departures,
            self.rollouts,
            buffers=self.buffers,
        )
        task = asyncio.create_task(connection.run())
        self.connections[connection] = task
        task.add_done_callback(lambda _: self._ended(connection))

    def _ended(self, connection: PeerConnection) -> None:
        del self.connections[connection]
        self.closed_bytes += connection.stream.bytes_sent

    @property
    def bytes_sent(self) -> int:
        """Bytes of the frames sent on all streams that peers opened."""
        open_bytes = sum(item.stream.bytes_sent for item in self.connections)
        return self.closed_bytes + open_bytes

    async def stop(self) -> None:
        """Stops listening and ends every stream.

        Each stream is closed once its replies were sent, independently of the
        others, so that a peer that does not respond delays no other peer.
        """
        if self.server is not None:
            self.server.close()
        connections = list(self.connections)
        for connection in connections:
            connection.announce_closing()
        try:
            async with asyncio.timeout(self.stop_timeout_ms / _MS_PER_S):
                await asyncio.gather(*(item.finish() for item in connections))
        except TimeoutError:
            self._log_open_streams()
        tasks = list(self.connections.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _log_open_streams(self) -> None:
        _logger.info(
            "peers.cut_off",
            extra={
                "streams": len(self.connections),
                "running": sum(len(item.running) for item in self.connections),
            },
        )
