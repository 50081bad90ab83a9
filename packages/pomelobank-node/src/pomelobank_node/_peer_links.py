"""Streams to peers: one connection per peer, opened on need."""

import asyncio
import math
from collections.abc import Callable

import attrs

from pomelobank_core import ErrorKind
from pomelobank_node._frames import FrameStream
from pomelobank_node._outgoing_stream import OutgoingStream, SlotAcceptor
from pomelobank_node._requests import (
    ForwardReply,
    ForwardRequest,
    RequestError,
    error_reply,
)
from pomelobank_schema import WireMessage, parse_address
from pomelobank_schema.generated.peer import Hello

PROTOCOL_VERSION = 1
# Ten round trips between the regions. A peer that is dark answers nothing, and
# whoever waits for it could be served elsewhere.
CONNECT_TIMEOUT_S = 0.5
# After a peer could not be reached, it is held to be unreachable for so long.
# Requests that came meanwhile would else try it one after the other, each for
# the whole time-out.
UNREACHABLE_S = 0.5
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
        current: The open stream, None while there is none.
        ended_late_frames: Late and unknown frames of streams that are closed.
        tasks: Tasks of the streams that are not closed yet.
        loop: The event loop.
        links: All links of the node, with what they share.
        used_s: Time of the event loop when the link was last used.
        failed_s: Time of the event loop when the peer was last unreachable.
    """

    address: str
    hello: Hello
    links: "PeerLinks"
    current: OutgoingStream | None = None
    ended_late_frames: int = 0
    used_s: float = 0.0
    failed_s: float = -math.inf
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    connecting: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    loop: asyncio.AbstractEventLoop = attrs.field(
        factory=asyncio.get_running_loop
    )

    @property
    def late_replies(self) -> int:
        """Frames that nobody waited for any more, or ever did."""
        if self.current is None:
            return self.ended_late_frames
        table = self.current.table
        return self.ended_late_frames + table.late_frames + table.unknown_frames

    async def connect(self) -> OutgoingStream:
        """Returns the open stream, opening it where there is none.

        Raises:
            RequestError: PEER_UNREACHABLE.
        """
        self.used_s = self.loop.time()
        if self.current is not None and not self.current.closing:
            return self.current
        async with self.connecting:
            if self.current is not None and not self.current.closing:
                return self.current
            now_s = self.loop.time()
            if now_s - self.failed_s < UNREACHABLE_S:
                raise RequestError(ErrorKind.PEER_UNREACHABLE)
            self.current = await self._open()
            return self.current

    async def _open(self) -> OutgoingStream:
        host, port = parse_address(self.address)
        try:
            async with (
                self.links.handshakes,
                asyncio.timeout(CONNECT_TIMEOUT_S),
            ):
                _, stream = await self.loop.create_connection(
                    FrameStream, host, port
                )
        except TimeoutError:
            self.failed_s = self.loop.time()
            raise RequestError(ErrorKind.PEER_UNREACHABLE) from None
        except OSError:
            raise RequestError(ErrorKind.PEER_UNREACHABLE) from None
        stream.send(self.hello)
        outgoing = OutgoingStream(self.address, stream, self._take)
        task = asyncio.create_task(
            self._run(outgoing), name=f"peer-link-{self.address}"
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return outgoing

    def _take(self, frame: WireMessage, stream: FrameStream) -> None:
        if self.links.on_frame is not None:
            self.links.on_frame(frame, stream.send)

    async def _run(self, outgoing: OutgoingStream) -> None:
        try:
            await outgoing.run()
        finally:
            table = outgoing.table
            self.ended_late_frames += table.late_frames + table.unknown_frames
            self.links.closed_bytes += outgoing.stream.bytes_sent
            if self.current is outgoing:
                self.current = None

    async def send(self, message: WireMessage) -> None:
        """Sends a frame that needs no answer.

        Raises:
            RequestError: PEER_UNREACHABLE.
        """
        outgoing = await self.connect()
        outgoing.stream.send(message)

    async def forward(
        self, request: ForwardRequest, on_slot: SlotAcceptor | None = None
    ) -> ForwardReply:
        """Sends a request and waits for its reply.

        Args:
            request: The request; its id is set here.
            on_slot: Tells whether a request that binds late takes a slot.

        Returns:
            The reply; PEER_UNREACHABLE where no byte of the request was sent
            and PEER_LOST where the stream broke after that.
        """
        self.used_s = self.loop.time()
        current = self.current
        if current is None or current.closing:
            try:
                current, request = await self._connect_for(request)
            except RequestError as error:
                return error_reply(request.request_id, error)
        return await current.forward(request, on_slot)

    async def _connect_for(
        self, request: ForwardRequest
    ) -> tuple[OutgoingStream, ForwardRequest]:
        begun_s = self.loop.time()
        try:
            async with asyncio.timeout(request.remaining_ms / _MS_PER_S):
                current = await self.connect()
        except TimeoutError:
            raise RequestError(ErrorKind.DEADLINE_NOT_RUN) from None
        taken_ms = int((self.loop.time() - begun_s) * _MS_PER_S)
        return current, attrs.evolve(
            request,
            sent_ms=request.sent_ms + taken_ms,
            remaining_ms=request.remaining_ms - taken_ms,
        )

    def disconnect(self) -> None:
        """Gives up the stream; what waits for it ends as lost."""
        current, self.current = self.current, None
        if current is not None:
            current.on_stream_lost()
            current.stream.abort()

    def is_idle(self, since_s: float) -> bool:
        """Tells whether the open stream was not used since a time."""
        if self.current is None or self.current.calls:
            return False
        return self.used_s < since_s

    def is_forgotten(self, since_s: float) -> bool:
        """Tells whether there is no stream and none was asked for since."""
        unused = self.current is None and not self.tasks
        return unused and self.used_s < since_s and not self.connecting.locked()

    async def close(self) -> None:
        """Closes the stream."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


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
        open_streams = [link.current for link in self.links.values()]
        return self.closed_bytes + sum(
            item.stream.bytes_sent for item in open_streams if item is not None
        )

    def is_open(self, address: str) -> bool:
        """Tells whether there is an open stream to an address."""
        link = self.links.get(address)
        return link is not None and link.current is not None

    def disconnect(self, address: str) -> None:
        """Gives up the stream to a peer that is held to be gone."""
        link = self.links.get(address)
        if link is not None:
            link.disconnect()

    def close_idle(self, idle_ms: int) -> None:
        """Closes the streams that carry no request and were long unused."""
        now_s = asyncio.get_running_loop().time()
        since_s = now_s - idle_ms / _MS_PER_S
        for address, link in list(self.links.items()):
            if link.is_idle(since_s):
                link.disconnect()
            elif link.is_forgotten(since_s):
                # Each restart of a peer brings a new address; without this
                # the links to the old ones would pile up.
                del self.links[address]

    @property
    def late_replies(self) -> int:
        """Frames that nobody waited for any more, on all links."""
        return sum(link.late_replies for link in self.links.values())

    async def start(self) -> None:
        """Does nothing; links are opened on need."""

    async def stop(self) -> None:
        """Closes every link."""
        for link in list(self.links.values()):
            await link.close()
