"""State of the requests on one stream between two nodes.

The node that sends requests keeps one `ExchangeTable` for each stream. The
table drops and counts frames that belong to no request in progress, so that a
response that is late, misaddressed or sent twice cannot reach another caller.
"""

import enum
from collections.abc import Iterator

import attrs

from pomelobank_core._errors import ErrorKind


class ExchangeState(enum.Enum):
    """Progress of a request on a stream.

    Attributes:
        QUEUED: No byte of the request has been handed to the connection.
        SENT: The peer may have received the request.
        RESPONDING: The response has begun and is not complete yet.
    """

    QUEUED = "queued"
    SENT = "sent"
    RESPONDING = "answering"


class FrameDecision(enum.Enum):
    """How a received frame is handled.

    Attributes:
        DELIVER: The frame belongs to a request in progress.
        DROP: The frame's request has ended or never existed.
        VIOLATION: The peer broke the protocol; the stream must be closed.
    """

    DELIVER = "deliver"
    DROP = "drop"
    VIOLATION = "violation"


@attrs.define
class Exchange:
    """One request on a stream.

    Attributes:
        state: Progress of the request.
        credit: Bytes of the response that the peer may still send.
    """

    state: ExchangeState
    credit: int


@attrs.define
class ExchangeTable:
    """The sender's view of all requests in progress on one stream.

    Request ids grow and are never reused, so a request whose id is no longer in
    the table cannot get another frame.

    Attributes:
        window: Initial credit: bytes of a response that the peer may send
            before it is granted more.
        next_id: Id of the next request.
        exchanges: Requests in progress, by id.
        late_frames: Number of frames for requests that had ended.
        unknown_frames: Number of frames for requests that were never sent.
        violations: Number of frames that broke the protocol.
    """

    window: int
    next_id: int = 1
    exchanges: dict[int, Exchange] = attrs.field(factory=dict)
    late_frames: int = 0
    unknown_frames: int = 0
    violations: int = 0

    def open(self) -> int:
        """Starts a request and returns its id."""
        request_id = self.next_id
        self.next_id += 1
        self.exchanges[request_id] = Exchange(ExchangeState.QUEUED, self.window)
        return request_id

    def states(self) -> list[tuple[int, ExchangeState]]:
        """Returns the id and the progress of each request."""
        return [(key, item.state) for key, item in self.exchanges.items()]

    def on_written(self, request_id: int) -> None:
        """Records that bytes of a request were handed to the connection."""
        exchange = self.exchanges.get(request_id)
        if exchange is not None and exchange.state is ExchangeState.QUEUED:
            exchange.state = ExchangeState.SENT

    def on_reply(self, request_id: int, more: bool) -> FrameDecision:
        """Handles the reply to a request.

        Args:
            request_id: Request id of the reply.
            more: Whether chunks of the response follow.

        Returns:
            How the reply is handled.
        """
        exchange = self.exchanges.get(request_id)
        if exchange is None:
            return self._drop(request_id)
        if exchange.state is not ExchangeState.SENT:
            return self._violation()
        if not more:
            del self.exchanges[request_id]
            return FrameDecision.DELIVER
        exchange.state = ExchangeState.RESPONDING
        return FrameDecision.DELIVER

    def on_chunk(
        self, request_id: int, size: int, more: bool, aborted: bool
    ) -> FrameDecision:
        """Handles a chunk of a response.

        Args:
            request_id: Request id of the chunk.
            size: Size of the chunk in bytes.
            more: Whether further chunks follow.
            aborted: Whether the peer ended the response before its end.

        Returns:
            How the chunk is handled.
        """
        exchange = self.exchanges.get(request_id)
        if exchange is None:
            return self._drop(request_id)
        if exchange.state is not ExchangeState.RESPONDING:
            return self._violation()
        exchange.credit -= size
        if exchange.credit < 0:
            # A peer that ignores its credit could fill this node's memory.
            return self._violation()
        if aborted or not more:
            del self.exchanges[request_id]
        return FrameDecision.DELIVER

    def grant_credit(self, request_id: int, size: int) -> bool:
        """Grants the peer more credit for a response.

        Args:
            request_id: Id of the request.
            size: Additional bytes.

        Returns:
            Whether the credit must be sent to the peer, because the request is
            still in progress.
        """
        exchange = self.exchanges.get(request_id)
        if exchange is None:
            return False
        exchange.credit += size
        return True

    def on_credit(self, request_id: int) -> FrameDecision:
        """Handles credit from the peer for more of a request's body."""
        if request_id in self.exchanges:
            return FrameDecision.DELIVER
        return self._drop(request_id)

    def on_slot_offer(self, request_id: int) -> FrameDecision:
        """Handles the peer's offer of a slot for a late-binding request."""
        exchange = self.exchanges.get(request_id)
        if exchange is None:
            return self._drop(request_id)
        if exchange.state is not ExchangeState.SENT:
            return self._violation()
        return FrameDecision.DELIVER

    def cancel(self, request_id: int) -> ExchangeState | None:
        """Ends a request that was cancelled or whose deadline passed.

        Returns:
            Progress of the request; None if the request had ended already. The
            peer must be notified unless the request was still queued.
        """
        exchange = self.exchanges.pop(request_id, None)
        return None if exchange is None else exchange.state

    def on_stream_closing(self, last_id: int) -> list[int]:
        """Ends the requests that a stopping peer did not accept.

        Args:
            last_id: Highest id that the peer accepted.

        Returns:
            Ids of the requests that did not run.
        """
        not_run = [
            request_id for request_id in self.exchanges if request_id > last_id
        ]
        for request_id in not_run:
            del self.exchanges[request_id]
        return not_run

    def on_stream_lost(self) -> Iterator[tuple[int, ErrorKind]]:
        """Ends every request because the stream broke.

        Yields:
            Id and error kind of each request. A request of which no byte was
            handed to the connection did not run; for the other requests the
            node cannot know whether they ran.
        """
        exchanges, self.exchanges = self.exchanges, {}
        for request_id, exchange in exchanges.items():
            yield request_id, lost_error_kind(exchange.state)

    def _drop(self, request_id: int) -> FrameDecision:
        if 0 < request_id < self.next_id:
            self.late_frames += 1
        else:
            self.unknown_frames += 1
        return FrameDecision.DROP

    def _violation(self) -> FrameDecision:
        self.violations += 1
        return FrameDecision.VIOLATION


