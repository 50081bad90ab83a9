"""Requests that wait in the admission queue and leave the queue."""

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


def _new_queue() -> AdmissionQueue:
    admission = new_admission(RequestSettings(slots=1, max_queue_ms=60_000))
    return AdmissionQueue(admission, SystemClock())


def _request(
    queue: AdmissionQueue, timeout_ms: int = 60_000
) -> AdmissionRequest:
    deadline_ms = queue.clock.now_ms() + timeout_ms
    return AdmissionRequest(TrafficClass.INTERACTIVE, "r", deadline_ms)


async def _start_waiting(
    queue: AdmissionQueue, request: AdmissionRequest
) -> asyncio.Task[None]:
    task = asyncio.create_task(queue.acquire(request))
    await asyncio.sleep(0)
    assert queue.admission.waiting
    return task


async def test_cancelled_in_the_queue() -> None:
    """Guards against a queue place that stays occupied.

    A caller disconnects while its request waits in the queue.
    """
    queue = _new_queue()
    first = _request(queue)
    await queue.acquire(first)
    task = await _start_waiting(queue, _request(queue))
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert queue.outstanding == 1
    queue.release(first, WorkResult.RESPONDED)
    assert queue.idle.is_set()


async def test_cancelled_just_after_its_slot_was_granted() -> None:
    """Guards against slots that are never released.

    A caller disconnects just after its request was granted a slot. If the
    queue did not release the slot, each such disconnect would cost the target
    one slot, until the target runs no request at all.
    """
    queue = _new_queue()
    first = _request(queue)
    await queue.acquire(first)
    task = await _start_waiting(queue, _request(queue))
    queue.release(first, WorkResult.RESPONDED)
    assert queue.admission.in_flight == 1
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert queue.outstanding == 0
    assert queue.idle.is_set()


async def test_deadline_passes_in_the_queue() -> None:
    """Guards against a request that stays queued after its deadline.

    The target is busy for longer than the caller waits.
    """
    queue = _new_queue()
    await queue.acquire(_request(queue))
    admission = queue.admission
    admission.service_times.add("interactive", "r", 1.0)
    with pytest.raises(RequestError) as failed:
        await queue.acquire(_request(queue, timeout_ms=50))
    assert failed.value.kind is ErrorKind.DEADLINE_NOT_RUN
    assert (admission.waiting, admission.in_flight) == (0, 1)


async def test_rejected_at_once_if_the_wait_exceeds_the_deadline() -> None:
    queue = _new_queue()
    await queue.acquire(_request(queue))
    queue.admission.service_times.add("interactive", "r", 500.0)
    with pytest.raises(RequestError) as rejected:
        await queue.acquire(_request(queue, timeout_ms=400))
    assert rejected.value.kind is ErrorKind.OVERLOADED
    assert rejected.value.retry_after_ms is not None
    assert rejected.value.retry_after_ms >= 500


async def test_full_queue_rejects_at_once() -> None:
    """Guards against a queue whose decisions take all processor time."""
    queue = _new_queue()
    queue.max_waiting = 1
    first = _request(queue)
    await queue.acquire(first)
    waiting = await _start_waiting(queue, _request(queue))
    with pytest.raises(RequestError) as raised:
        await queue.acquire(_request(queue))
    assert raised.value.kind is ErrorKind.OVERLOADED
    queue.release(first, WorkResult.RESPONDED)
    await waiting
