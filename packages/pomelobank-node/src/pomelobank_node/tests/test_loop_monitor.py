"""The figures of the event loop and the log lines about them."""

import asyncio
import functools
import logging
import socket
import time
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from pomelobank_node import _loop_monitor
from pomelobank_node._event_loop import run_program, running_monitor
from pomelobank_node._loop_monitor import LoopMonitor, describe_handle


async def _long_turns() -> None:
    # The first one makes the monitor measure callbacks.
    for seconds in (0.5, 1):
        time.sleep(seconds)  # noqa: ASYNC251
        await _idle()


async def _always_ready() -> None:
    for _ in range(300):
        await asyncio.sleep(0)


async def _unread_descriptor() -> None:
    loop = asyncio.get_running_loop()
    ours, theirs = socket.socketpair()
    theirs.close()
    loop.add_reader(ours.fileno(), lambda: None)
    await asyncio.sleep(0.3)
    loop.remove_reader(ours.fileno())
    ours.close()


async def _byte_by_byte() -> None:
    loop = asyncio.get_running_loop()
    ours, theirs = socket.socketpair()
    theirs.send(1000 * b"x")
    loop.add_reader(ours.fileno(), ours.recv, 1)
    await asyncio.sleep(0.3)
    loop.remove_reader(ours.fileno())
    ours.close()
    theirs.close()


async def _idle() -> None:
    await asyncio.sleep(0.05)


def _measure(work: Coroutine[Any, Any, None]) -> LoopMonitor:
    async def run() -> LoopMonitor:
        monitor = running_monitor()
        await _idle()
        await asyncio.create_task(work, name="culprit")
        await _idle()
        return monitor

    return run_program(run())


@pytest.fixture
def without_long_times(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keeps pauses of a busy machine out of the log."""
    for name in ("LONG_TURN_MS", "LONG_STRETCH_MS"):
        monkeypatch.setattr(_loop_monitor, name, 1e6)
    for name in ("MANY_ITERATIONS", "MANY_UNMOVED_POLLS"):
        monkeypatch.setattr(_loop_monitor, name, 200)


@pytest.mark.usefixtures("without_long_times")
@pytest.mark.parametrize(
    ("work", "lines"),
    [
        pytest.param(_always_ready, {"loop.no_wait"}, id="a task always ready"),
        pytest.param(
            _unread_descriptor,
            {"loop.descriptors_stay_ready"},
            id="a descriptor that nobody reads",
        ),
        pytest.param(_byte_by_byte, set(), id="a byte at each turn"),
        pytest.param(_idle, set(), id="an idle process"),
    ],
)
def test_kinds_of_busy_loops_are_told_apart(
    work: Any, lines: set[str], caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a busy process whose logs do not say why it is busy."""
    with caplog.at_level(logging.WARNING):
        _measure(work())
    assert {item.message for item in caplog.records} == lines


def test_longest_turn_names_the_task_that_ran(
    caplog: pytest.LogCaptureFixture,
) -> None:
    with caplog.at_level(logging.WARNING):
        monitor = _measure(_long_turns())
    assert monitor.longest_turn_ms >= 1000
    assert monitor.longest_turn_callback == "culprit _long_turns"
    assert "loop.long_turn" in {item.message for item in caplog.records}


def test_stretch_of_processor_time_is_logged_without_a_clock(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a busy process whose clock stands still meanwhile."""
    now_s = processor_s = 0.0
    monitor = LoopMonitor(lambda: now_s, lambda: processor_s)
    with caplog.at_level(logging.WARNING):
        monitor.on_turn_ended(1)
        now_s = processor_s = 0.6
        monitor.on_poll([], waited=True)
    monitor.stop_naming()
    (line,) = caplog.records
    assert line.message == "loop.did_not_wait"
    assert (line.ms, line.processor_ms) == (0, 600)


def test_waiting_is_part_of_no_turn() -> None:
    now_s = 0.0
    monitor = LoopMonitor(lambda: now_s, lambda: now_s)
    now_s = 0.1
    monitor.on_turn_ended(1)
    now_s = 60.0
    monitor.on_poll([], waited=True)
    assert monitor.longest_turn_ms == monitor.longest_stretch_ms == 100


class _LargeComponent:
    """A component whose text takes more memory than a process has."""

    def __call__(self) -> None:
        """Does nothing."""

    def work(self) -> None:
        """Does nothing."""

    def __repr__(self) -> str:
        raise MemoryError


@pytest.mark.parametrize(
    ("callback", "name"),
    [
        pytest.param(
            _LargeComponent().work, "_LargeComponent.work", id="method"
        ),
        pytest.param(_LargeComponent(), "_LargeComponent", id="object"),
        pytest.param(
            functools.partial(_LargeComponent().work), "partial", id="partial"
        ),
    ],
)
def test_name_of_a_callback_describes_no_object(
    callback: Callable[[], None], name: str
) -> None:
    """Guards against log lines as large as the node's whole state."""
    loop = asyncio.new_event_loop()
    handle = loop.call_soon(callback)
    assert describe_handle(handle) == name
    loop.close()


def test_lines_about_long_turns_are_limited(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a busy process that spends its time on log lines."""
    now_s = 0.0
    monitor = LoopMonitor(lambda: now_s, lambda: now_s)
    with caplog.at_level(logging.WARNING):
        for _ in range(100):
            now_s += 0.5
            monitor.on_turn_ended(1)
            monitor.on_poll([], waited=False)
        monitor.stop_naming()
    assert monitor.long_turns == 100
    assert len(caplog.records) == 50
