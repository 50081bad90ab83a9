"""Tests of the times of a node's stop."""

import pytest

from pomelobank_core import ShutdownAdmission, StopSchedule

ROUTE_TIMEOUT_MS = 20_000


@pytest.mark.parametrize(
    "grace_ms",
    [
        pytest.param(1000, id="shorter than the platform's routing stop"),
        pytest.param(6000, id="usual grace period"),
        pytest.param(30_000, id="long grace period"),
    ],
)
def test_phases_of_a_stop_end_in_order(grace_ms: int) -> None:
    """Guards against a phase that has no time left for the one after it."""
    schedule = StopSchedule.of(started_ms=500, grace_ms=grace_ms)
    times = [
        schedule.started_ms,
        schedule.routing_stops_ms - schedule.close_update_ms,
        schedule.routing_stops_ms,
        schedule.last_start_ms,
        schedule.requests_end_ms,
        schedule.servers_end_ms,
        schedule.components_end_ms,
        schedule.started_ms + grace_ms,
    ]
    assert times == sorted(times)


def test_late_requests_are_rejected_by_the_clock() -> None:
    """Guards against a bound that holds only once a phase has ended."""
    schedule = StopSchedule.of(started_ms=0, grace_ms=6000)
    admission = ShutdownAdmission()
    admission.apply_schedule(schedule)
    before_ms = schedule.routing_stops_ms - 1
    assert admission.accepts(ROUTE_TIMEOUT_MS, before_ms)
    assert not admission.accepts(ROUTE_TIMEOUT_MS, schedule.routing_stops_ms)
    assert admission.accepts(1000, schedule.routing_stops_ms)
