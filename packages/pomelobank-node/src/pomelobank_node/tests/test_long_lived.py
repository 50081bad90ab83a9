"""Tasks that live as long as the node."""

import asyncio
import logging

import pytest

from pomelobank_node import _long_lived
from pomelobank_node._long_lived import start_long_lived


@pytest.fixture(autouse=True)
def _short_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_long_lived, "_FIRST_PAUSE_S", 0.001)
    monkeypatch.setattr(_long_lived, "_MAX_PAUSE_S", 0.002)


async def test_task_runs_again_after_an_error(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a task that an unexpected error ends unnoticed."""
    runs = 0

    async def work() -> None:
        nonlocal runs
        runs += 1
        if runs < 4:
            raise ValueError(f"error {runs}")

    with caplog.at_level(logging.ERROR):
        await start_long_lived(work, "reader")
    assert runs == 4
    assert [item.message for item in caplog.records] == 3 * ["task.failed"]


async def test_cancelled_task_ends() -> None:
    """Guards against a stop that waits for a task that runs again."""
    task = start_long_lived(asyncio.Event().wait, "waiter")  # type: ignore[arg-type]
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait([task])
    assert task.cancelled()
