"""Requests in flight on one stream that this node opened to a peer."""

import asyncio
import functools
import logging
from collections.abc import Callable

import attrs

from pomelobank_core import (
    ErrorKind,
    ExchangeState,
    ExchangeTable,
    FrameDecision,
    deadline_error_kind,
)
from pomelobank_node._bodies import (
    WINDOW_BYTES,
    BodyBuffer,
    StreamedReply,
    rest_of,
)
from pomelobank_node._body_frames import Credit, ReceiveWindow, send_rest
from pomelobank_node._frames import FrameStream
from pomelobank_node._requests import (
    ForwardReply,
    ForwardRequest,
    RequestError,
    error_reply,
)
from pomelobank_schema import SchemaError, SchemaErrorKind, WireMessage
from pomelobank_schema.generated.peer import (
    BodyChunk,
    BodyCredit,
    CancelRequest,
    SlotAccept,
    SlotOffer,
    StreamClosing,
    WithdrawRequest,
)

_logger = logging.getLogger(__name__)
_MS_PER_S = 1000
# Queued bytes of a stream from which new requests are rejected, because the
# peer does not read. The limit is far below the queue size at which the stream
# is closed, so that a request is rejected early and can run on another target.
_MAX_QUEUED_BYTES = 1024 * 1024
# Time subtracted from the owner's deadline, at most a tenth of the remaining
# time. The owner's error says whether the request ran, so that error should
# arrive before the deadline of the caller.
_RETURN_ALLOWANCE_MS = 5
_ALLOWANCE_DIVISOR = 10


# Decides whether a request accepts the slot that an owner offers.
SlotAcceptor = Callable[[], bool]


@attrs.define(eq=False)
class Call:
    """One request in flight, with its timer, upload and download.

    Attributes:
        reply: The reply, once its head has arrived.
        timer: Ends the call at the request's deadline.
        download: The rest of the response body, if the body is streamed.
        credit: Credit that the peer granted for the rest of the request body.
        upload: Task that sends the rest of the request body.
        request: The request.
        on_slot: Decides whether the request accepts a slot that the owner
            offers.
    """

    reply: asyncio.Future[ForwardReply]
    request: ForwardRequest
    on_slot: SlotAcceptor | None = None
    timer: asyncio.TimerHandle | None = None
    download: BodyBuffer | None = None
    credit: Credit = attrs.field(factory=Credit)
    upload: asyncio.Task[None] | None = None

    def end(self) -> None:
        """Cancels the timer and the upload of the call."""
        if self.timer is not None:
            self.timer.cancel()
        if self.upload is not None:
            self.upload.cancel()

    def fail(self, kind: ErrorKind) -> None:
        """Ends the call with an error, before the reply or within its body."""
        self.end()
        if self.download is not None:
            self.download.fail(kind)
        elif not self.reply.done():
            request_id = self.request.request_id
            self.reply.set_result(error_reply(request_id, RequestError(kind)))


