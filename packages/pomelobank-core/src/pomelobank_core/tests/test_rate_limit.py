"""Rate limits that targets name."""

import pytest

from pomelobank_core import RateLimit

_WINDOW_MS = 4000


def send_as_allowed(limit: RateLimit, until_ms: int, step_ms: int) -> list[int]:
    """Offers a request every few ms; returns when requests were sent."""
    return [
        now_ms
        for now_ms in range(0, until_ms, step_ms)
        if limit.try_take(now_ms)
    ]


@pytest.mark.parametrize("per_s", [0.5, 2, 7.1, 41.7, 180])
@pytest.mark.parametrize("step_ms", [1, 13, 250])
def test_no_window_has_more_requests_than_the_target_takes(
    per_s: float, step_ms: int
) -> None:
    """A target in need fails its callers if it gets more than it takes."""
    limit = RateLimit()
    limit.set_rate(per_s, 0)
    sent_ms = send_as_allowed(limit, 30_000, step_ms)
    most = max(
        sum(began <= at < began + _WINDOW_MS for at in sent_ms)
        for began in sent_ms
    )
    assert most <= 1.5 * per_s * _WINDOW_MS / 1000 + 5


@pytest.mark.parametrize("per_s", [2, 7.1, 41.7])
def test_the_whole_limit_is_used(per_s: float) -> None:
    """Otherwise the other targets get load that this target would take."""
    limit = RateLimit()
    limit.set_rate(per_s, 0)
    assert len(send_as_allowed(limit, 30_000, 7)) >= 0.95 * 30 * per_s


def test_requests_that_wait_for_a_slot_use_the_limit_too() -> None:
    """They would exceed it when all of them start."""
    limit = RateLimit()
    limit.set_rate(8, 0)
    assert limit.wait_ms(250, ahead=1) == 0
    assert limit.wait_ms(250, ahead=2) == 125


def test_limit_of_zero_leaves_requests_that_can_end_it() -> None:
    """Only a response of the target ends its limit."""
    limit = RateLimit()
    assert limit.set_rate(0, 0)
    assert len(send_as_allowed(limit, 8001, 10)) == 4
    assert limit.set_rate(None, 8000)
    assert all(limit.try_take(8000) for _ in range(100))
