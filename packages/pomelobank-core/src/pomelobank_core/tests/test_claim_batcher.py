"""When claims are appended."""

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from pomelobank_core import ClaimBatcher

RATE = 10.0
PATIENCE_MS = 1500


def batcher() -> ClaimBatcher[int]:
    return ClaimBatcher(appends_per_s=RATE)


def test_a_lone_claim_goes_out_at_once() -> None:
    shard = batcher()
    assert shard.offer(1, 0, PATIENCE_MS) == Success(None)
    assert shard.wait_ms(0) == 0
    assert shard.next_batch(0) == [1]


def test_claims_that_come_during_an_append_share_the_next() -> None:
    shard = batcher()
    shard.offer(0, 0, PATIENCE_MS)
    shard.next_batch(0)
    for item in range(1, 50):
        shard.offer(item, 1, PATIENCE_MS)
    assert shard.wait_ms(2) is None
    shard.on_appended(0, 3)
    assert shard.next_batch(3) == list(range(1, 50))


def test_lazy_items_ride_along_or_wait_a_bounded_time() -> None:
    shard = batcher()
    shard.defer(7, 0)
    assert shard.wait_ms(0) == 200
    shard.offer(1, 50, PATIENCE_MS)
    assert shard.wait_ms(50) == 0
    assert shard.next_batch(50) == [1, 7]


def test_lazy_items_leave_appends_for_the_next_claims() -> None:
    shard = batcher()
    for _ in range(2):
        shard.offer(1, 0, PATIENCE_MS)
        shard.next_batch(0)
        shard.on_appended(0, 0)
    shard.defer(7, 0)
    assert shard.wait_ms(0) == 200
    shard.offer(1, 0, PATIENCE_MS)
    assert shard.wait_ms(0) == 0
    shard.next_batch(0)
    shard.on_appended(0, 0)
    shard.defer(8, 0)
    assert shard.wait_ms(0) == 300


def test_a_queue_that_cannot_drain_in_time_refuses_at_once() -> None:
    """A burst of keyed requests meets a log budget that is used up.

    Callers would wait for their whole deadline only to be refused then.
    """
    shard = batcher()
    accepted = 0
    while shard.offer(accepted, 0, PATIENCE_MS) == Success(None):
        accepted += 1
    assert 256 <= accepted <= 256 * 20
    result = shard.offer(accepted, 0, PATIENCE_MS)
    assert isinstance(result, Failure)
    assert PATIENCE_MS < result.failure() <= 2 * PATIENCE_MS


def test_a_failing_log_is_tried_once_per_pause() -> None:
    """The log has an outage while callers keep sending.

    Each of them would wait for a call that fails, and the log would be met
    by all of them in the moment of its return.
    """
    shard = batcher()
    now_ms = 0
    tried = 0
    while now_ms < 10_000:
        shard.offer(now_ms, now_ms, PATIENCE_MS)
        if shard.wait_ms(now_ms) == 0:
            shard.next_batch(now_ms)
            tried += 1
            shard.on_append_failed(now_ms, [])
        now_ms += 10
    assert 5 <= tried <= 9
    assert isinstance(shard.offer(1, now_ms, PATIENCE_MS), Success | Failure)


def test_what_must_be_appended_again_goes_first() -> None:
    shard = batcher()
    shard.defer(1, 0)
    shard.defer(2, 0)
    shard.next_batch(200)
    shard.offer(3, 201, PATIENCE_MS)
    shard.defer(4, 201)
    assert shard.on_append_failed(210, [1, 2]) == [3]
    assert shard.wait_ms(210) == 200
    assert shard.next_batch(410) == [1, 2, 4]


@given(st.lists(st.integers(0, 60), min_size=1, max_size=200))
def test_the_budget_holds_for_any_arrivals(gaps: list[int]) -> None:
    shard = batcher()
    now_ms = 0
    appends = 0
    for gap_ms in gaps:
        now_ms += gap_ms
        shard.offer(now_ms, now_ms, PATIENCE_MS)
        if shard.wait_ms(now_ms) == 0:
            shard.next_batch(now_ms)
            appends += 1
            shard.on_appended(now_ms, now_ms + 1)
    assert appends <= 4 + now_ms * RATE / 1000 + 1
