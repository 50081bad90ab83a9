"""Accepts the streams of peers."""

import asyncio
import functools
import logging
from typing import TYPE_CHECKING, Protocol

import attrs

from pomelobank_core import ErrorKind, FrameAge
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
from pomelobank_schema import (
    SchemaError,
    SchemaErrorKind,
    WireMessage,
    parse_address,
)
from pomelobank_schema.generated.peer import (
    BodyChunk,
    BodyCredit,
    CancelRequest,
    CrashReport,
    DocumentPush,
    ForwardReply,
    ForwardRequest,
    Gossip,
    Hello,
    IndirectProbe,
    ProbeReply,
    ProbeRequest,
    RecordsPull,
    RecordsPush,
    SlotAccept,
    SlotOffer,
    SnapshotPush,
    StreamClosing,
    SyncReply,
    SyncRequest,
    VersionDigest,
)

if TYPE_CHECKING:
    from pomelobank_node._claims import ClaimService

_logger = logging.getLogger(__name__)

# Requests of one peer that are handled at once. A target has 10 to 20 slots
# and a short queue, so more than this cannot start in time; the peer is told
# so at once, and one peer cannot fill this node with tasks.
MAX_RUNNING = 1024
# Streams of peers. Each of 1,000 nodes opens one; the rest is for streams
# that are being replaced during a storm of reconnects.
MAX_STREAMS = 2048
# After most of the fleet has died, everybody who returns may know the same few
# members. A handshake that finds no room is repeated after a second, and the
# herd would look dead to those it cannot reach.
ACCEPT_BACKLOG = 1024
# Longest wait at a stop for the replies of requests that run; what is left of
# the grace may be less.
_REPLIES_S = 5.0


class ConfigFrames(Protocol):
    """Takes peers' frames about the configuration."""

    def receive(self, frame: WireMessage) -> None:
        """Takes one frame."""


@attrs.define(eq=False)
class Upload:
    """The rest of a request's body on its way in.

    Attributes:
        buffer: Parts that the target has not taken yet.
        grants: What the peer may send.
    """

    buffer: BodyBuffer
    grants: ReceiveWindow


@attrs.define(eq=False)
class PeerConnection:
    """One accepted stream.

    Attributes:
        stream: The stream.
        owner: Runs the peer's requests.
        membership: Takes the peer's gossip.
        feed: Takes the peer's frames about the configuration.
        claims: Runs the peer's requests with an idempotency key, None where
            keys are left to the targets.
        running: Tasks of the peer's requests, by request id.
        uploads: Bodies on their way in, by request id.
        credits: What the peer granted for answers, by request id.
        slot_offers: Slots that were offered to the peer, by request id.
        age: Tells how old the peer's frames are.
        last_id: Highest request id taken.
        closing: Whether the peer was told that later ones are not taken.
        duplicates: Requests whose id had been used.
        expired: Requests that came after their deadline.
        late_frames: Frames of requests that had ended.
    """

    stream: FrameStream
    owner: Owner
    membership: Membership
    feed: ConfigFrames
    claims: "ClaimService | None"
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

    def start(self, request: ForwardRequest) -> None:
        """Runs one request in a task of its own."""
        if request.request_id <= self.last_id:
            # Ids only grow. A frame that came twice must not run twice.
            self.duplicates += 1
            return
        if self.closing:
            # It crossed the last word, after which the peer sends it elsewhere
            # as not run. Taken here as well, it would run twice.
            return
        self.last_id = request.request_id
        received_ms = self.owner.clock.now_ms()
        age_ms = self.age.age_ms(request.sent_ms, received_ms)
        if age_ms >= request.remaining_ms:
            # This process or the peer was paused, or the network held the
            # frame. Its caller has been answered; running it now could only
            # do harm.
            self.expired += 1
            self._refuse(request, ErrorKind.DEADLINE_NOT_RUN)
            return
        if len(self.running) >= MAX_RUNNING:
            self._refuse(request, ErrorKind.OVERLOADED)
            return
        if age_ms:
            request = attrs.evolve(
                request, remaining_ms=request.remaining_ms - age_ms
            )
        if request.more:
            request = self._with_rest(request)
        self._run(request)

    def _run(self, request: ForwardRequest) -> None:
        request_id = request.request_id
        task = asyncio.create_task(self._answer(request))
        self.running[request_id] = task
        # A task that is cancelled before its first step runs no clean-up of
        # its own.
        task.add_done_callback(lambda _: self._ended(request_id))

    def _ended(self, request_id: int) -> None:
        del self.running[request_id]
        self.uploads.pop(request_id, None)

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
        # Without an upstream: the key is to be claimed here first.
        if not request.upstream and self.claims is not None:
            return await self.claims.serve(request)
        if not request.bind_late:
            return await self.owner.serve(request)
        return await self.owner.serve(
            request, lambda: self._offer_slot(request.request_id)
        )

    async def _offer_slot(self, request_id: int) -> bool:
        accepted = asyncio.get_running_loop().create_future()
        self.slot_offers[request_id] = accepted
        self.stream.send(SlotOffer(request_id=request_id))
        try:
            await accepted
        finally:
            del self.slot_offers[request_id]
        return True

    def _with_rest(self, request: ForwardRequest) -> ForwardRequest:
        request_id = request.request_id

        def grant(size: int) -> None:
            self.stream.send(BodyCredit(request_id=request_id, bytes=size))

        grants = ReceiveWindow(grant, 0)
        buffer = BodyBuffer(
            grants.on_read, lambda: self._upload_closed(request_id)
        )
        self.uploads[request_id] = Upload(buffer, grants)
        return with_rest(request, buffer)

    def _upload_closed(self, request_id: int) -> None:
        self.uploads.pop(request_id, None)

    def chunk(self, frame: BodyChunk) -> None:
        """Takes a part of a request's body."""
        upload = self.uploads.get(frame.request_id)
        if upload is None:
            self.late_frames += 1
            return
        if not upload.grants.consume(len(frame.data)):
            raise SchemaError(
                SchemaErrorKind.OUT_OF_RANGE, "", "more bytes than granted"
            )
        upload.buffer.put(frame.data)
        if frame.aborted:
            upload.buffer.fail(ErrorKind.BODY_INCOMPLETE)
        elif not frame.more:
            upload.buffer.end()

    def credit(self, frame: BodyCredit) -> None:
        """Takes the peer's leave to send more of an answer."""
        credit = self.credits.get(frame.request_id)
        if credit is None:
            self.late_frames += 1
            return
        credit.add(max(0, frame.bytes))

    def cancel(self, request_id: int) -> None:
        """Ends a request that its caller gave up."""
        task = self.running.get(request_id)
        if task is None:
            self.late_frames += 1
            return
        task.cancel()

    def accept(self, request_id: int) -> None:
        """Lets a request run in the slot that the peer was offered."""
        accepted = self.slot_offers.get(request_id)
        if accepted is None or accepted.done():
            self.late_frames += 1
            return
        accepted.set_result(None)

    def announce_closing(self) -> None:
        """Tells the peer that later requests will not be taken."""
        self.closing = True
        self.stream.send(StreamClosing(last_request_id=self.last_id))


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
    connection.chunk(frame)


