"""What a decision about waiting requests costs, counted in function calls."""

import asyncio
import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

import pytest

from pomelobank_core import (
    AdmissionRequest,
    DeadlineAdmission,
    SlotLimit,
    TrafficClass,
)
from pomelobank_node._admission_queue import AdmissionQueue
from pomelobank_node._clock import SystemClock
from pomelobank_node._requests import RequestError

SLOTS = 4
ROUTES = ("/a", "/b", "/c", "/d")
FAR_MS = 10_000_000
# A doubled queue doubles the work of decisions that each look at one request,
# and multiplies by four the work of decisions that each look at all of them.
MAX_GROWTH = 2.5


async def _wait_in(queue: AdmissionQueue, number: int) -> None:
    now_ms = queue.clock.now_ms()
    request = AdmissionRequest(
        TrafficClass.INTERACTIVE,
        ROUTES[number % len(ROUTES)],
        deadline_ms=now_ms + FAR_MS,
        objective_at_ms=now_ms + FAR_MS,
    )
    await queue.acquire(request)
    await asyncio.Event().wait()


def _count_calls(work: Callable[[], None]) -> int:
    count = 0

    def on_event(_: FrameType, event: str, __: Any) -> None:
        nonlocal count
        count += event == "call"

    sys.setprofile(on_event)
    try:
        work()
    finally:
        sys.setprofile(None)
    return count


def _calls_to_end(
    waiting: int,
    end: Callable[[AdmissionQueue, list[asyncio.Task[None]]], None],
) -> int:
    loop = asyncio.new_event_loop()
    queue = AdmissionQueue(DeadlineAdmission(SlotLimit(SLOTS)), SystemClock())

    async def turn() -> None:
        for _ in range(4):
            await asyncio.sleep(0)

    async def fill() -> list[asyncio.Task[None]]:
        tasks = [
            asyncio.create_task(_wait_in(queue, number))
            for number in range(SLOTS + waiting)
        ]
        await turn()
        return tasks

    tasks = loop.run_until_complete(fill())
    assert queue.admission.waiting == waiting
    end(queue, tasks[SLOTS:])
    calls = _count_calls(lambda: loop.run_until_complete(turn()))
    assert queue.admission.waiting == 0
    ended = [item.exception() for item in tasks[SLOTS:] if not item.cancelled()]
    assert all(isinstance(item, RequestError) for item in ended)
    for task in tasks:
        task.cancel()
    loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
    loop.close()
    return calls


def _cancel(_: AdmissionQueue, tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()


def _reject(queue: AdmissionQueue, _: list[asyncio.Task[None]]) -> None:
    queue.reject_waiting()


@pytest.mark.parametrize(
    "end",
    [
        pytest.param(_cancel, id="their callers go away"),
        pytest.param(_reject, id="the target leaves"),
    ],
)
def test_requests_that_stop_waiting_together_cost_one_look_each(
    end: Callable[[AdmissionQueue, list[asyncio.Task[None]]], None],
) -> None:
    """Guards against one turn of seconds when many requests stop waiting."""
    assert _calls_to_end(300, end) <= MAX_GROWTH * _calls_to_end(150, end)
