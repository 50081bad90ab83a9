"""The event loop of a node's process."""

import asyncio
import selectors

import pytest

from pomelobank_node._event_loop import (
    MAX_SKIPPED_POLLS,
    PollSkippingSelector,
    run_program,
)

TURNS = 160


async def turn(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


def test_ready_callbacks_run_without_asking_the_kernel(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a system call in each turn of the loop."""
    asked = 0
    select = selectors.DefaultSelector.select

    def counted(
        self: PollSkippingSelector, timeout: float | None = None
    ) -> object:
        nonlocal asked
        asked += 1
        return select(self, timeout)

    monkeypatch.setattr(selectors.DefaultSelector, "select", counted)
    run_program(turn(TURNS))
    assert asked <= 2 * TURNS / MAX_SKIPPED_POLLS


def test_events_come_in_while_callbacks_are_always_ready() -> None:
    """Guards against work that keeps the loop from ever reading a socket."""

    async def answered() -> bytes:
        async def echo(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(await reader.readexactly(2))

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        busy = asyncio.create_task(turn(1_000_000_000))
        address = server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"ok")
        async with asyncio.timeout(20):
            data = await reader.readexactly(2)
        busy.cancel()
        writer.close()
        server.close()
        return data

    assert run_program(answered()) == b"ok"
