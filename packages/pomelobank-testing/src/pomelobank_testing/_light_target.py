"""A target with minimal processing cost, as a separate process.

The latency tool measures calls to this target, so the target's own part of the
latency must be small and steady.
"""

import argparse
import asyncio
import contextlib

import aiohttp
import httptools

_RESPONSE_BODY = b'{"shade": "coral", "stock": 7}' + b" " * 170
_RESPONSE = (
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
    b"content-length: %d\r\n\r\n" % len(_RESPONSE_BODY)
) + _RESPONSE_BODY
_ANNOUNCE_PERIOD_S = 0.5


class _Connection(asyncio.Protocol):
    """Sends the same response to every request on one connection."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        self.transport.write(_RESPONSE)


def main(arguments: list[str] | None = None) -> int:
    """Prints the target's address and serves until interrupted."""
    parser = argparse.ArgumentParser(prog="light-target", description=__doc__)
    parser.add_argument(
        "--announce",
        action="append",
        default=[],
        metavar="UPSTREAM@ADMIN",
        help="upstream to announce and the admin address of its node",
    )
    options = parser.parse_args(arguments)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_serve(options.announce))
    return 0


async def _serve(announcements: list[str]) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(_Connection, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    print(f"{host}:{port}", flush=True)
    async with aiohttp.ClientSession() as session:
        while True:
            for item in announcements:
                await _announce(session, item, f"{host}:{port}")
            await asyncio.sleep(_ANNOUNCE_PERIOD_S)


async def _announce(
    session: aiohttp.ClientSession, item: str, address: str
) -> None:
    upstream, _, admin = item.partition("@")
    document = {"upstream": upstream, "address": address, "slots": 100}
    with contextlib.suppress(aiohttp.ClientError):
        await session.post(f"http://{admin}/v1/target", json=document)
