"""Credit-based flow control of large bodies on a stream between two nodes."""

import asyncio
from collections.abc import Callable

import attrs

from pomelobank_core.buffering import MIN_WINDOW_BYTES
from pomelobank_node._bodies import CHUNK_BYTES, WINDOW_BYTES, BodySource
from pomelobank_node._frames import FrameStream
from pomelobank_node._requests import RequestError
from pomelobank_schema.generated.peer import BodyChunk


@attrs.define(eq=False)
class Credit:
    """The sender's side of a body's flow control.

    Attributes:
        available: Bytes that the sender may still send.
        granted: Set while the sender may send bytes.
    """

    available: int = 0
    granted: asyncio.Event = attrs.field(factory=asyncio.Event)

    def add(self, size: int) -> None:
        """Adds credit that the receiver granted."""
        self.available += size
        if self.available > 0:
            self.granted.set()

    def use(self, size: int) -> None:
        """Subtracts bytes that were sent."""
        self.available -= size
        if self.available <= 0:
            self.granted.clear()


@attrs.define(eq=False)
class ReceiveWindow:
    """The receiver's side of a body's flow control.

    Load pattern: archives that a caller reads more slowly than the target
    writes them. The window bounds the unread bytes of a body, whatever the size
    of the body. Credit is granted for half a window at once, which costs one
    small frame for four chunks.

    Attributes:
        send: Grants the sender a number of bytes.
        allowed: Bytes that the sender may still send.
        freed: Bytes read and not granted again.
        window_bytes: Returns the size of the window. It may shrink while a body
            is received; less is granted then until the body fits.
        has_shrunk: Whether the window was ever smaller than the full one.
    """

    send: Callable[[int], None]
    allowed: int
    freed: int = 0
    window_bytes: Callable[[], int] = lambda: WINDOW_BYTES
    has_shrunk: bool = False

    def on_read(self, size: int) -> None:
        """Counts read bytes and grants credit for them."""
        window_bytes = self.window_bytes()
        self.freed += size
        if not self.allowed and not self.freed:
            # The first read of a body whose sender has no credit yet: the whole
            # window is granted.
            self.freed = window_bytes
        self.has_shrunk = self.has_shrunk or window_bytes < WINDOW_BYTES
        # A window that has shrunk may never free half of the full one again.
        step_bytes = MIN_WINDOW_BYTES if self.has_shrunk else WINDOW_BYTES
        if self.freed < step_bytes // 2:
            return
        granted = self.freed
        if window_bytes < WINDOW_BYTES:
            granted = min(granted, window_bytes - self.allowed)
        if granted > 0:
            self.freed -= granted
            self.allowed += granted
            self.send(granted)

    def consume(self, size: int) -> bool:
        """Counts received bytes; returns False if they exceed the credit."""
        self.allowed -= size
        return self.allowed >= 0


async def send_rest(
    stream: FrameStream, request_id: int, rest: BodySource, credit: Credit
) -> None:
    """Sends the rest of a body as the receiver grants credit for it.

    Args:
        stream: Stream to send on.
        request_id: Id of the request.
        rest: The rest of the body; closed at the end.
        credit: Credit that the receiver has granted.
    """
    try:
        while data := await rest.read():
            if not await _send_chunks(stream, request_id, data, credit):
                return
        stream.send(BodyChunk(request_id=request_id))
    except RequestError:
        stream.send(BodyChunk(request_id=request_id, aborted=True))
    finally:
        rest.close()


async def _send_chunks(
    stream: FrameStream, request_id: int, data: bytes, credit: Credit
) -> bool:
    sent = 0
    while sent < len(data):
        await credit.granted.wait()
        if not await stream.acquire_turn():
            return False
        size = min(CHUNK_BYTES, credit.available)
        chunk = data[sent : sent + size]
        credit.use(len(chunk))
        sent += len(chunk)
        stream.send(BodyChunk(request_id=request_id, data=chunk, more=True))
        stream.release_turn()
    return True
