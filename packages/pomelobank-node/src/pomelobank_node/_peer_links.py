"""Streams to peers: one connection per peer, opened on need."""

import asyncio
import logging

import attrs

from pomelobank_core import ErrorKind
from pomelobank_node._frames import FrameStream
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
    """

    address: str
    hello: Hello
    stream: FrameStream | None = None
    pending: dict[int, asyncio.Future[ForwardReply]] = attrs.field(factory=dict)
    next_id: int = 1
    late_replies: int = 0
    task: asyncio.Task[None] | None = None
    connecting: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def connect(self) -> FrameStream:
        """Returns the open stream, opening it where there is none.

        Raises:
            RequestError: PEER_UNREACHABLE.
        """
        async with self.connecting:
            if self.stream is not None:
                return self.stream
            host, port = parse_address(self.address)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(host, port)
            except (OSError, TimeoutError):
                raise RequestError(ErrorKind.PEER_UNREACHABLE) from None
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
        except (OSError, SchemaError) as error:
            _logger.warning(
                "peer.stream_broken",
                extra={"peer": self.address, "error": str(error)},
            )
        finally:
            self._lost(stream)
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
        links: The links.
    """

    hello: Hello
    links: dict[str, PeerLink] = attrs.field(factory=dict)

    def to(self, address: str) -> PeerLink:
        """Returns the link to an address; it is opened when it is used."""
        link = self.links.get(address)
        if link is None:
            link = self.links[address] = PeerLink(address, self.hello)
        return link

    async def start(self) -> None:
        """Does nothing; links are opened on need."""

    async def stop(self) -> None:
        """Closes every link."""
        for link in list(self.links.values()):
            await link.close()
