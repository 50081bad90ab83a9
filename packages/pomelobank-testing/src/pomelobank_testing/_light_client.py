"""A client with minimal processing cost, for latency measurements."""

import asyncio
import collections
import time
from collections.abc import Callable

import attrs
import httptools

_NS_PER_US = 1000
_OK = 200


class LightConnection(asyncio.Protocol):
    """One keep-alive connection with one request at a time.

    Attributes:
        transport: The transport, once connected.
        sent_ns: Time at which the last request was sent.
        done: Called with the connection, the latency in microseconds and the
            status of each response.
    """

    def __init__(self, done: Callable[["LightConnection", int, int], None]):
        self.done = done
        self.sent_ns = 0
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Reports a complete response."""
        latency_us = (time.perf_counter_ns() - self.sent_ns) // _NS_PER_US
        status = self.parser.get_status_code()
        self.parser = httptools.HttpResponseParser(self)
        self.done(self, latency_us, status)

    def send(self, data: bytes) -> None:
        """Sends one request."""
        assert self.transport is not None
        self.sent_ns = time.perf_counter_ns()
        self.transport.write(data)


@attrs.define(eq=False)
class LightClient:
    """Sends the same request to one address at a steady rate.

    The client sends each request at its scheduled time, even while earlier
    requests are unanswered. A client that waited for responses would send
    fewer requests during a stall and so hide the stall from the results.

    Attributes:
        address: Host and port.
        data: Bytes of the request.
        latencies_us: Latency of each answered request.
        failed: Number of responses with a status other than 200.
        idle: Connections without a request in flight.
        in_flight: Number of requests in flight.
        all_answered: Set when the last request in flight is answered.
    """

    address: tuple[str, int]
    data: bytes
    latencies_us: list[int] = attrs.field(factory=list)
    failed: int = 0
    idle: collections.deque[LightConnection] = attrs.field(
        factory=collections.deque
    )
    in_flight: int = 0
    all_answered: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def open(self, connections: int) -> None:
        """Opens connections in advance, so no latency includes their set-up."""
        for _ in range(connections):
            self.idle.append(await self._connect())

    async def _connect(self) -> LightConnection:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: LightConnection(self._on_response), *self.address
        )
        return connection

    def _on_response(
        self, connection: LightConnection, latency_us: int, status: int
    ) -> None:
        self.latencies_us.append(latency_us)
        if status != _OK:
            self.failed += 1
        self.idle.append(connection)
        self.in_flight -= 1
        if not self.in_flight:
            self.all_answered.set()

    def _send(self, connection: LightConnection) -> None:
        self.all_answered.clear()
        self.in_flight += 1
        connection.send(self.data)

    async def run_closed(self, calls: int) -> None:
        """Sends requests, each after the response to the one before."""
        for _ in range(calls):
            self._send(self.idle.pop())
            await self.all_answered.wait()

    async def run_open(self, rate: int, duration_s: float) -> None:
        """Sends requests at a rate per second for a time."""
        start_s = time.monotonic()
        for index in range(int(rate * duration_s)):
            pause_s = start_s + index / rate - time.monotonic()
            if pause_s > 0:
                await asyncio.sleep(pause_s)
            if not self.idle:
                self.idle.append(await self._connect())
            self._send(self.idle.popleft())
        if self.in_flight:
            await self.all_answered.wait()

    def close(self) -> None:
        """Closes every connection."""
        while self.idle:
            transport = self.idle.pop().transport
            if transport is not None:
                transport.close()
