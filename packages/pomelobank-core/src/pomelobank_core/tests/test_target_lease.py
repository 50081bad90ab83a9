"""Tests of the state changes caused by a target's announcements."""

import attrs
import pytest

from pomelobank_core import TargetChange, TargetLease
from pomelobank_schema.generated.records import TargetAnnouncement

LEASE_MS = 3000
PLAIN = TargetAnnouncement(upstream="u", address="127.0.0.1:1", slots=2)
LEAVING = attrs.evolve(PLAIN, draining=True)
SECOND = attrs.evolve(PLAIN, instance="second")
MOVED = attrs.evolve(PLAIN, address="127.0.0.1:2")
MORE_SLOTS = attrs.evolve(PLAIN, slots=4)
SILENCE = None

NONE = TargetChange.NONE
ACTIVATED = TargetChange.ACTIVATED
DRAINING = TargetChange.DRAINING
RESTARTED = TargetChange.RESTARTED
LAPSED = TargetChange.LAPSED


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        pytest.param([PLAIN, PLAIN], [ACTIVATED, NONE], id="renewed"),
        pytest.param(
            [PLAIN, MORE_SLOTS], [ACTIVATED, ACTIVATED], id="more-slots"
        ),
        pytest.param([PLAIN, LEAVING], [ACTIVATED, DRAINING], id="drains"),
        pytest.param(
            [PLAIN, LEAVING, PLAIN],
            [ACTIVATED, DRAINING, NONE],
            id="continues-to-announce-while-draining",
        ),
        pytest.param(
            [PLAIN, LEAVING, LEAVING, SECOND],
            [ACTIVATED, DRAINING, NONE, RESTARTED],
            id="another-instance",
        ),
        pytest.param(
            [PLAIN, LEAVING, MOVED],
            [ACTIVATED, DRAINING, RESTARTED],
            id="another-address",
        ),
        pytest.param(
            [PLAIN, SILENCE, SILENCE, PLAIN],
            [ACTIVATED, LAPSED, NONE, ACTIVATED],
            id="silent-and-active-again",
        ),
        pytest.param(
            [PLAIN, LEAVING, SILENCE, PLAIN],
            [ACTIVATED, DRAINING, NONE, RESTARTED],
            id="drained-and-restarted",
        ),
        pytest.param([SILENCE], [NONE], id="never-announced"),
    ],
)
def test_announcements(
    events: list[TargetAnnouncement | None], expected: list[TargetChange]
) -> None:
    lease = TargetLease(LEASE_MS)
    now_ms = 0
    changes = []
    for event in events:
        if event is None:
            now_ms += LEASE_MS + 1
            changes.append(lease.check(now_ms))
        else:
            now_ms += LEASE_MS // 6
            assert lease.check(now_ms) is NONE
            changes.append(lease.on_announcement(event, now_ms))
    assert changes == expected


def test_a_stopping_node_accepts_no_target() -> None:
    lease = TargetLease(LEASE_MS)
    lease.on_announcement(PLAIN, 0)
    lease.close()
    assert lease.on_announcement(SECOND, 1) is NONE
    assert lease.drain() is NONE
