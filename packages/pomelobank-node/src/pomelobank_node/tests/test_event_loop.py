"""The event loop of a node's process."""

import asyncio
import selectors
import subprocess
import sys

import pytest

from pomelobank_node._event_loop import (
    MAX_SKIPPED_POLLS,
    PollSkippingSelector,
    run_program,
)

ITERATIONS = 160


async def yield_to_loop(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


def test_most_polls_are_skipped_while_callbacks_are_ready(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a poll system call in each iteration of the loop.

    The standard loop makes this system call even if callbacks are ready.
    """
    polls = 0
    select = selectors.DefaultSelector.select

    def counting_select(
        self: PollSkippingSelector, timeout: float | None = None
    ) -> object:
        nonlocal polls
        polls += 1
        return select(self, timeout)

    monkeypatch.setattr(selectors.DefaultSelector, "select", counting_select)
    run_program(yield_to_loop(ITERATIONS))
    assert polls <= 2 * ITERATIONS / MAX_SKIPPED_POLLS


def test_sockets_are_read_while_callbacks_are_always_ready() -> None:
    """Guards against ready callbacks that starve I/O.

    A loop that skips every poll while callbacks are ready would never read a
    socket again.
    """

    async def echo_over_busy_loop() -> bytes:
        async def echo(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(await reader.readexactly(2))

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        busy = asyncio.create_task(yield_to_loop(1_000_000_000))
        address = server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"ok")
        async with asyncio.timeout(20):
            data = await reader.readexactly(2)
        busy.cancel()
        writer.close()
        server.close()
        return data

    assert run_program(echo_over_busy_loop()) == b"ok"


def test_process_ends_without_the_interpreters_clean_up() -> None:
    """Guards against a clean-up that lasts until the platform's kill."""
    program = (
        "import atexit\n"
        "from pomelobank_node._event_loop import end_process\n"
        "atexit.register(print, 'clean-up')\n"
        "print('last line')\n"
        "end_process(3)\n"
    )
    ended = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, check=False
    )
    assert (ended.returncode, ended.stdout) == (3, b"last line\n")