def lost_error_kind(state: ExchangeState) -> ErrorKind:
    """Returns the error of a request whose stream broke.

    >>> lost_error_kind(ExchangeState.QUEUED)
    <ErrorKind.PEER_UNREACHABLE: 'peer_unreachable'>
    """
    if state is ExchangeState.QUEUED:
        return ErrorKind.PEER_UNREACHABLE
    return ErrorKind.PEER_LOST


def deadline_error_kind(state: ExchangeState) -> ErrorKind:
    """Returns the error of a request whose deadline passed.

    >>> deadline_error_kind(ExchangeState.QUEUED)
    <ErrorKind.DEADLINE_NOT_RUN: 'deadline_not_run'>
    """
    if state is ExchangeState.QUEUED:
        return ErrorKind.DEADLINE_NOT_RUN
    return ErrorKind.DEADLINE_UNKNOWN


@attrs.define
class FrameAge:
    """Estimates how long a frame was delayed, without synchronised clocks.

    A node whose process was paused finds old requests in its socket; without
    their age the node would run them after their callers have given up. The
    difference between receiving and sending time, less the minimum difference
    on the stream, is the time that a frame was delayed on the network or in a
    paused process.

    The minimum covers the last one to two periods only: the two clocks drift
    apart, so against an older minimum every frame would look delayed.

    Attributes:
        period_ms: Length of a period in ms.
        current_min_ms: Minimum difference of the current period, in ms.
        previous_min_ms: Minimum difference of the previous period, in ms.
        period_start_ms: Start of the current period.
    """

    period_ms: int = 60_000
    current_min_ms: int | None = None
    previous_min_ms: int | None = None
    period_start_ms: int = 0

    def age_ms(self, sent_ms: int, received_ms: int) -> int:
        """Returns how long a frame was delayed, in ms.

        Args:
            sent_ms: Sender's clock when the frame was sent.
            received_ms: This node's clock when the frame was received.

        Returns:
            Delay beyond that of the fastest recent frame; 0 for the fastest.
        """
        difference_ms = received_ms - sent_ms
        if received_ms - self.period_start_ms >= self.period_ms:
            self.previous_min_ms = self.current_min_ms
            self.current_min_ms = None
            self.period_start_ms = received_ms
        if self.current_min_ms is None or difference_ms < self.current_min_ms:
            self.current_min_ms = difference_ms
        min_difference_ms = self.current_min_ms
        if self.previous_min_ms is not None:
            min_difference_ms = min(min_difference_ms, self.previous_min_ms)
        return difference_ms - min_difference_ms