@handle_frame.register
def _(frame: BodyCredit, connection: PeerConnection) -> None:
    connection.credit(frame)


@handle_frame.register
def _(frame: CancelRequest, connection: PeerConnection) -> None:
    connection.cancel(frame.request_id)


@handle_frame.register
def _(frame: SlotAccept, connection: PeerConnection) -> None:
    connection.accept(frame.request_id)


@handle_frame.register
def _(frame: ForwardReply, connection: PeerConnection) -> None:
    # Requests go the other way on this stream, so no caller waits here.
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


@handle_frame.register(RecordsPull)
@handle_frame.register(RecordsPush)
@handle_frame.register(SnapshotPush)
@handle_frame.register(DocumentPush)
@handle_frame.register(VersionDigest)
def _(frame: WireMessage, connection: PeerConnection) -> None:
    connection.feed.receive(frame)


@attrs.define(eq=False)
class PeerServer:
    """Listens for peers.

    Attributes:
        listen: Address to listen on.
        owner: Runs peers' requests.
        membership: Takes peers' gossip.
        feed: Takes peers' frames about the configuration.
        claims: Runs peers' requests with an idempotency key, None where keys
            are left to the targets.
        address: Address that is really used, once it listens.
        connections: Accepted streams and their tasks.
        rejected_streams: Streams that were closed because there were too many.
        closed_bytes: Bytes sent on streams that have ended.
    """

    listen: str
    owner: Owner
    membership: Membership
    feed: ConfigFrames
    claims: "ClaimService | None"
    address: str = ""
    server: asyncio.Server | None = None
    connections: dict[PeerConnection, asyncio.Task[None]] = attrs.field(
        factory=dict
    )
    rejected_streams: int = 0
    closed_bytes: int = 0

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
        bound = self.server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def _accept(self, stream: FrameStream) -> None:
        if len(self.connections) >= MAX_STREAMS:
            self.rejected_streams += 1
            stream.abort()
            return
        connection = PeerConnection(
            stream, self.owner, self.membership, self.feed, self.claims
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
        """Stops listening and ends every stream."""
        if self.server is not None:
            self.server.close()
        connections = list(self.connections)
        for connection in connections:
            connection.announce_closing()
        await self._wait_for_replies()
        await asyncio.gather(*(item.stream.close() for item in connections))
        tasks = list(self.connections.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _wait_for_replies(self) -> None:
        # A closing stream takes no reply any more. Closed while targets work,
        # an answer that is ready a moment later is lost, and its caller waits
        # for it until the deadline.
        running = [
            task
            for connection in self.connections
            for task in connection.running.values()
        ]
        if running:
            await asyncio.wait(running, timeout=_REPLIES_S)
