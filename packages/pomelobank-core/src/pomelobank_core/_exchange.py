"""Which outcome follows from which events on one stream between two nodes.

The node that sends requests keeps one `ExchangeTable` a stream. Frames that
belong to no request under way are dropped and counted here, so that an answer
that is late, crossed or sent twice cannot reach another caller.
"""

import enum
from collections.abc import Iterator

import attrs

from pomelobank_core._errors import ErrorKind


class ExchangeState(enum.Enum):
    """How far a request on a stream has come.

    Attributes:
        QUEUED: No byte of it has been handed to the connection.
        SENT: The peer may have it.
        RESPONDING: Its answer has begun and is not whole yet.
    """

    QUEUED = "queued"
    SENT = "sent"
    RESPONDING = "answering"


class FrameDecision(enum.Enum):
    """What to do with a frame that came in.

    Attributes:
        DELIVER: It belongs to a request under way.
        DROP: Nobody waits for it any more, or never did.
        VIOLATION: The peer broke the protocol; the stream must be closed.
    """

    DELIVER = "deliver"
    DROP = "drop"
    VIOLATION = "violation"


@attrs.define
class Exchange:
    """One request on a stream.

    Attributes:
        state: How far it has come.
        credit: Bytes of its answer that the peer may still send.
    """

    state: ExchangeState
    credit: int


@attrs.define
class ExchangeTable:
    """Every request under way on one stream, as its sender sees them.

    Request ids grow and are never used again, so an id that is not in the
    table is over for good.

    Attributes:
        window: Bytes of an answer that the peer may send before it is granted
            more.
        next_id: Id of the next request.
        exchanges: Requests under way, by id.
        late_frames: Frames for requests that had ended.
        unknown_frames: Frames for requests that were never sent.
        violations: Frames that broke the protocol.
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

    def on_written(self, request_id: int) -> None:
        """Notes that bytes of a request were handed to the connection."""
        exchange = self.exchanges.get(request_id)
        if exchange is not None and exchange.state is ExchangeState.QUEUED:
            exchange.state = ExchangeState.SENT

    def on_reply(self, request_id: int, more: bool) -> FrameDecision:
        """Takes the reply of a request.

        Args:
            request_id: Id that the reply names.
            more: Whether chunks of the answer follow.

        Returns:
            What to do with it.
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
        """Takes a chunk of an answer.

        Args:
            request_id: Id that the chunk names.
            size: Its bytes.
            more: Whether further chunks follow.
            aborted: Whether the peer gave up in the middle.

        Returns:
            What to do with it.
        """
        exchange = self.exchanges.get(request_id)
        if exchange is None:
            return self._drop(request_id)
        if exchange.state is not ExchangeState.RESPONDING:
            return self._violation()
        exchange.credit -= size
        if exchange.credit < 0:
            # A peer that ignores credit would fill this node's memory.
            return self._violation()
        if aborted or not more:
            del self.exchanges[request_id]
        return FrameDecision.DELIVER

    def grant_credit(self, request_id: int, size: int) -> bool:
        """Lets the peer send more of an answer.

        Args:
            request_id: Id of the request.
            size: Bytes in addition.

        Returns:
            Whether the peer has to be told, because the answer is under way.
        """
        exchange = self.exchanges.get(request_id)
        if exchange is None:
            return False
        exchange.credit += size
        return True

    def on_credit(self, request_id: int) -> FrameDecision:
        """Takes the peer's leave to send more of a request's body."""
        if request_id in self.exchanges:
            return FrameDecision.DELIVER
        return self._drop(request_id)

    def on_slot_offer(self, request_id: int) -> FrameDecision:
        """Takes the peer's offer of a slot for a request that binds late."""
        exchange = self.exchanges.get(request_id)
        if exchange is None:
            return self._drop(request_id)
        if exchange.state is not ExchangeState.SENT:
            return self._violation()
        return FrameDecision.DELIVER

    def cancel(self, request_id: int) -> ExchangeState | None:
        """Ends a request that its caller gave up or whose deadline passed.

        Returns:
            How far it had come; None where it had ended already. The peer has
            to be told unless it was still queued.
        """
        exchange = self.exchanges.pop(request_id, None)
        return None if exchange is None else exchange.state

    def on_stream_closing(self, last_id: int) -> list[int]:
        """Ends the requests that a stopping peer says it never took.

        Args:
            last_id: Highest id that the peer took.

        Returns:
            Ids of requests that did not run.
        """
        refused = [
            request_id for request_id in self.exchanges if request_id > last_id
        ]
        for request_id in refused:
            del self.exchanges[request_id]
        return refused

    def on_stream_lost(self) -> Iterator[tuple[int, ErrorKind]]:
        """Ends every request because the stream broke.

        Yields:
            Id and error kind of each: a request of which no byte was handed
            to the connection did not run, of the others nobody can know.
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
    """Tells how long a frame was under way, without a common clock.

    A node that was paused finds old requests in its socket. Run now, they
    would run after their callers gave up. The difference between receiving
    and sending time, less the least difference seen on the stream, is the time
    that a frame lost on its way or in a paused process.

    The least difference is taken over the last one to two periods, because the
    two clocks drift apart and a minimum kept for ever would grow stale.

    Attributes:
        period_ms: Length of a period in ms.
        current_least: Least difference of the period that runs, in ms.
        previous_least: Least difference of the period before it, in ms.
        period_began_ms: When the period that runs began.
    """

    period_ms: int = 60_000
    current_least: int | None = None
    previous_least: int | None = None
    period_began_ms: int = 0

    def age_ms(self, sent_ms: int, received_ms: int) -> int:
        """Returns how long a frame was held up, in ms.

        Args:
            sent_ms: Sender's clock when it was sent.
            received_ms: Own clock when it was received.

        Returns:
            Its age beyond the usual way; 0 for the fastest frame seen.
        """
        difference = received_ms - sent_ms
        if received_ms - self.period_began_ms >= self.period_ms:
            self.previous_least = self.current_least
            self.current_least = None
            self.period_began_ms = received_ms
        if self.current_least is None or difference < self.current_least:
            self.current_least = difference
        least = self.current_least
        if self.previous_least is not None:
            least = min(least, self.previous_least)
        return difference - least
