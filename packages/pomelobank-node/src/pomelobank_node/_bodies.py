"""Bodies that are sent in parts because they are too large for one frame."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

import attrs

from pomelobank_core import ErrorKind
from pomelobank_node._requests import (
    ForwardReply,
    ForwardRequest,
    RequestError,
)

# Largest body that is sent whole in one frame. Stock look-ups and reorders have
# a few hundred bytes. A frame of 64 KiB still occupies a stream for well under
# a millisecond, so the next frame does not wait long.
MAX_INLINE_BODY_BYTES = 64 * 1024
# Size of one part of a larger body. A look-up that shares the stream with an
# archive waits for at most one part.
CHUNK_BYTES = 32 * 1024
# Receive window: bytes of one body that may be sent and not yet read. Eight
# chunks keep a stream busy over the few milliseconds between data centres, and
# 1,000 slow readers occupy at most 256 MiB of memory on the node that serves
# them.
WINDOW_BYTES = 256 * 1024

# Maximum number of unread parts of a body. A body may arrive byte by byte, and
# each part takes several times the memory of a byte.
MAX_BODY_PARTS = 64

# Largest body of a request with an idempotency key, and of its response. Both
# are kept whole, because the claim covers a digest of the whole request and the
# response is stored for a resend. Reorders and acknowledgements are much
# smaller.
MAX_KEYED_BODY_BYTES = 4 * 1024 * 1024


class BodySource(Protocol):
    """The rest of a body, read part by part.

    Attributes:
        started: Whether a part of the rest was read.
    """

    started: bool

    async def read(self) -> bytes:
        """Returns the next part, empty at the end.

        Raises:
            RequestError: If the body ended early and is incomplete.
        """

    def close(self) -> None:
        """Discards the unread parts; called once, at the end or before."""


@attrs.frozen(kw_only=True, eq=False)
class StreamedRequest(ForwardRequest):
    """A request whose `body` is only the first part of the whole body.

    Attributes:
        rest: The rest of the body. The node reads the rest only when it sends
            bytes to the target, so that a request that did not run can still
            be sent to another target.
    """

    rest: BodySource


@attrs.frozen(kw_only=True, eq=False)
class StreamedReply(ForwardReply):
    """A reply whose `body` is only the first part of the whole body.

    Attributes:
        rest: The rest of the body.
    """

    rest: BodySource


def with_rest(
    request: ForwardRequest, rest: BodySource | None
) -> ForwardRequest:
    """Returns the request with the rest of its body attached, if any."""
    if rest is None:
        return request
    fields = attrs.asdict(request, recurse=False)
    return StreamedRequest(**{**fields, "more": True, "rest": rest})


def rest_of(message: ForwardRequest | ForwardReply) -> BodySource | None:
    """Returns the rest of a message's body, None if `body` is the whole."""
    if isinstance(message, StreamedRequest | StreamedReply):
        return message.rest
    return None


@attrs.define(eq=False)
class DeferredBody:
    """A body in memory that is sent only when its receiver grants credit.

    Attributes:
        data: The body.
        started: Whether the body was read.
    """

    data: bytes
    started: bool = False

    async def read(self) -> bytes:
        """Returns the body on the first call, empty bytes afterwards."""
        data = b"" if self.started else self.data
        self.started = True
        return data

    def close(self) -> None:
        """Does nothing; the body stays in memory for another attempt."""


def can_resend(request: ForwardRequest) -> bool:
    """Tells whether the whole body is still available for another attempt.

    The node does not store a streamed body. If such a request were sent again
    after a part of its body was read, the next target would receive a body
    without that part.
    """
    rest = rest_of(request)
    return rest is None or not rest.started


