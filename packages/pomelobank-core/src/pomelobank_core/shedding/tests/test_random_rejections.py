"""Rejections of targets with free slots, and of targets that are full."""

import random

import pytest

from pomelobank_core import ErrorKind
from pomelobank_core.shedding import (
    FULL_TARGET_DELAY_MS,
    RandomRejections,
    RejectionDelay,
    is_random_rejection,
)

SLOTS = 3
SHED_SHARE = 0.55


def _shedding_target() -> RandomRejections:
    """Returns what is known of a target after 100 requests in 10 s."""
    rng = random.Random(1)
    rejections = RandomRejections()
    for now_ms in range(0, 10_000, 100):
        if rng.random() < SHED_SHARE:
            rejections.on_rejected(1, SLOTS, now_ms)
        else:
            rejections.on_ran(now_ms)
    return rejections


@pytest.mark.parametrize(
    ("in_flight", "abandoned", "is_random"),
    [
        pytest.param(1, 0, True, id="free slots"),
        pytest.param(3, 0, False, id="last slot"),
        pytest.param(2, 2, False, id="given-up requests still run"),
    ],
)
def test_full_target_does_not_count_as_rejecting_at_random(
    in_flight: int, abandoned: int, is_random: bool
) -> None:
    """Guards against more requests for a target that is really full."""
    rejections = RandomRejections()
    for _ in range(abandoned):
        rejections.on_abandoned(until_ms=500, now_ms=0)
    assert rejections.on_rejected(in_flight, SLOTS, 100) is is_random
    assert rejections.count == is_random


def test_abandoned_requests_fill_slots_only_until_they_have_ended() -> None:
    """Guards against a target that counts as full after it has recovered."""
    rejections = RandomRejections()
    for _ in range(SLOTS):
        rejections.on_abandoned(until_ms=500, now_ms=0)
    assert rejections.on_rejected(1, SLOTS, 501)


def test_shedding_target_also_rejects_its_last_slot_at_random() -> None:
    """Guards against full marks for busy targets that reject half."""
    rejections = _shedding_target()
    assert rejections.share == pytest.approx(SHED_SHARE, abs=0.25)
    assert rejections.on_rejected(SLOTS, SLOTS, 10_000)


def test_share_of_random_rejections_expires() -> None:
    """Guards against a target that is judged by a fault long past."""
    assert not _shedding_target().on_rejected(SLOTS, SLOTS, 30_000)


def test_target_that_rejects_everything_counts_as_full() -> None:
    """Guards against requests drawn to a target that is always idle."""
    rejections = RandomRejections()
    results = [rejections.on_rejected(1, SLOTS, 100 * n) for n in range(50)]
    assert results[0]
    assert not any(results[10:])
    rejections.on_ran(5_000)
    assert rejections.on_rejected(1, SLOTS, 5_100)


@pytest.mark.parametrize(
    ("remaining_ms", "objective_ms", "at_once"),
    [
        pytest.param(900, 590, True, id="a wait endangers the objective"),
        pytest.param(900, 600, False, id="there is time to wait"),
        pytest.param(900, 0, False, id="no objective"),
        pytest.param(60, 250, False, id="no time"),
    ],
)
def test_caller_is_told_to_come_back_at_once_only_if_that_helps(
    remaining_ms: int, objective_ms: int, at_once: bool
) -> None:
    """Guards against a wait of 200 ms for targets that have free slots."""
    delay_ms = RejectionDelay().draw_ms(
        remaining_ms, objective_ms, 55, random.Random(1)
    )
    assert (delay_ms <= 20) is at_once
    assert is_random_rejection(ErrorKind.TARGET_REFUSED, delay_ms)


@pytest.mark.parametrize(
    ("kind", "retry_after_ms"),
    [
        (ErrorKind.TARGET_REFUSED, FULL_TARGET_DELAY_MS),
        (ErrorKind.TARGET_REFUSED, 0),
        (ErrorKind.OVERLOADED, 10),
        (None, 10),
    ],
)
def test_other_rejections_are_not_taken_for_random(
    kind: ErrorKind | None, retry_after_ms: int
) -> None:
    """Guards against replies of earlier versions that are misread."""
    assert not is_random_rejection(kind, retry_after_ms)
