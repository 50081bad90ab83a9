"""Tests of the time at which claims are appended."""

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from pomelobank_core import ClaimBatcher

APPENDS_PER_S = 10.0
MAX_WAIT_MS = 1500


def batcher() -> ClaimBatcher[int]:
    return ClaimBatcher(appends_per_s=APPENDS_PER_S)


def test_a_single_claim_is_appended_at_once() -> None:
    shard_batcher = batcher()
    assert shard_batcher.offer(1, 0, MAX_WAIT_MS) == Success(None)
    assert shard_batcher.wait_ms(0) == 0
    assert shard_batcher.next_batch(0) == [1]


def test_claims_that_arrive_during_an_append_share_the_next_append() -> None:
    shard_batcher = batcher()
    shard_batcher.offer(0, 0, MAX_WAIT_MS)
    shard_batcher.next_batch(0)
    for item in range(1, 50):
        shard_batcher.offer(item, 1, MAX_WAIT_MS)
    assert shard_batcher.wait_ms(2) is None
    shard_batcher.on_appended(0, 3)
    assert shard_batcher.next_batch(3) == list(range(1, 50))


def test_deferred_items_join_a_claim_or_wait_a_bounded_time() -> None:
    shard_batcher = batcher()
    shard_batcher.defer(7, 0)
    assert shard_batcher.wait_ms(0) == 200
    shard_batcher.offer(1, 50, MAX_WAIT_MS)
    assert shard_batcher.wait_ms(50) == 0
    assert shard_batcher.next_batch(50) == [1, 7]


def test_deferred_items_leave_append_budget_for_the_next_claims() -> None:
    shard_batcher = batcher()
    for _ in range(2):
        shard_batcher.offer(1, 0, MAX_WAIT_MS)
        shard_batcher.next_batch(0)
        shard_batcher.on_appended(0, 0)
    shard_batcher.defer(7, 0)
    assert shard_batcher.wait_ms(0) == 200
    shard_batcher.offer(1, 0, MAX_WAIT_MS)
    assert shard_batcher.wait_ms(0) == 0
    shard_batcher.next_batch(0)
    shard_batcher.on_appended(0, 0)
    shard_batcher.defer(8, 0)
    assert shard_batcher.wait_ms(0) == 300


def test_a_queue_that_cannot_drain_in_time_rejects_at_once() -> None:
    """A burst of keyed requests arrives when the append budget is used up.

    Without the rejection, callers would wait until their deadline and be
    rejected then.
    """
    shard_batcher = batcher()
    accepted = 0
    while shard_batcher.offer(accepted, 0, MAX_WAIT_MS) == Success(None):
        accepted += 1
    assert 256 <= accepted <= 256 * 20
    result = shard_batcher.offer(accepted, 0, MAX_WAIT_MS)
    assert isinstance(result, Failure)
    assert MAX_WAIT_MS < result.failure() <= 2 * MAX_WAIT_MS


def test_an_unavailable_log_gets_one_append_per_pause() -> None:
    """The log has an outage while callers keep sending requests.

    Without the pause, each caller would wait for a call that fails, and the
    log would receive the calls of all callers as soon as it is back.
    """
    shard_batcher = batcher()
    now_ms = 0
    append_attempts = 0
    while now_ms < 10_000:
        shard_batcher.offer(now_ms, now_ms, MAX_WAIT_MS)
        if shard_batcher.wait_ms(now_ms) == 0:
            shard_batcher.next_batch(now_ms)
            append_attempts += 1
            shard_batcher.on_append_failed(now_ms, [])
        now_ms += 10
    assert 5 <= append_attempts <= 9
    assert isinstance(
        shard_batcher.offer(1, now_ms, MAX_WAIT_MS), Success | Failure
    )


def test_items_to_append_again_come_first() -> None:
    shard_batcher = batcher()
    shard_batcher.defer(1, 0)
    shard_batcher.defer(2, 0)
    shard_batcher.next_batch(200)
    shard_batcher.offer(3, 201, MAX_WAIT_MS)
    shard_batcher.defer(4, 201)
    assert shard_batcher.on_append_failed(210, [1, 2]) == [3]
    assert shard_batcher.wait_ms(210) == 200
    assert shard_batcher.next_batch(410) == [1, 2, 4]


@given(st.lists(st.integers(0, 60), min_size=1, max_size=200))
def test_appends_stay_within_the_budget_for_any_arrivals(
    gaps: list[int],
) -> None:
    shard_batcher = batcher()
    now_ms = 0
    appends = 0
    for gap_ms in gaps:
        now_ms += gap_ms
        shard_batcher.offer(now_ms, now_ms, MAX_WAIT_MS)
        if shard_batcher.wait_ms(now_ms) == 0:
            shard_batcher.next_batch(now_ms)
            appends += 1
            shard_batcher.on_appended(now_ms, now_ms + 1)
    assert appends <= 4 + now_ms * APPENDS_PER_S / 1000 + 1
