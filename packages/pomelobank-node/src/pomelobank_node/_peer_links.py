"""Streams to peers: one connection per peer, opened on need."""

import asyncio
import logging
from collections.abc import Callable

import attrs

from pomelobank_core import ErrorKind
from pomelobank_node._frames import FrameStream
from pomelobank_node._peer_sockets import notice_dead_peer
from pomelobank_node._requests import (
    ForwardReply,
    ForwardRequest,
    RequestError,
    error_reply,
)
from pomelobank_schema import SchemaError, WireMessage, parse_address
from pomelobank_schema.generated.peer import Hello

_logger = logging.getLogger(__name__)

PROTOCOL_VERSION = 1
CONNECT_TIMEOUT_S = 1.0
DEFAULT_CONNECT_LIMIT = 32
_MS_PER_S = 1000

# Takes a frame that answers no request, and how to reply on its stream.
FrameTaker = Callable[[WireMessage, Callable[[WireMessage], None]], None]


@attrs.define(eq=False)
class PeerLink:
    """A stream that this node opened to one peer.

    Attributes:
        address: The peer's address.
        hello: What this node says of itself.
        stream: The open stream, None while there is none.
        pending: Requests under way, by request id.
        next_id: Next request id; never used again on this link.
        late_replies: Replies that nobody waited for any more.
        links: All links of the node, with what they share.
        used_s: Time of the event loop when the link was last used.
    """

    address: str
    hello: Hello
    links: "PeerLinks"
    stream: FrameStream | None = None
    pending: dict[int, asyncio.Future[ForwardReply]] = attrs.field(factory=dict)
    next_id: int = 1
    late_replies: int = 0
    used_s: float = 0.0
    task: asyncio.Task[None] | None = None
    connecting: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def connect(self) -> FrameStream:
        """Returns the open stream, opening it where there is none.

        Raises:
            RequestError: PEER_UNREACHABLE.
        """
        self.used_s = asyncio.get_running_loop().time()
        async with self.connecting:
            if self.stream is not None:
                return self.stream
            host, port = parse_address(self.address)
            try:
                async with (
                    self.links.handshakes,
                    asyncio.timeout(CONNECT_TIMEOUT_S),
                ):
                    reader, writer = await asyncio.open_connection(host, port)
            except (OSError, TimeoutError):
                raise RequestError(ErrorKind.PEER_UNREACHABLE) from None
            notice_dead_peer(writer)
            stream = FrameStream(reader, writer)
            stream.send(self.hello)
            self.stream = stream
            self.task = asyncio.create_task(
                self._read(stream), name=f"peer-link-{self.address}"
            )
            return stream

    async def send(self, message: WireMessage) -> None:
        """Sends a frame that needs no answer.

        Raises:
            RequestError: PEER_UNREACHABLE.
        """
        stream = await self.connect()
        stream.send(message)

    async def forward(self, request: ForwardRequest) -> ForwardReply:
        """Sends a request and waits for its reply.

        Args:
            request: The request; its id is set here.

        Returns:
            The reply; PEER_UNREACHABLE where the request was never sent and
            PEER_LOST where the stream broke after it was.
        """
        try:
            stream = await self.connect()
        except RequestError as error:
            return error_reply(request.request_id, error)
        request_id = self.next_id
        self.next_id += 1
        reply: asyncio.Future[ForwardReply]
        reply = asyncio.get_running_loop().create_future()
        self.pending[request_id] = reply
        stream.send(attrs.evolve(request, request_id=request_id))
        try:
            return await reply
        finally:
            self.pending.pop(request_id, None)

    async def _read(self, stream: FrameStream) -> None:
        try:
            while (frame := await stream.receive()) is not None:
                if isinstance(frame, ForwardReply):
                    self._settle(frame)
                elif self.links.on_frame is not None:
                    self.links.on_frame(frame, stream.send)
        except (OSError, SchemaError) as error:
            _logger.warning(
                "peer.stream_broken",
                extra={"peer": self.address, "error": str(error)},
            )
        finally:
            self._lost(stream)
            self.links.closed_bytes += stream.bytes_sent
            await stream.close()

    def _settle(self, reply: ForwardReply) -> None:
        # An answer whose caller has given up must not reach another caller;
        # ids are never reused, so an id that is not pending is simply late.
        future = self.pending.get(reply.request_id)
        if future is None or future.done():
            self.late_replies += 1
            return
        future.set_result(reply)

    def _lost(self, stream: FrameStream) -> None:
        if self.stream is not stream:
            return
        self.stream = None
        for request_id, future in self.pending.items():
            if not future.done():
                error = RequestError(ErrorKind.PEER_LOST)
                future.set_result(error_reply(request_id, error))

    def drop(self) -> None:
        """Gives up the stream; what waits for it ends as lost."""
        if self.stream is None or self.task is None:
            return
        self._lost(self.stream)
        self.task.cancel()

    def is_idle(self, since_s: float) -> bool:
        """Tells whether the open stream was not used since a time."""
        unused = not self.pending and self.used_s < since_s
        return self.stream is not None and unused

    async def close(self) -> None:
        """Closes the stream."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)


@attrs.define
class PeerLinks:
    """All links of the node, by the peer's address.

    Attributes:
        hello: What this node says of itself.
        connect_limit: Streams that are being opened at once. When most of the
            fleet returns, or a cut data centre makes every attempt wait for
            its time-out, each further handshake only delays the others.
        on_frame: Takes frames that answer no request.
        links: The links.
        handshakes: Room for streams that are being opened.
        closed_bytes: Bytes sent on streams that have ended.
    """

    hello: Hello
    connect_limit: int = DEFAULT_CONNECT_LIMIT
    on_frame: FrameTaker | None = None
    links: dict[str, PeerLink] = attrs.field(factory=dict)
    closed_bytes: int = 0
    handshakes: asyncio.Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.handshakes = asyncio.Semaphore(self.connect_limit)

    def to(self, address: str) -> PeerLink:
        """Returns the link to an address; it is opened when it is used."""
        link = self.links.get(address)
        if link is None:
            link = self.links[address] = PeerLink(address, self.hello, self)
        return link

    @property
    def bytes_sent(self) -> int:
        """Bytes of the frames sent on all streams that this node opened."""
        streams = [link.stream for link in self.links.values()]
        return self.closed_bytes + sum(
            stream.bytes_sent for stream in streams if stream is not None
        )

    def is_open(self, address: str) -> bool:
        """Tells whether there is an open stream to an address."""
        link = self.links.get(address)
        return link is not None and link.stream is not None

    def drop(self, address: str) -> None:
        """Gives up the stream to a peer that is held to be gone."""
        link = self.links.get(address)
        if link is not None:
            link.drop()

    def close_idle(self, idle_ms: int) -> None:
        """Closes the streams that carry no request and were long unused."""
        now_s = asyncio.get_running_loop().time()
        since_s = now_s - idle_ms / _MS_PER_S
        for link in list(self.links.values()):
            if link.is_idle(since_s):
                link.drop()

    async def start(self) -> None:
        """Does nothing; links are opened on need."""

    async def stop(self) -> None:
        """Closes every link."""
        for link in list(self.links.values()):
            await link.close()