@attrs.define(eq=False)
class OutgoingStream:
    """Sends requests on an open stream and matches replies to the requests.

    Attributes:
        peer: The peer's address, for the log.
        stream: The stream.
        on_frame: Handles frames that belong to no request.
        table: Tracks the state of each request and decides whether a frame is
            delivered.
        calls: Requests in flight, by id.
        closing: Whether the stream accepts no new request, because it is lost
            or because the peer is stopping.
    """

    peer: str
    stream: FrameStream
    on_frame: Callable[[WireMessage, FrameStream], None]
    table: ExchangeTable = attrs.field(
        factory=lambda: ExchangeTable(WINDOW_BYTES)
    )
    calls: dict[int, Call] = attrs.field(factory=dict)
    closing: bool = False

    def __attrs_post_init__(self) -> None:
        self.stream.on_written = self.table.on_written

    async def forward(
        self, request: ForwardRequest, on_slot: SlotAcceptor | None = None
    ) -> ForwardReply:
        """Sends a request and waits for its reply.

        Args:
            request: The request; the stream assigns its id.
            on_slot: Decides whether a late-bound request accepts an offered
                slot.

        Returns:
            The reply, or the error that ended the request.
        """
        if self.stream.queued_bytes > _MAX_QUEUED_BYTES:
            return _error(request, ErrorKind.OVERLOADED)
        if request.remaining_ms <= 0:
            return _error(request, ErrorKind.DEADLINE_NOT_RUN)
        loop = self.stream.loop
        request_id = self.table.open()
        allowance_ms = min(
            _RETURN_ALLOWANCE_MS, request.remaining_ms // _ALLOWANCE_DIVISOR
        )
        frame = attrs.evolve(
            request,
            request_id=request_id,
            remaining_ms=request.remaining_ms - allowance_ms,
        )
        call = Call(loop.create_future(), frame, on_slot)
        self.calls[request_id] = call
        call.timer = loop.call_later(
            request.remaining_ms / _MS_PER_S, self._on_deadline, request_id
        )
        self.stream.send(frame, request_id)
        try:
            return await call.reply
        except asyncio.CancelledError:
            self.cancel(request_id)
            raise

    def cancel(self, request_id: int) -> None:
        """Cancels a request whose caller no longer waits."""
        self._cancel(request_id, ErrorKind.CANCELLED)

    def withdraw_requests(self) -> None:
        """Withdraws the requests that have not started at their target.

        The peer replies to each of them; requests that run are not affected.
        """
        self.fail_queued(ErrorKind.DRAINING)
        for request_id, state in self.table.states():
            if state is ExchangeState.SENT:
                self.stream.send(WithdrawRequest(request_id=request_id))

    def fail_queued(self, kind: ErrorKind) -> None:
        """Fails the requests of which no byte was sent."""
        for request_id, state in self.table.states():
            if state is ExchangeState.QUEUED:
                self._cancel(request_id, kind)

    def _on_deadline(self, request_id: int) -> None:
        self._cancel(request_id, None)

    def _cancel(self, request_id: int, kind: ErrorKind | None) -> None:
        call = self.calls.pop(request_id, None)
        state = self.table.cancel(request_id)
        if call is None or state is None:
            return
        if state is ExchangeState.QUEUED:
            # The caller is told that the request did not run, so the request's
            # queued frame must not be sent afterwards.
            self.stream.withdraw(request_id)
        else:
            self.stream.send(CancelRequest(request_id=request_id))
        call.fail(kind or deadline_error_kind(state))

    async def run(self) -> None:
        """Handles received frames until the stream ends."""
        try:
            while (frame := await self.stream.receive()) is not None:
                handle_reply_frame(frame, self)
        except (OSError, SchemaError) as error:
            _logger.warning(
                "peer.stream_broken",
                extra={"peer": self.peer, "error": str(error)},
            )
        finally:
            self.abort()

    def abort(self) -> None:
        """Closes the stream at once and fails its requests."""
        self.on_stream_lost()
        self.stream.abort()

    def on_stream_lost(self) -> None:
        """Fails every request in flight because the stream was lost."""
        self.closing = True
        calls, self.calls = self.calls, {}
        for request_id, kind in self.table.on_stream_lost():
            calls[request_id].fail(kind)

    def on_reply(self, reply: ForwardReply) -> None:
        """Handles the reply of a request."""
        request_id = reply.request_id
        decision = self.table.on_reply(request_id, reply.more)
        if not self._should_deliver(decision):
            return
        call = self.calls[request_id]
        if reply.more:
            call.download = self._new_download_buffer(request_id)
            reply = _streamed(reply, call.download)
        else:
            del self.calls[request_id]
            call.end()
        if not call.reply.done():
            call.reply.set_result(reply)

    def _new_download_buffer(self, request_id: int) -> BodyBuffer:
        def send_credit(size: int) -> None:
            if self.table.grant_credit(request_id, size):
                self.stream.send(BodyCredit(request_id=request_id, bytes=size))

        window = ReceiveWindow(send_credit, WINDOW_BYTES)
        return BodyBuffer(window.on_read, lambda: self.cancel(request_id))

    def on_chunk(self, frame: BodyChunk) -> None:
        """Handles a part of a response body."""
        request_id = frame.request_id
        decision = self.table.on_chunk(
            request_id, len(frame.data), frame.more, frame.aborted
        )
        if not self._should_deliver(decision):
            return
        call = self.calls[request_id]
        assert call.download is not None
        call.download.put(frame.data)
        if frame.more and not frame.aborted:
            return
        del self.calls[request_id]
        call.end()
        if frame.aborted:
            call.download.fail(ErrorKind.ANSWER_TRUNCATED)
        else:
            call.download.end()

    def on_credit(self, frame: BodyCredit) -> None:
        """Handles the peer's credit for more of a request's body."""
        if not self._should_deliver(self.table.on_credit(frame.request_id)):
            return
        call = self.calls[frame.request_id]
        rest = rest_of(call.request)
        if rest is None or frame.bytes <= 0:
            raise _unexpected_frame()
        call.credit.add(frame.bytes)
        if call.upload is None:
            call.upload = asyncio.create_task(
                send_rest(self.stream, frame.request_id, rest, call.credit)
            )

    def on_slot_offer(self, request_id: int) -> None:
        """Accepts a slot that the owner offers, or cancels the request."""
        if not self._should_deliver(self.table.on_slot_offer(request_id)):
            return
        on_slot = self.calls[request_id].on_slot
        if on_slot is not None and on_slot():
            self.stream.send(SlotAccept(request_id=request_id))
        else:
            self.cancel(request_id)

    def on_stream_closing(self, last_id: int) -> None:
        """Fails the requests that a stopping peer did not accept."""
        self.closing = True
        for request_id in self.table.on_stream_closing(last_id):
            self.calls.pop(request_id).fail(ErrorKind.DRAINING)

    def _should_deliver(self, decision: FrameDecision) -> bool:
        if decision is FrameDecision.VIOLATION:
            raise _unexpected_frame()
        return decision is FrameDecision.DELIVER


