"""Requests that wait at the gate and stop waiting."""

import asyncio

import pytest

from pomelobank_core import (
    AdmissionRequest,
    ErrorKind,
    TrafficClass,
    WorkResult,
)
from pomelobank_node._admission_queue import AdmissionQueue, new_admission
from pomelobank_node._clock import SystemClock
from pomelobank_node._requests import RequestError
from pomelobank_schema.generated.settings import RequestSettings


def _gate() -> AdmissionQueue:
    admission = new_admission(RequestSettings(slots=1, max_queue_ms=60_000))
    return AdmissionQueue(admission, SystemClock())


def _ticket(gate: AdmissionQueue, timeout_ms: int = 60_000) -> AdmissionRequest:
    deadline_ms = gate.clock.now_ms() + timeout_ms
    return AdmissionRequest(TrafficClass.INTERACTIVE, "r", deadline_ms)


async def _waiting(
    gate: AdmissionQueue, ticket: AdmissionRequest
) -> asyncio.Task[None]:
    task = asyncio.create_task(gate.acquire(ticket))
    await asyncio.sleep(0)
    assert gate.admission.waiting
    return task


async def test_cancelled_in_the_queue() -> None:
    """A caller hangs up while it waits; its place goes to the next one."""
    gate = _gate()
    first = _ticket(gate)
    await gate.acquire(first)
    task = await _waiting(gate, _ticket(gate))
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert gate.outstanding == 1
    gate.release(first, WorkResult.RESPONDED)
    assert gate.idle.is_set()


async def test_cancelled_in_the_moment_of_its_start() -> None:
    """A caller hangs up just when its request is given the slot.

    If the slot were not given back, the target would lose one slot for each
    such moment, until it runs nothing at all.
    """
    gate = _gate()
    first = _ticket(gate)
    await gate.acquire(first)
    task = await _waiting(gate, _ticket(gate))
    gate.release(first, WorkResult.RESPONDED)
    assert gate.admission.in_flight == 1
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert gate.outstanding == 0
    assert gate.idle.is_set()


async def test_deadline_passes_in_the_queue() -> None:
    """The target is busy for longer than a caller waits."""
    gate = _gate()
    await gate.acquire(_ticket(gate))
    admission = gate.admission
    admission.service_times.add("interactive", "r", 1.0)
    with pytest.raises(RequestError) as ended:
        await gate.acquire(_ticket(gate, timeout_ms=50))
    assert ended.value.kind is ErrorKind.DEADLINE_NOT_RUN
    assert (admission.waiting, admission.in_flight) == (0, 1)


async def test_refused_at_once_when_it_cannot_start_in_time() -> None:
    gate = _gate()
    await gate.acquire(_ticket(gate))
    gate.admission.service_times.add("interactive", "r", 500.0)
    with pytest.raises(RequestError) as refused:
        await gate.acquire(_ticket(gate, timeout_ms=400))
    assert refused.value.kind is ErrorKind.OVERLOADED
    assert refused.value.retry_after_ms is not None
    assert refused.value.retry_after_ms >= 500
