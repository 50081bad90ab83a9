"""Large bodies on a stream between two nodes: chunks one way, credit back."""

import asyncio
from collections.abc import Callable

import attrs

from pomelobank_node._bodies import CHUNK_BYTES, WINDOW_BYTES, BodySource
from pomelobank_node._frames import FrameStream
from pomelobank_node._requests import RequestError
from pomelobank_schema.generated.peer import BodyChunk


@attrs.define(eq=False)
class Credit:
    """Bytes of one body that its sender may still send.

    Attributes:
        available: How many.
        granted: Set while there are any.
    """

    available: int = 0
    granted: asyncio.Event = attrs.field(factory=asyncio.Event)

    def add(self, size: int) -> None:
        """Takes a grant of the receiver."""
        self.available += size
        if self.available > 0:
            self.granted.set()

    def use(self, size: int) -> None:
        """Notes bytes that were sent."""
        self.available -= size
        if self.available <= 0:
            self.granted.clear()


@attrs.define(eq=False)
class ReceiveWindow:
    """The receiver's side of a body's flow control.

    Made for archives that a caller reads more slowly than the target writes
    them: what is on its way is bounded by the window, whatever the body's
    size. Grants are gathered to half a window, so that they cost one small
    frame for four chunks.

    Attributes:
        send: Sends a grant of so many bytes.
        allowed: Bytes that the sender may still send.
        freed: Bytes read since the last grant.
    """

    send: Callable[[int], None]
    allowed: int
    freed: int = 0

    def on_read(self, size: int) -> None:
        """Notes that so many bytes were read."""
        self.freed += size
        if not self.allowed and not self.freed:
            # The first reader of a body of which nothing may be sent yet.
            self.freed = WINDOW_BYTES
        if self.freed >= WINDOW_BYTES // 2:
            freed, self.freed = self.freed, 0
            self.allowed += freed
            self.send(freed)

    def consume(self, size: int) -> bool:
        """Notes bytes that came in; False where they were not granted."""
        self.allowed -= size
        return self.allowed >= 0


async def send_rest(
    stream: FrameStream, request_id: int, rest: BodySource, credit: Credit
) -> None:
    """Sends the rest of a body as its receiver has room for it.

    Args:
        stream: Where to.
        request_id: Id of the request.
        rest: The rest; closed at the end.
        credit: What the receiver granted.
    """
    try:
        while data := await rest.read():
            if not await _send_part(stream, request_id, data, credit):
                return
        stream.send(BodyChunk(request_id=request_id))
    except RequestError:
        stream.send(BodyChunk(request_id=request_id, aborted=True))
    finally:
        rest.close()


async def _send_part(
    stream: FrameStream, request_id: int, data: bytes, credit: Credit
) -> bool:
    sent = 0
    while sent < len(data):
        await credit.granted.wait()
        if not await stream.acquire_turn():
            return False
        size = min(CHUNK_BYTES, credit.available)
        part = data[sent : sent + size]
        credit.use(len(part))
        sent += len(part)
        stream.send(BodyChunk(request_id=request_id, data=part, more=True))
        stream.release_turn()
    return True
