"""Tests of the requests on a stream: frames, cancellations and breaks."""

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pomelobank_core import (
    ErrorKind,
    ExchangeState,
    ExchangeTable,
    FrameAge,
    FrameDecision,
    deadline_error_kind,
)

WINDOW = 100
IDS = strategies.integers(-2, 12)
SIZES = strategies.integers(0, WINDOW)


class StreamMachine(RuleBasedStateMachine):
    """Compares the exchange table with a plain model for frames in any order.

    Guards against a response that reaches the wrong caller and against a
    request that ran but is reported as not run. A faulty peer, a reset
    connection or a late response causes frames in orders that hand-written
    tests would miss.
    """

    def __init__(self) -> None:
        super().__init__()
        self.table = ExchangeTable(WINDOW)
        self.states: dict[int, ExchangeState] = {}
        self.credit: dict[int, int] = {}
        self.written: set[int] = set()
        self.opened: set[int] = set()
        self.dropped = 0

    @rule()
    def open(self) -> None:
        request_id = self.table.open()
        assert request_id not in self.opened
        self.opened.add(request_id)
        self.states[request_id] = ExchangeState.QUEUED
        self.credit[request_id] = WINDOW

    @rule(request_id=IDS)
    def write(self, request_id: int) -> None:
        self.table.on_written(request_id)
        if self.states.get(request_id) is ExchangeState.QUEUED:
            self.states[request_id] = ExchangeState.SENT
            self.written.add(request_id)

    @rule(request_id=IDS, more=strategies.booleans())
    def reply(self, request_id: int, more: bool) -> None:
        decision = self.table.on_reply(request_id, more)
        state = self.states.get(request_id)
        if state is None:
            self.dropped += 1
            assert decision is FrameDecision.DROP
        elif state is not ExchangeState.SENT:
            assert decision is FrameDecision.VIOLATION
        elif more:
            assert decision is FrameDecision.DELIVER
            self.states[request_id] = ExchangeState.RESPONDING
        else:
            assert decision is FrameDecision.DELIVER
            del self.states[request_id]

    @rule(
        request_id=IDS,
        size=SIZES,
        more=strategies.booleans(),
        aborted=strategies.booleans(),
    )
    def chunk(
        self, request_id: int, size: int, more: bool, aborted: bool
    ) -> None:
        decision = self.table.on_chunk(request_id, size, more, aborted)
        state = self.states.get(request_id)
        if state is None:
            self.dropped += 1
            assert decision is FrameDecision.DROP
            return
        if state is not ExchangeState.RESPONDING:
            assert decision is FrameDecision.VIOLATION
            return
        self.credit[request_id] -= size
        if self.credit[request_id] < 0:
            assert decision is FrameDecision.VIOLATION
            return
        assert decision is FrameDecision.DELIVER
        if aborted or not more:
            del self.states[request_id]

    @rule(request_id=IDS, size=SIZES)
    def grant(self, request_id: int, size: int) -> None:
        granted = self.table.grant_credit(request_id, size)
        assert granted is (request_id in self.states)
        if granted:
            self.credit[request_id] += size

    @rule(request_id=IDS)
    def expire(self, request_id: int) -> None:
        state = self.table.cancel(request_id)
        assert state is self.states.pop(request_id, None)
        if state is not None:
            not_run = deadline_error_kind(state) is ErrorKind.DEADLINE_NOT_RUN
            assert not_run is (request_id not in self.written)

    @rule(last_id=IDS)
    def peer_closes_stream(self, last_id: int) -> None:
        not_run_ids = self.table.on_stream_closing(last_id)
        assert not_run_ids == [item for item in self.states if item > last_id]
        for request_id in not_run_ids:
            del self.states[request_id]

    @rule()
    def lose_stream(self) -> None:
        for request_id, kind in self.table.on_stream_lost():
            del self.states[request_id]
            not_run = kind is ErrorKind.PEER_UNREACHABLE
            assert not_run is (request_id not in self.written)
        assert not self.states

    @invariant()
    def table_matches_model(self) -> None:
        states = {
            request_id: exchange.state
            for request_id, exchange in self.table.exchanges.items()
        }
        assert states == self.states
        counted = self.table.late_frames + self.table.unknown_frames
        assert counted == self.dropped


StreamMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestStream = StreamMachine.TestCase


def test_age_of_held_up_frame() -> None:
    """Guards against requests that run after their callers have given up.

    A node that was paused for seconds reads old requests from its socket. The
    clocks of two nodes are not synchronised, so the age is measured against the
    fastest frames.
    """
    age = FrameAge()
    assert age.age_ms(sent_ms=1_000, received_ms=501_002) == 0
    assert age.age_ms(sent_ms=1_010, received_ms=501_011) == 0
    assert age.age_ms(sent_ms=1_020, received_ms=506_021) == 5_000
    assert age.age_ms(sent_ms=6_020, received_ms=506_022) == 1


def test_age_forgets_old_clock_difference() -> None:
    """Guards against rejections caused by clock drift.

    The clocks of two nodes drift apart by seconds over weeks on a stream that
    stays open. Against a minimum that never expires, every request would look
    old and be rejected.
    """
    age = FrameAge(period_ms=100)
    for step in range(1_000):
        drift = step // 10
        sent = step * 10
        assert age.age_ms(sent, sent + drift) <= 20
