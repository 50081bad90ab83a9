"""Callers' connections: order, limits, and ends at the wrong moment."""

import asyncio
import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import pytest

from pomelobank_node.callers import (
    CallerServer,
    HttpLimits,
    HttpRequest,
    HttpResponse,
)
from pomelobank_schema import parse_address

GUARD_S = 20
LIMITS = HttpLimits(
    head_bytes=2000,
    body_bytes=200_000,
    head_timeout_ms=200,
    idle_timeout_ms=60_000,
)
FIRST = b"GET /first HTTP/1.1\r\nhost: shop\r\n\r\n"
SECOND = b"GET /second HTTP/1.1\r\nhost: shop\r\n\r\n"


class Gate:
    """Answers each path once the test lets it."""

    def __init__(self) -> None:
        self.arrived: list[bytes] = []
        self.cancelled: list[bytes] = []
        self.bodies: list[bytes] = []
        self.open: dict[bytes, asyncio.Event] = {}
        self.news = asyncio.Event()

    def gate(self, path: bytes) -> asyncio.Event:
        return self.open.setdefault(path, asyncio.Event())

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        self.arrived.append(request.target)
        self.news.set()
        try:
            await self.gate(request.target).wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            self.news.set()
            raise
        body = request.body
        if request.rest is not None:
            while part := await request.rest.read():
                body += part
        self.bodies.append(body)
        return HttpResponse(200, [(b"x-path", request.target)], request.target)

    async def until(self, paths: list[bytes], seen: list[bytes]) -> None:
        async with asyncio.timeout(GUARD_S):
            while seen != paths:
                await self.news.wait()
                self.news.clear()


@asynccontextmanager
async def served(handler: Gate) -> AsyncIterator[CallerServer]:
    server = CallerServer("127.0.0.1:0", handler, limits=LIMITS)
    await server.start()
    try:
        yield server
    finally:
        await server.stop()


async def connect(
    server: CallerServer,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = parse_address(server.address)
    return await asyncio.open_connection(host, port)


async def answer(reader: asyncio.StreamReader) -> tuple[int, bytes, bytes]:
    async with asyncio.timeout(GUARD_S):
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head.split(b" ", 2)[1])
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.partition(b":")[2])
        return status, head, await reader.readexactly(length)


async def test_pipelined_requests_run_together_and_answer_in_order() -> None:
    """A caller sends its next look-up before the first is answered.

    The second is done sooner. Answered in the order of their ends, the caller
    would take the second answer for the first.
    """
    gate = Gate()
    async with served(gate) as server:
        reader, writer = await connect(server)
        writer.write(FIRST + SECOND)
        await gate.until([b"/first", b"/second"], gate.arrived)
        gate.gate(b"/second").set()
        gate.gate(b"/first").set()
        assert (await answer(reader))[2] == b"/first"
        assert (await answer(reader))[2] == b"/second"
        writer.close()


async def test_a_caller_that_goes_cancels_what_it_asked_for() -> None:
    """A caller closes its connection while its request is under way.

    Went the request on, a target would work for nobody.
    """
    gate = Gate()
    async with served(gate) as server:
        _, writer = await connect(server)
        writer.write(FIRST)
        await gate.until([b"/first"], gate.arrived)
        writer.close()
        await gate.until([b"/first"], gate.cancelled)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(b"no http at all\r\n\r\n", 400, id="not HTTP"),
        pytest.param(
            b"GET / HTTP/1.1\r\nx: " + 3000 * b"y" + b"\r\n\r\n",
            431,
            id="head too large",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\ncontent-length: 200001\r\n\r\n",
            413,
            id="stated body too large",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\ncontent-length: 5\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
            id="two lengths",
        ),
        pytest.param(b"GET /slow HTTP/1.1\r\nhos", 408, id="head never ends"),
    ],
)
async def test_what_breaks_a_limit_gets_one_answer_and_the_end(
    data: bytes, status: int
) -> None:
    """A caller sends what the mesh does not take.

    It is told once, and nothing behind it is read as a request.
    """
    gate = Gate()
    async with served(gate) as server:
        reader, writer = await connect(server)
        writer.write(data)
        found, head, _ = await answer(reader)
        assert (found, b"connection: close" in head) == (status, True)
        async with asyncio.timeout(GUARD_S):
            assert await reader.read() == b""
        writer.close()
    assert gate.arrived == []


