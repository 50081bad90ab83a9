"""Bodies that travel in parts because they are too large for one frame."""

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

# A body up to this size travels whole in one frame. Stock look-ups and
# reorders are a few hundred bytes; at 64 KiB one frame still takes well under
# a millisecond of a stream, so nothing behind it waits long.
MAX_INLINE_BODY_BYTES = 64 * 1024
# Size of a part of a larger body: what a look-up may have to wait for when it
# meets an archive on the same stream.
CHUNK_BYTES = 32 * 1024
# Bytes of one body that may be on their way unread. Eight chunks keep a
# stream busy over a few ms between data centres, and a thousand slow readers
# cost 256 MiB at most on the node that serves them.
WINDOW_BYTES = 256 * 1024

# Bodies of requests with an idempotency key, and of their answers, travel
# whole: the claim covers a digest of the whole request, and the answer is
# kept for a resend. Reorders and acknowledgements are far smaller.
MAX_KEYED_BODY_BYTES = 4 * 1024 * 1024


class BodySource(Protocol):
    """The rest of a body, read part by part.

    Attributes:
        started: Whether a part of it was read.
    """

    started: bool

    async def read(self) -> bytes:
        """Returns the next part, empty at the end.

        Raises:
            RequestError: If the body broke off; it is not whole.
        """

    def close(self) -> None:
        """Gives the rest up; called once, at the end or before it."""


@attrs.frozen(kw_only=True, eq=False)
class StreamedRequest(ForwardRequest):
    """A request of which `body` is only the first part.

    Attributes:
        rest: The rest, untouched until bytes are sent to the target, so that
            a request that did not run can still be sent elsewhere.
    """

    rest: BodySource


@attrs.frozen(kw_only=True, eq=False)
class StreamedReply(ForwardReply):
    """An answer of which `body` is only the first part.

    Attributes:
        rest: The rest.
    """

    rest: BodySource


def with_rest(
    request: ForwardRequest, rest: BodySource | None
) -> ForwardRequest:
    """Returns the request with the rest of its body, itself without one."""
    if rest is None:
        return request
    fields = attrs.asdict(request, recurse=False)
    return StreamedRequest(**{**fields, "more": True, "rest": rest})


def rest_of(message: ForwardRequest | ForwardReply) -> BodySource | None:
    """Returns the rest of a message's body, None where it is whole."""
    if isinstance(message, StreamedRequest | StreamedReply):
        return message.rest
    return None


@attrs.define(eq=False)
class DeferredBody:
    """A body that is in memory and is sent once its receiver asks for it.

    Attributes:
        data: The body.
        started: Whether it was read.
    """

    data: bytes
    started: bool = False

    async def read(self) -> bytes:
        """Returns the body, empty after that."""
        data = b"" if self.started else self.data
        self.started = True
        return data

    def close(self) -> None:
        """Does nothing; the body stays in memory for another try."""


def can_resend(request: ForwardRequest) -> bool:
    """Tells whether the whole body is still there for another try.

    A body that streams through is not kept. Sent again after a part of it was
    read, it would reach the next target with that part missing.
    """
    rest = rest_of(request)
    return rest is None or not rest.started


@attrs.define(eq=False)
class BodyBuffer:
    """Parts of a body between the one who brings and the one who reads them.

    Attributes:
        on_read: Called with the number of bytes that were read.
        on_close: Called once, when the reader is done or gives up.
        parts: Parts that were not read yet.
        size: Their bytes.
        ended: Set once the last part was put in.
        error: Why the body broke off, None while it is sound.
        started: Whether a reader has asked for it.
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
        self._wake()

    def end(self) -> None:
        """Marks the body as whole."""
        self.ended = True
        self._wake()

    def fail(self, kind: ErrorKind) -> None:
        """Marks the body as broken off, unless it is whole already."""
        if not self.ended and self.error is None:
            self.error = kind
        self._wake()

    def _wake(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def read(self) -> bytes:
        """Returns the next part, empty at the end.

        Raises:
            RequestError: If the body broke off.
        """
        self.started = True
        if not self.parts and not self.ended and self.error is None:
            # Reading nothing still tells the sender that a reader is here.
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
        """Gives the rest up; later calls do nothing."""
        if not self.closed:
            self.closed = True
            self.parts.clear()
            self.on_close()


@attrs.define(eq=False)
class EndedBody:
    """Passes a body through and tells when nobody reads it any more.

    Attributes:
        source: The body.
        on_end: Called once.
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
        """Gives the rest up; later calls do nothing."""
        if self.closed:
            return
        self.closed = True
        self.source.close()
        self.on_end()


def with_end_callback(
    reply: ForwardReply, on_end: Callable[[], None]
) -> ForwardReply:
    """Calls back once a reply's whole body has been read or given up.

    A target is still at work while its answer is on the way. Were its slot
    given away at the head of the answer, it would be overrun by long answers,
    and a planned stop would cut them off.

    Returns:
        The reply to pass on instead.
    """
    if not isinstance(reply, StreamedReply):
        on_end()
        return reply
    return attrs.evolve(reply, rest=EndedBody(reply.rest, on_end))


async def read_full_request(request: ForwardRequest) -> ForwardRequest:
    """Waits for the body of a request that was held back.

    Raises:
        RequestError: Why the body broke off.
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


async def read_full_reply(reply: ForwardReply, most_bytes: int) -> ForwardReply:
    """Waits for the whole body of a reply.

    Args:
        reply: The reply.
        most_bytes: Largest body that is waited for.

    Returns:
        A reply without a rest.

    Raises:
        RequestError: ANSWER_TOO_LARGE, or why the body broke off.
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
            if size > most_bytes:
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
