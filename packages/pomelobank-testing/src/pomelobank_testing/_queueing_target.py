"""A target with slots and an unbounded queue, as a separate process.

The target behaves like many services: it accepts every request, runs as many
requests at once as it has slots, and queues all others without a time limit.
It supports cancellation: a closed connection cancels the request on it.
"""

import argparse
import asyncio
import contextlib

import aiohttp
import httptools

_BODY = b'{"shade": "coral", "stock": 7}'
_RESPONSE = (
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
    b"content-length: %d\r\n\r\n" % len(_BODY)
) + _BODY
_WORK_HEADER = b"x-work-ms"
_MS_PER_S = 1000
_ANNOUNCE_PERIOD_S = 0.5


class _Connection(asyncio.Protocol):
    """Runs the requests of one connection."""

    def __init__(self, slots: asyncio.Semaphore) -> None:
        self.slots = slots
        self.work_ms = 0
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == _WORK_HEADER:
            self.work_ms = int(value)

    def on_message_complete(self) -> None:
        self.task = asyncio.create_task(self._respond_after_work(self.work_ms))

    async def _respond_after_work(self, work_ms: int) -> None:
        async with self.slots:
            await asyncio.sleep(work_ms / _MS_PER_S)
        self.transport.write(_RESPONSE)

    def connection_lost(self, _: Exception | None) -> None:
        if self.task is not None:
            self.task.cancel()


def main(arguments: list[str] | None = None) -> int:
    """Prints the target's address and serves until interrupted."""
    parser = argparse.ArgumentParser(
        prog="queueing-target", description=__doc__
    )
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--upstream", required=True)
    parser.add_argument(
        "--admin", required=True, help="admin address of its node"
    )
    options = parser.parse_args(arguments)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_serve(options))
    return 0


async def _serve(options: argparse.Namespace) -> None:
    loop = asyncio.get_running_loop()
    slots = asyncio.Semaphore(options.slots)
    server = await loop.create_server(
        lambda: _Connection(slots), "127.0.0.1", 0, backlog=1024
    )
    host, port = server.sockets[0].getsockname()
    print(f"{host}:{port}", flush=True)
    document = {
        "upstream": options.upstream,
        "address": f"{host}:{port}",
        "slots": options.slots,
    }
    async with aiohttp.ClientSession() as session:
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                await session.post(
                    f"http://{options.admin}/v1/target", json=document
                )
            await asyncio.sleep(_ANNOUNCE_PERIOD_S)