@attrs.define(eq=False)
class BodyBuffer:
    """Parts of a body between their producer and their reader.

    Attributes:
        on_read: Called with the number of bytes that were read.
        on_close: Called once, when the reader closes the body.
        parts: Parts that have not been read yet.
        size: Number of bytes in `parts`.
        ended: Whether the last part was added.
        error: Why the body ended early; None if no error occurred.
        closed: Whether the reader has closed the body.
        started: Whether a reader has read from the body.
        waiter: Future of a reader that waits for a part.
    """

    on_read: Callable[[int], None]
    on_close: Callable[[], None]
    parts: deque[bytes] = attrs.field(factory=deque)
    size: int = 0
    ended: bool = False
    error: ErrorKind | None = None
    closed: bool = False
    started: bool = False
    waiter: asyncio.Future[None] | None = None

    def put(self, data: bytes) -> None:
        """Adds a part."""
        if data and not self.closed:
            self.parts.append(data)
            self.size += len(data)
            if len(self.parts) > MAX_BODY_PARTS:
                self.parts = deque([b"".join(self.parts)])
        self._wake()

    def end(self) -> None:
        """Marks the body as complete."""
        self.ended = True
        self._wake()

    def fail(self, kind: ErrorKind) -> None:
        """Marks the body as ended early unless the body is complete."""
        if not self.ended and self.error is None:
            self.error = kind
        self._wake()

    def break_off(self, kind: ErrorKind) -> None:
        """Discards a body, even a complete one, that a reader must not end."""
        self.close()
        self.ended = False
        self.error = kind
        self._wake()

    def _wake(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def read(self) -> bytes:
        """Returns the next part, empty at the end.

        Raises:
            RequestError: If the body ended early.
        """
        self.started = True
        if not self.parts and not self.ended and self.error is None:
            # The call with 0 bytes lets the receive window grant the first
            # credit, because a reader is now waiting.
            self.on_read(0)
        while not self.parts:
            if self.error is not None:
                raise RequestError(self.error)
            if self.ended:
                return b""
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        data = self.parts.popleft()
        self.size -= len(data)
        self.on_read(len(data))
        return data

    def close(self) -> None:
        """Discards the unread parts; later calls do nothing."""
        if not self.closed:
            self.closed = True
            self.parts.clear()
            self.size = 0
            self.on_close()


@attrs.define(eq=False)
class BodyWithEndCallback:
    """Wraps a body and calls back when its reader closes the body.

    Attributes:
        source: The body.
        on_end: Called once, when the body is closed.
        closed: Whether the body has been closed.
        started: Whether a reader has read from the body.
    """

    source: BodySource
    on_end: Callable[[], None]
    closed: bool = False
    started: bool = False

    async def read(self) -> bytes:
        """Returns the next part, empty at the end."""
        self.started = True
        return await self.source.read()

    def close(self) -> None:
        """Discards the unread parts; later calls do nothing."""
        if self.closed:
            return
        self.closed = True
        self.source.close()
        self.on_end()


def with_end_callback(
    reply: ForwardReply, on_end: Callable[[], None]
) -> ForwardReply:
    """Calls back once a reply's whole body has been read or discarded.

    A target still works on a request while its response is sent. If the slot
    were released at the head of the response, long responses would overload
    the target, and a planned stop would truncate them.

    Returns:
        The reply to pass on instead.
    """
    if not isinstance(reply, StreamedReply):
        on_end()
        return reply
    return attrs.evolve(reply, rest=BodyWithEndCallback(reply.rest, on_end))


async def read_full_request(request: ForwardRequest) -> ForwardRequest:
    """Returns the request with its whole deferred body.

    Raises:
        RequestError: If the body ended early.
    """
    rest = rest_of(request)
    if rest is None:
        return request
    parts = []
    try:
        while part := await rest.read():
            parts.append(part)
    finally:
        rest.close()
    fields = attrs.asdict(request, recurse=False)
    del fields["rest"]
    return ForwardRequest(**{**fields, "body": b"".join(parts), "more": False})


async def read_full_reply(reply: ForwardReply, max_bytes: int) -> ForwardReply:
    """Returns the reply with its whole body.

    Args:
        reply: The reply.
        max_bytes: Size of the largest body that is accepted.

    Returns:
        A reply without a rest.

    Raises:
        RequestError: ANSWER_TOO_LARGE, or the error that ended the body early.
    """
    rest = rest_of(reply)
    if rest is None:
        return reply
    parts = [reply.body]
    size = len(reply.body)
    try:
        while part := await rest.read():
            parts.append(part)
            size += len(part)
            if size > max_bytes:
                raise RequestError(ErrorKind.ANSWER_TOO_LARGE)
    finally:
        rest.close()
    return ForwardReply(
        request_id=reply.request_id,
        status=reply.status,
        headers=tuple(
            item for item in reply.headers if item.name != b"content-length"
        ),
        body=b"".join(parts),
        retry_after_ms=reply.retry_after_ms,
        outstanding=reply.outstanding,
    )
