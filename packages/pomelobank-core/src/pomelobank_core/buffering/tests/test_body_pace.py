"""Which bodies keep the slot of their request."""

from pomelobank_core.buffering import BodyPace


def pace() -> BodyPace:
    return BodyPace(min_bytes_per_s=1000, max_pause_ms=2000)


def test_single_bytes_do_not_keep_a_slot() -> None:
    """Guards against a body that renews its time with each byte."""
    body = pace()
    now_ms = 0
    body.on_wait(now_ms)
    while not body.is_stalled(now_ms):
        now_ms += 500
        body.on_part(1, now_ms)
        body.on_wait(now_ms)
        assert now_ms < 3000


def test_body_at_the_minimum_rate_is_never_stalled() -> None:
    body = pace()
    for now_ms in range(0, 60_000, 100):
        body.on_wait(now_ms)
        body.on_part(100, now_ms + 100)
        assert not body.is_stalled(now_ms + 100)


def test_time_of_the_receiver_does_not_count() -> None:
    """Guards against a body that stalls because the target does not read."""
    body = pace()
    body.on_wait(0)
    body.on_part(5000, 10)
    assert not body.is_stalled(100_000)
    body.on_wait(100_000)
    assert not body.is_stalled(101_900)
    assert body.is_stalled(102_100)
