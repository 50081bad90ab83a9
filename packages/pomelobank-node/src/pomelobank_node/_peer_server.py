"""Accepts the streams of peers."""

import asyncio
import functools
import logging

import attrs

from pomelobank_node._claims import ClaimService
from pomelobank_node._config_feed import ConfigFeed
from pomelobank_node._frames import FrameStream
from pomelobank_node._membership import Membership
from pomelobank_node._owner import Owner
from pomelobank_node._peer_sockets import notice_dead_peer
from pomelobank_schema import SchemaError, WireMessage, parse_address
from pomelobank_schema.generated.peer import (
    CancelRequest,
    ForwardRequest,
    Gossip,
    Hello,
    IndirectProbe,
    ProbeReply,
    ProbeRequest,
    RecordsPull,
    RecordsPush,
    SnapshotPush,
    SyncReply,
    SyncRequest,
    VersionDigest,
)

_logger = logging.getLogger(__name__)

# After most of the fleet has died, everybody who returns may know the same few
# members. A handshake that finds no room is repeated after a second, and the
# herd would look dead to those it cannot reach.
ACCEPT_BACKLOG = 1024


@attrs.define(eq=False)
class PeerConnection:
    """One accepted stream.

    Attributes:
        stream: The stream.
        owner: Runs the peer's requests.
        membership: Takes the peer's gossip.
        feed: Takes the peer's frames about the configuration.
        claims: Runs the peer's requests with an idempotency key.
        running: Tasks of the peer's requests, by request id.
    """

    stream: FrameStream
    owner: Owner
    membership: Membership
    feed: ConfigFeed
    claims: ClaimService
    running: dict[int, asyncio.Task[None]] = attrs.field(factory=dict)

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
            await self.stream.close()

    def start(self, request: ForwardRequest) -> None:
        """Runs one request in a task of its own."""
        task = asyncio.create_task(self._answer(request))
        self.running[request.request_id] = task

    async def _answer(self, request: ForwardRequest) -> None:
        try:
            # Without an upstream: the key is to be claimed here first.
            serve = self.owner.serve if request.upstream else self.claims.serve
            reply = await serve(request)
            self.stream.send(reply)
            await self.stream.writer.drain()
        except OSError:
            return
        finally:
            del self.running[request.request_id]


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
def _(frame: CancelRequest, connection: PeerConnection) -> None:
    task = connection.running.get(frame.request_id)
    if task is not None:
        task.cancel()


@handle_frame.register(Gossip)
@handle_frame.register(ProbeRequest)
@handle_frame.register(ProbeReply)
@handle_frame.register(IndirectProbe)
@handle_frame.register(SyncRequest)
@handle_frame.register(SyncReply)
def _(frame: WireMessage, connection: PeerConnection) -> None:
    connection.membership.receive(frame, connection.stream.send)


@handle_frame.register(RecordsPull)
@handle_frame.register(RecordsPush)
@handle_frame.register(SnapshotPush)
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
        claims: Runs peers' requests with an idempotency key.
        address: Address that is really used, once it listens.
        streams: Streams that are open.
        closed_bytes: Bytes sent on streams that have ended.
    """

    listen: str
    owner: Owner
    membership: Membership
    feed: ConfigFeed
    claims: ClaimService
    address: str = ""
    server: asyncio.Server | None = None
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    streams: set[FrameStream] = attrs.field(factory=set)
    closed_bytes: int = 0

    @property
    def bytes_sent(self) -> int:
        """Bytes of the frames sent on all streams that peers opened."""
        open_bytes = sum(stream.bytes_sent for stream in self.streams)
        return self.closed_bytes + open_bytes

    async def start(self) -> None:
        """Starts listening."""
        host, port = parse_address(self.listen)
        self.server = await asyncio.start_server(
            self._accept, host, port, backlog=ACCEPT_BACKLOG
        )
        bound = self.server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        notice_dead_peer(writer)
        stream = FrameStream(reader, writer)
        connection = PeerConnection(
            stream, self.owner, self.membership, self.feed, self.claims
        )
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.streams.add(stream)
        try:
            await connection.run()
        finally:
            self.streams.discard(stream)
            self.closed_bytes += stream.bytes_sent
            self.tasks.discard(task)

    async def stop(self) -> None:
        """Stops listening and ends every stream."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