async def test_a_bad_request_waits_behind_the_answers_before_it() -> None:
    """A sound request is under way when the same caller sends rubbish.

    Answered at once, the refusal would be taken for the sound one's answer.
    """
    gate = Gate()
    async with served(gate) as server:
        reader, writer = await connect(server)
        writer.write(FIRST)
        await gate.until([b"/first"], gate.arrived)
        writer.write(b"rubbish\r\n\r\n")
        gate.gate(b"/first").set()
        assert (await answer(reader))[0] == 200
        assert (await answer(reader))[0] == 400
        writer.close()


@pytest.mark.parametrize(
    "size", [pytest.param(10, id="short"), pytest.param(150_000, id="long")]
)
@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunks"])
async def test_bodies_arrive_whole(size: int, chunked: bool) -> None:
    body = bytes(index % 251 for index in range(size))
    head = b"POST /first HTTP/1.1\r\nhost: shop\r\n"
    if chunked:
        data = head + b"transfer-encoding: chunked\r\n\r\n"
        for at in range(0, size, 4000):
            part = body[at : at + 4000]
            data += b"%x\r\n%s\r\n" % (len(part), part)
        data += b"0\r\n\r\n"
    else:
        data = head + b"content-length: %d\r\n\r\n" % size + body
    gate = Gate()
    gate.gate(b"/first").set()
    async with served(gate) as server:
        reader, writer = await connect(server)
        writer.write(data)
        assert (await answer(reader))[0] == 200
        writer.close()
    assert gate.bodies == [body]


async def test_a_ready_answer_leaves_before_a_stop_cuts_the_one_before_it() -> (
    None
):
    """Guards against a ready answer lost behind a request that hangs."""
    gate = Gate()
    async with served(gate) as server:
        server.stop_timeout_ms = 50
        reader, writer = await asyncio.open_connection(
            *parse_address(server.address)
        )
        writer.write(FIRST + SECOND)
        await gate.until([b"/first", b"/second"], gate.arrived)
        gate.gate(b"/second").set()
        async with asyncio.timeout(GUARD_S):
            await server.stop()
            received = await reader.read()
        writer.close()
    statuses = re.findall(rb"HTTP/1.1 (\d+) ", received)
    assert statuses == [b"504", b"200"]
    assert received.endswith(b"/second")


class ClosingGate(Gate):
    """Marks every answer as closing the connection."""

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        return attrs.evolve(await super().__call__(request), closes=True)


async def test_a_closing_answer_does_not_drop_pipelined_requests() -> None:
    """Guards against closing before later pipelined requests are answered."""
    gate = ClosingGate()
    async with served(gate) as server:
        reader, writer = await connect(server)
        writer.write(FIRST + SECOND)
        await gate.until([b"/first", b"/second"], gate.arrived)
        gate.gate(b"/second").set()
        gate.gate(b"/first").set()
        async with asyncio.timeout(GUARD_S):
            received = await reader.read()
        writer.close()
    assert re.findall(rb"x-path: (\S+)", received) == [b"/first", b"/second"]
    assert received.count(b"connection: close") == 1
    assert gate.cancelled == []


async def test_a_body_is_read_to_its_end_after_a_closing_answer() -> None:
    """Guards against a hang when the last body ends after a closing answer."""
    gate = ClosingGate()
    for path in (b"/first", b"/second"):
        gate.gate(path).set()
    async with served(gate) as server:
        reader, writer = await connect(server)
        head = b"POST /second HTTP/1.1\r\nhost: shop\r\ncontent-length: 4\r\n"
        writer.write(FIRST + head + b"\r\nab")
        async with asyncio.timeout(GUARD_S):
            await reader.readuntil(b"/first\r\n")
            writer.write(b"cd")
            received = await reader.read()
        writer.close()
    assert received.endswith(b"/second")
    assert gate.bodies == [b"", b"abcd"]


async def test_a_drain_ends_connections_after_their_answers() -> None:
    """A node is told to stop with one caller idle and one being served.

    The idle connection ends at once; the other ends after its answer, which
    says so, and no request is cut off.
    """
    gate = Gate()
    async with served(gate) as server:
        idle_reader, idle_writer = await connect(server)
        reader, writer = await connect(server)
        writer.write(FIRST)
        await gate.until([b"/first"], gate.arrived)
        server.drain()
        async with asyncio.timeout(GUARD_S):
            assert await idle_reader.read() == b""
        gate.gate(b"/first").set()
        status, head, _ = await answer(reader)
        assert (status, b"connection: close" in head) == (200, True)
        async with asyncio.timeout(GUARD_S):
            assert await reader.read() == b""
        idle_writer.close()
        writer.close()