def _unexpected_frame() -> SchemaError:
    return SchemaError(
        SchemaErrorKind.MALFORMED,
        "",
        "frame is not allowed in the state of its request",
    )


def _error(request: ForwardRequest, kind: ErrorKind) -> ForwardReply:
    return error_reply(request.request_id, RequestError(kind))


def _streamed(reply: ForwardReply, rest: BodyBuffer) -> StreamedReply:
    return StreamedReply(
        request_id=reply.request_id,
        error=reply.error,
        status=reply.status,
        headers=reply.headers,
        body=reply.body,
        more=True,
        retry_after_ms=reply.retry_after_ms,
        outstanding=reply.outstanding,
        rest=rest,
    )


@functools.singledispatch
def handle_reply_frame(frame: WireMessage, stream: OutgoingStream) -> None:
    """Handles one frame; frames that belong to no request go to `on_frame`."""
    stream.on_frame(frame, stream.stream)


@handle_reply_frame.register
def _(frame: ForwardReply, stream: OutgoingStream) -> None:
    stream.on_reply(frame)


@handle_reply_frame.register
def _(frame: BodyChunk, stream: OutgoingStream) -> None:
    stream.on_chunk(frame)


@handle_reply_frame.register
def _(frame: BodyCredit, stream: OutgoingStream) -> None:
    stream.on_credit(frame)


@handle_reply_frame.register
def _(frame: StreamClosing, stream: OutgoingStream) -> None:
    stream.on_stream_closing(frame.last_request_id)


@handle_reply_frame.register
def _(frame: SlotOffer, stream: OutgoingStream) -> None:
    stream.on_slot_offer(frame.request_id)
