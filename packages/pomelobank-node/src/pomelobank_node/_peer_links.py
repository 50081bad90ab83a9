"""Streams to peers: one connection per peer, opened on demand."""

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
# Time limit of a connection attempt: ten round trips between the regions. An
# unreachable peer sends no answer, and a request that waits for the connection
# could run on another target.
CONNECT_TIMEOUT_S = 0.5
# Time for which a peer counts as unreachable after a connection attempt timed
# out. Without this pause, queued requests would try to connect one after the
# other, and each would wait for the whole connection time-out.
UNREACHABLE_S = 0.5
# Time in which a member that has left may still reply to the requests on its
# stream. Its announcement arrives on another stream and may overtake replies,
# and the member waits for the work of its target until its process ends.
LAST_REPLIES_S = 1.0
DEFAULT_CONNECT_LIMIT = 32
_MS_PER_S = 1000

# Handles a frame that belongs to no request. The second argument sends a reply
# on the stream that the frame arrived on.
FrameHandler = Callable[[WireMessage, Callable[[WireMessage], None]], None]


@attrs.define(eq=False)
class PeerLink:
    """The link to one peer, with at most one open stream at a time.

    Attributes:
        address: The peer's address.
        hello: Frame that introduces this node to the peer.
        current: The open stream, None while the link has no open stream.
        closed_late_frames: Late and unknown frames of closed streams.
        streams: The streams that are not closed yet.
        tasks: Tasks of these streams.
        loop: The event loop.
        links: All links of the node, with the state that they share.
        used_s: Event loop time at which the link was last used.
        failed_s: Event loop time at which a connection attempt last timed out.
    """

    address: str
    hello: Hello
    links: "PeerLinks"
    current: OutgoingStream | None = None
    closed_late_frames: int = 0
    used_s: float = 0.0
    failed_s: float = -math.inf
    streams: set[OutgoingStream] = attrs.field(factory=set)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    connecting: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    loop: asyncio.AbstractEventLoop = attrs.field(
        factory=asyncio.get_running_loop
    )

    @property
    def late_replies(self) -> int:
        """Number of frames for ended requests or unknown request ids."""
        if self.current is None:
            return self.closed_late_frames
        table = self.current.table
        return (
            self.closed_late_frames + table.late_frames + table.unknown_frames
        )

    async def connect(self) -> OutgoingStream:
        """Returns the open stream; opens a stream if the link has none.

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
        outgoing = OutgoingStream(self.address, stream, self._handle_frame)
        self.streams.add(outgoing)
        task = asyncio.create_task(
            self._run(outgoing), name=f"peer-link-{self.address}"
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return outgoing

    def _handle_frame(self, frame: WireMessage, stream: FrameStream) -> None:
        handler = self.links.frame_handlers.get(type(frame))
        if handler is not None:
            handler(frame)
        elif self.links.on_frame is not None:
            self.links.on_frame(frame, stream.send)

    async def _run(self, outgoing: OutgoingStream) -> None:
        try:
            await outgoing.run()
        finally:
            self.streams.discard(outgoing)
            table = outgoing.table
            self.closed_late_frames += table.late_frames + table.unknown_frames
            self.links.closed_bytes += outgoing.stream.bytes_sent
            if self.current is outgoing:
                self.current = None

    async def send(self, message: WireMessage) -> None:
        """Sends a frame that expects no reply.

        Raises:
            RequestError: PEER_UNREACHABLE.
        """
        outgoing = await self.connect()
        outgoing.stream.send(message)

    def send_if_open(self, message: WireMessage) -> bool:
        """Sends a frame that expects no reply if the link has a stream.

        Returns:
            Whether the frame was sent.
        """
        if self.current is None or self.current.closing:
            return False
        self.used_s = self.loop.time()
        self.current.stream.send(message)
        return True

    async def forward(
        self, request: ForwardRequest, on_slot: SlotAcceptor | None = None
    ) -> ForwardReply:
        """Sends a request and waits for its reply.

        Args:
            request: The request; the stream assigns its id.
            on_slot: Decides whether a late-bound request accepts an offered
                slot.

        Returns:
            The reply; PEER_UNREACHABLE if no byte of the request was sent, and
            PEER_LOST if the stream broke after that.
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
        started_s = self.loop.time()
        withdrawals = self.links.withdrawals
        try:
            async with asyncio.timeout(request.remaining_ms / _MS_PER_S):
                current = await self.connect()
        except TimeoutError:
            raise RequestError(ErrorKind.DEADLINE_NOT_RUN) from None
        if self.links.withdrawals != withdrawals:
            raise RequestError(ErrorKind.DRAINING)
        elapsed_ms = int((self.loop.time() - started_s) * _MS_PER_S)
        return current, attrs.evolve(
            request,
            sent_ms=request.sent_ms + elapsed_ms,
            remaining_ms=request.remaining_ms - elapsed_ms,
        )

    def disconnect(self) -> None:
        """Aborts the stream and ends its pending requests with an error."""
        current, self.current = self.current, None
        if current is not None:
            current.abort()

    def finish(self) -> None:
        """Uses the stream no more and aborts it after the last replies."""
        current, self.current = self.current, None
        if current is None:
            return
        current.closing = True
        current.fail_queued(ErrorKind.PEER_UNREACHABLE)
        if current.calls:
            self.loop.call_later(LAST_REPLIES_S, current.abort)
        else:
            current.abort()

    def withdraw_requests(self) -> None:
        """Withdraws the requests that have not started at the target."""
        for stream in list(self.streams):
            stream.withdraw_requests()

    def is_idle(self, since_s: float) -> bool:
        """Tells whether the open stream has been unused since a time."""
        if self.current is None or self.current.calls:
            return False
        return self.used_s < since_s

    def is_unused(self, since_s: float) -> bool:
        """Tells whether the link has had no stream and no use since a time."""
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
        hello: Frame that introduces this node to its peers.
        connect_limit: Maximum number of streams that the node opens at once.
            Without this limit, the handshakes would delay each other when most
            of the fleet returns, or when every connection attempt to a
            partitioned data centre times out.
        on_frame: Handles frames that belong to no request, unless there is a
            handler for their type.
        frame_handlers: Handlers of replies on a link's stream, by frame type.
        links: The links.
        withdrawals: Number of times that all requests were withdrawn.
        handshakes: Semaphore that enforces `connect_limit`.
        closed_bytes: Bytes sent on streams that have ended.
    """

    hello: Hello
    connect_limit: int = DEFAULT_CONNECT_LIMIT
    on_frame: FrameHandler | None = None
    frame_handlers: dict[type[WireMessage], Callable[[WireMessage], None]] = (
        attrs.field(factory=dict)
    )
    links: dict[str, PeerLink] = attrs.field(factory=dict)
    closed_bytes: int = 0
    withdrawals: int = 0
    handshakes: asyncio.Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.handshakes = asyncio.Semaphore(self.connect_limit)

    def to(self, address: str) -> PeerLink:
        """Returns the link to an address; its stream is opened on first use."""
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
        """Tells whether the node has an open stream to an address."""
        link = self.links.get(address)
        return link is not None and link.current is not None

    def disconnect(self, address: str) -> None:
        """Aborts the stream to a peer that membership has declared gone."""
        link = self.links.get(address)
        if link is not None:
            link.disconnect()

    def finish(self, address: str) -> None:
        """Ends the stream to a peer that has left as planned."""
        link = self.links.get(address)
        if link is not None:
            link.finish()

    def withdraw_requests(self) -> None:
        """Withdraws the requests that have not started at their targets."""
        self.withdrawals += 1
        for link in self.links.values():
            link.withdraw_requests()

    def close_idle(self, idle_ms: int) -> None:
        """Closes idle streams and removes links without a stream."""
        now_s = asyncio.get_running_loop().time()
        since_s = now_s - idle_ms / _MS_PER_S
        for address, link in list(self.links.items()):
            if link.is_idle(since_s):
                link.disconnect()
            elif link.is_unused(since_s):
                # A restarted peer may have a new address. If links without a
                # stream were kept, links to old addresses would accumulate.
                del self.links[address]

    @property
    def late_replies(self) -> int:
        """Number of frames for ended or unknown requests, on all links."""
        return sum(link.late_replies for link in self.links.values())

    async def start(self) -> None:
        """Does nothing; links are opened on demand."""

    async def stop(self) -> None:
        """Closes every link."""
        await asyncio.gather(*(item.close() for item in self.links.values()))
