"""A caller that costs as little as possible, for measuring latency."""

import asyncio
import collections
import time
from collections.abc import Callable

import attrs
import httptools

_NS_PER_US = 1000
_OK = 200


class LightConnection(asyncio.Protocol):
    """One keep-alive connection; one request at a time.

    Attributes:
        transport: The connection.
        sent_ns: When the request under way was sent.
        done: Called with the latency in microseconds and the status.
    """

    def __init__(self, done: Callable[["LightConnection", int, int], None]):
        self.done = done
        self.sent_ns = 0
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses what came in."""
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Reports the whole answer."""
        taken_us = (time.perf_counter_ns() - self.sent_ns) // _NS_PER_US
        status = self.parser.get_status_code()
        self.parser = httptools.HttpResponseParser(self)
        self.done(self, taken_us, status)

    def send(self, data: bytes) -> None:
        """Sends one request."""
        assert self.transport is not None
        self.sent_ns = time.perf_counter_ns()
        self.transport.write(data)


@attrs.define(eq=False)
class LightClient:
    """Sends the same request to one address at a steady rate.

    Requests are sent when they are due, whether or not earlier ones have been
    answered, so that a stall is not hidden by a caller that waits for it.

    Attributes:
        address: Host and port.
        data: Bytes of the request.
        latencies_us: Latency of each answered request.
        failed: Requests that were answered with another status than 200.
        idle: Connections without a request.
        in_flight: Requests under way.
    """

    address: tuple[str, int]
    data: bytes
    latencies_us: list[int] = attrs.field(factory=list)
    failed: int = 0
    idle: collections.deque[LightConnection] = attrs.field(
        factory=collections.deque
    )
    in_flight: int = 0
    quiet: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def open(self, connections: int) -> None:
        """Opens connections, so that set-up is no part of the figures."""
        for _ in range(connections):
            self.idle.append(await self._connect())

    async def _connect(self) -> LightConnection:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: LightConnection(self._done), *self.address
        )
        return connection

    def _done(
        self, connection: LightConnection, taken_us: int, status: int
    ) -> None:
        self.latencies_us.append(taken_us)
        if status != _OK:
            self.failed += 1
        self.idle.append(connection)
        self.in_flight -= 1
        if not self.in_flight:
            self.quiet.set()

    def _send(self, connection: LightConnection) -> None:
        self.quiet.clear()
        self.in_flight += 1
        connection.send(self.data)

    async def run_closed(self, calls: int) -> None:
        """Sends one request after the other on one connection."""
        for _ in range(calls):
            self._send(self.idle.pop())
            await self.quiet.wait()

    async def run_open(self, rate: int, duration_s: float) -> None:
        """Sends requests at a rate a second for a time."""
        begun = time.monotonic()
        for index in range(int(rate * duration_s)):
            pause_s = begun + index / rate - time.monotonic()
            if pause_s > 0:
                await asyncio.sleep(pause_s)
            if not self.idle:
                self.idle.append(await self._connect())
            self._send(self.idle.popleft())
        if self.in_flight:
            await self.quiet.wait()

    def close(self) -> None:
        """Closes every connection."""
        while self.idle:
            transport = self.idle.pop().transport
            if transport is not None:
                transport.close()
