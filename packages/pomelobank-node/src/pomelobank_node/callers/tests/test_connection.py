"""Callers' connections: response order, limits, disconnects and stops."""

import asyncio
import contextlib
import errno
import gc
import itertools
import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import pytest

from pomelobank_core import ErrorKind
from pomelobank_node._bodies import BodyBuffer
from pomelobank_node.callers import (
    CallerServer,
    Handler,
    HttpLimits,
    HttpRequest,
    HttpResponse,
)
from pomelobank_node.callers._collected_body import MAX_COLLECTED_BYTES
from pomelobank_schema import parse_address

TEST_TIMEOUT_S = 20
LIMITS = HttpLimits(
    head_bytes=2000,
    body_bytes=200_000,
    head_timeout_ms=200,
    idle_timeout_ms=60_000,
)
FIRST = b"GET /first HTTP/1.1\r\nhost: shop\r\n\r\n"
SECOND = b"GET /second HTTP/1.1\r\nhost: shop\r\n\r\n"


class HeldHandler:
    """Handler that responds to a path once the test releases the path."""

    def __init__(self) -> None:
        self.arrived: list[bytes] = []
        self.cancelled: list[bytes] = []
        self.bodies: list[bytes] = []
        self.release_events: dict[bytes, asyncio.Event] = {}
        self.changed = asyncio.Event()

    def release_event(self, path: bytes) -> asyncio.Event:
        return self.release_events.setdefault(path, asyncio.Event())

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        self.arrived.append(request.target)
        self.changed.set()
        try:
            await self.release_event(request.target).wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            self.changed.set()
            raise
        body = request.body
        if request.rest is not None:
            while chunk := await request.rest.read():
                body += chunk
        self.bodies.append(body)
        return HttpResponse(200, [(b"x-path", request.target)], request.target)

    async def wait_for(self, paths: list[bytes], recorded: list[bytes]) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while recorded != paths:
                await self.changed.wait()
                self.changed.clear()


@asynccontextmanager
async def running_server(handler: Handler) -> AsyncIterator[CallerServer]:
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


async def read_response(
    reader: asyncio.StreamReader,
) -> tuple[int, bytes, bytes]:
    async with asyncio.timeout(TEST_TIMEOUT_S):
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head.split(b" ", 2)[1])
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.partition(b":")[2])
        return status, head, await reader.readexactly(length)


async def test_pipelined_requests_run_concurrently_and_respond_in_order() -> (
    None
):
    """Guards against responses in the order of completion.

    A caller pipelines two look-ups and the second completes first. If its
    response were written first, the caller would match that response with the
    first look-up.
    """
    handler = HeldHandler()
    async with running_server(handler) as server:
        reader, writer = await connect(server)
        writer.write(FIRST + SECOND)
        await handler.wait_for([b"/first", b"/second"], handler.arrived)
        handler.release_event(b"/second").set()
        handler.release_event(b"/first").set()
        assert (await read_response(reader))[2] == b"/first"
        assert (await read_response(reader))[2] == b"/second"
        writer.close()


async def test_disconnect_of_a_caller_cancels_its_request() -> None:
    """Guards against requests that outlive their caller's connection.

    A caller disconnects while its request is in flight. If the request were
    not cancelled, a target would compute a response that no caller reads.
    """
    handler = HeldHandler()
    async with running_server(handler) as server:
        _, writer = await connect(server)
        writer.write(FIRST)
        await handler.wait_for([b"/first"], handler.arrived)
        writer.close()
        await handler.wait_for([b"/first"], handler.cancelled)


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
        pytest.param(
            b"GET / HTTP/1.1\r\n" + 129 * b"a:b\r\n" + b"c",
            431,
            id="too many headers, head never ends",
        ),
    ],
)
async def test_request_beyond_a_limit_gets_one_error_and_a_closed_connection(
    data: bytes, status: int
) -> None:
    """Guards against parsing requests after a rejected request.

    A caller sends a request that is malformed or exceeds a limit. The caller
    receives one error, the connection closes, and no handler is called.
    """
    handler = HeldHandler()
    async with running_server(handler) as server:
        reader, writer = await connect(server)
        writer.write(data)
        found, head, _ = await read_response(reader)
        assert (found, b"connection: close" in head) == (status, True)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await reader.read() == b""
        writer.close()
    assert handler.arrived == []


CHUNKED = b"POST /first HTTP/1.1\r\ntransfer-encoding: chunked\r\n"


@pytest.mark.parametrize(
    ("size", "end", "status"),
    [
        pytest.param(2, b"0\r\n" + 9 * b"a: b\r\n", 200, id="small"),
        pytest.param(2, b"0\r\n" + 130 * b"a:b\r\n", 431, id="too many"),
        pytest.param(2, b"0\r\na:" + 2100 * b"b\r\na:", 431, id="too large"),
        pytest.param(2, b"0\r\n" + 9000 * b"a", 431, id="one without end"),
        pytest.param(2, b"2;" + 9000 * b"e", 431, id="chunk size without end"),
        pytest.param(2, b"0\r\na:b\r\nc", 408, id="late"),
    ],
)
async def test_trailers_have_the_limits_of_a_head(
    size: int, end: bytes, status: int
) -> None:
    """Guards against trailers and chunk framing without a limit."""
    handler = HeldHandler()
    handler.release_event(b"/first").set()
    headers = b"x: " + 1950 * b"y" + b"\r\n\r\n"
    body = b"%x\r\n%b\r\n" % (size, size * b"b")
    async with running_server(handler) as server:
        reader, writer = await connect(server)
        await send_in_pieces(
            writer,
            CHUNKED + headers + body + end + b"\r\n" * (status == 200),
            [len(CHUNKED) + len(headers) + len(body)],
        )
        assert (await read_response(reader))[0] == status
        writer.close()


async def send_in_pieces(
    writer: asyncio.StreamWriter, data: bytes, cuts: list[int]
) -> None:
    """Sends data so that the server reads each piece on its own."""
    for start, end in itertools.pairwise([0, *cuts, len(data)]):
        writer.write(data[start:end])
        await writer.drain()
        await asyncio.sleep(0.02)


async def test_head_is_not_charged_for_the_body_before_it() -> None:
    """Guards against a refusal of a small head behind a long body."""
    handler = HeldHandler()
    for path in (b"/first", b"/second"):
        handler.release_event(path).set()
    head = b"POST /first HTTP/1.1\r\ncontent-length: 30000\r\n\r\n"
    data = head + b"b" * 30000 + SECOND
    async with running_server(handler) as server:
        reader, writer = await connect(server)
        await send_in_pieces(writer, data, [20, len(data) - 10])
        assert (await read_response(reader))[0] == 200
        assert (await read_response(reader))[0] == 200
        writer.close()


@pytest.mark.parametrize(
    ("size", "status"),
    [
        pytest.param(LIMITS.head_bytes, 200, id="at the limit"),
        pytest.param(LIMITS.head_bytes + 1, 431, id="above the limit"),
    ],
)
@pytest.mark.parametrize("piece_size", [200, 500, 5000])
async def test_head_limit_does_not_depend_on_how_the_head_arrives(
    size: int, status: int, piece_size: int
) -> None:
    """Guards against a limit that counts reads instead of the head."""
    handler = HeldHandler()
    handler.release_event(b"/first").set()
    # The limit covers the target and, for each header, four bytes of framing.
    value_size = size - len(b"/first") - len(b"x: \r\n")
    data = b"GET /first HTTP/1.1\r\nx: " + value_size * b"y" + b"\r\n\r\n"
    async with running_server(handler) as server:
        reader, writer = await connect(server)
        for at in range(0, len(data), piece_size):
            writer.write(data[at : at + piece_size])
            await asyncio.sleep(0)
        assert (await read_response(reader))[0] == status
        writer.close()


async def test_rejection_reaches_a_caller_that_goes_on_sending() -> None:
    """Guards against a reset that discards the response."""
    async with running_server(HeldHandler()) as server:
        reader, writer = await connect(server)
        writer.write(b"GET / HTTP/1.1\r\n" + 20_000 * b"a:b\r\n")
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not all(  # noqa: ASYNC110
                item.write_closed_s for item in server.connections
            ):
                await asyncio.sleep(0.01)
        writer.write(20_000 * b"a:b\r\n")
        assert (await read_response(reader))[0] == 431
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await reader.read() == b""
        writer.close()


async def test_rejected_caller_cannot_stay_connected() -> None:
    """Guards against connections that are read on for without a bound."""
    async with running_server(HeldHandler()) as server:
        _, writer = await connect(server)
        writer.write(b"rubbish\r\n\r\n")
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not server.connections:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            while server.connections:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        writer.close()


FAR_FUTURE_S = 1e6


async def test_empty_lines_do_not_keep_a_connection_open() -> None:
    """Guards against a connection that never sends a request."""
    async with running_server(HeldHandler()) as server:
        reader, writer = await connect(server)
        connected_s = asyncio.get_running_loop().time()
        await send_in_pieces(writer, b"\r\n" * 20, [10, 20, 30])
        (connection,) = server.connections
        connection.check_timeouts(connected_s + LIMITS.idle_timeout_ms / 1000)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await reader.read() == b""
        writer.close()


async def test_empty_lines_without_end_are_rejected() -> None:
    """Guards against a client that sends empty lines for ever."""
    async with running_server(HeldHandler()) as server:
        reader, writer = await connect(server)
        writer.write(b"\r\n" * LIMITS.head_bytes)
        assert (await read_response(reader))[0] == 431
        writer.close()


async def test_pause_of_reading_is_no_silence_of_the_caller() -> None:
    """Guards against a time-out of a body that the node does not read."""
    handler = HeldHandler()
    async with running_server(handler) as server:
        server.limits = attrs.evolve(LIMITS, body_bytes=4_000_000)
        reader, writer = await connect(server)
        size = 3_000_000
        head = b"POST /first HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % size
        writer.write(head + size * b"b")
        (connection,) = server.connections
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not connection.paused:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        connection.check_timeouts(FAR_FUTURE_S)
        handler.release_event(b"/first").set()
        assert (await read_response(reader))[0] == 200
        writer.close()


async def test_response_that_is_not_read_does_not_keep_its_connection() -> None:
    """Guards against a client that reads no response and stays for ever."""
    handler = BreakingHandler()
    handler.release_event(b"/first").set()
    async with running_server(handler) as server:
        _, writer = await connect(server)
        writer.write(FIRST)
        handler.rest.put(b"x" * 30_000_000)
        (connection,) = server.connections
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while connection.writable.is_set():  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            while server.connections:
                connection.check_timeouts(FAR_FUTURE_S)
                connection.last_activity_s = 0
                await asyncio.sleep(0.01)
        writer.close()


async def test_error_for_a_bad_request_follows_earlier_responses() -> None:
    """Guards against an error that overtakes an earlier response.

    A caller sends malformed bytes while its valid request is in flight. If the
    error were written at once, the caller would take the error for the
    response to the valid request.
    """
    handler = HeldHandler()
    async with running_server(handler) as server:
        reader, writer = await connect(server)
        writer.write(FIRST)
        await handler.wait_for([b"/first"], handler.arrived)
        writer.write(b"rubbish\r\n\r\n")
        handler.release_event(b"/first").set()
        assert (await read_response(reader))[0] == 200
        assert (await read_response(reader))[0] == 400
        writer.close()


@pytest.mark.parametrize(
    "size", [pytest.param(10, id="short"), pytest.param(150_000, id="long")]
)
@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunks"])
async def test_bodies_reach_the_handler_complete(
    size: int, chunked: bool
) -> None:
    body = bytes(index % 251 for index in range(size))
    head = b"POST /first HTTP/1.1\r\nhost: shop\r\n"
    if chunked:
        data = head + b"transfer-encoding: chunked\r\n\r\n"
        for at in range(0, size, 4000):
            chunk = body[at : at + 4000]
            data += b"%x\r\n%s\r\n" % (len(chunk), chunk)
        data += b"0\r\n\r\n"
    else:
        data = head + b"content-length: %d\r\n\r\n" % size + body
    handler = HeldHandler()
    handler.release_event(b"/first").set()
    async with running_server(handler) as server:
        reader, writer = await connect(server)
        writer.write(data)
        assert (await read_response(reader))[0] == 200
        writer.close()
    assert handler.bodies == [body]


async def test_stop_writes_a_ready_response_behind_a_hanging_request() -> None:
    """Guards against losing a ready response at a stop.

    The response waits for an earlier request of its connection, and the stop
    ends that request after its time-out.
    """
    handler = HeldHandler()
    async with running_server(handler) as server:
        server.stop_timeout_ms = 50
        reader, writer = await asyncio.open_connection(
            *parse_address(server.address)
        )
        writer.write(FIRST + SECOND)
        await handler.wait_for([b"/first", b"/second"], handler.arrived)
        handler.release_event(b"/second").set()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await server.stop()
            received = await reader.read()
        writer.close()
    statuses = re.findall(rb"HTTP/1.1 (\d+) ", received)
    assert statuses == [b"504", b"200"]
    assert received.endswith(b"/second")


class ClosingHandler(HeldHandler):
    """Marks every response as closing the connection."""

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        return attrs.evolve(await super().__call__(request), closes=True)


async def test_closing_response_does_not_drop_pipelined_requests() -> None:
    """Guards against dropping pipelined requests.

    The response to the first of two requests requires the connection to close.
    The connection must stay open until the second response is written.
    """
    handler = ClosingHandler()
    async with running_server(handler) as server:
        reader, writer = await connect(server)
        writer.write(FIRST + SECOND)
        await handler.wait_for([b"/first", b"/second"], handler.arrived)
        handler.release_event(b"/second").set()
        handler.release_event(b"/first").set()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            received = await reader.read()
        writer.close()
    assert re.findall(rb"x-path: (\S+)", received) == [b"/first", b"/second"]
    assert received.count(b"connection: close") == 1
    assert handler.cancelled == []


async def test_request_behind_a_closing_response_gets_no_error() -> None:
    """Guards against a final error for a request that is not read."""
    handler = ClosingHandler()
    async with running_server(handler) as server:
        reader, writer = await connect(server)
        writer.write(FIRST + SECOND)
        await handler.wait_for([b"/first", b"/second"], handler.arrived)
        handler.release_event(b"/first").set()
        assert (await read_response(reader))[2] == b"/first"
        head = b"POST /third HTTP/1.1\r\ncontent-length: 30000\r\n\r\n"
        await send_in_pieces(writer, head + b"b" * 30_000, [len(head)])
        handler.release_event(b"/second").set()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            received = await reader.read()
        writer.close()
    assert re.findall(rb"HTTP/1.1 (\d+) ", received) == [b"200"]
    assert b"connection: close" in received


class BreakingHandler(HeldHandler):
    """Streams the first response, whose body breaks off once it is released.

    Attributes:
        rest: The rest of that body.
    """

    def __init__(self) -> None:
        super().__init__()
        self.rest = BodyBuffer(lambda _: None, lambda: None)

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        response = await super().__call__(request)
        if request.target != b"/first":
            return response
        return attrs.evolve(
            response,
            headers=[*response.headers, (b"content-length", b"100000")],
            rest=self.rest,
        )


@pytest.mark.parametrize(
    ("kind", "status"),
    [
        pytest.param(ErrorKind.UPSTREAM_LOST, 502, id="target lost"),
        pytest.param(ErrorKind.DEADLINE_UNKNOWN, 504, id="deadline"),
        pytest.param(ErrorKind.DRAINING, 502, id="an error that says not run"),
    ],
)
async def test_requests_behind_a_response_that_breaks_off_are_answered(
    kind: ErrorKind, status: int
) -> None:
    """Guards against the loss of running requests with a broken response."""
    handler = BreakingHandler()
    async with running_server(handler) as server:
        reader, writer = await connect(server)
        writer.write(FIRST + SECOND)
        await handler.wait_for([b"/first", b"/second"], handler.arrived)
        handler.release_event(b"/second").set()
        handler.release_event(b"/first").set()
        handler.rest.put(b"part")
        handler.rest.fail(kind)
        assert (await read_response(reader))[0] == status
        assert (await read_response(reader))[2] == b"/second"
        writer.close()


async def test_request_behind_a_response_being_written_is_held() -> None:
    """Guards against the loss of a running request with a broken response."""
    handler = BreakingHandler()
    handler.release_event(b"/first").set()
    async with running_server(handler) as server:
        reader, writer = await connect(server)
        writer.write(FIRST)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await reader.readuntil(b"/first")
        writer.write(SECOND)
        for connection in server.connections:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while len(connection.exchanges) < 2:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
        assert handler.arrived == [b"/first"]
        handler.rest.put(b"x" * 10)
        handler.rest.end()
        await handler.wait_for([b"/first", b"/second"], handler.arrived)
        writer.close()


async def test_long_body_is_streamed_behind_a_limit_of_memory() -> None:
    """Guards against a body that fills the memory before it is written."""
    handler = BreakingHandler()
    async with running_server(handler) as server:
        reader, writer = await connect(server)
        writer.write(FIRST + SECOND)
        await handler.wait_for([b"/first", b"/second"], handler.arrived)
        handler.release_event(b"/first").set()
        handler.rest.put(b"x" * (MAX_COLLECTED_BYTES + 1))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(MAX_COLLECTED_BYTES)
        writer.close()


async def test_body_is_read_completely_after_a_closing_response() -> None:
    """Guards against a hang when a body ends after a closing response.

    The first response requires the connection to close while the body of the
    second request is still being received.
    """
    handler = ClosingHandler()
    for path in (b"/first", b"/second"):
        handler.release_event(path).set()
    async with running_server(handler) as server:
        reader, writer = await connect(server)
        head = b"POST /second HTTP/1.1\r\nhost: shop\r\ncontent-length: 4\r\n"
        writer.write(FIRST + head + b"\r\nab")
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await reader.readuntil(b"/first\r\n")
            writer.write(b"cd")
            received = await reader.read()
        writer.close()
    assert received.endswith(b"/second")
    assert handler.bodies == [b"", b"abcd"]


async def test_drain_closes_connections_after_their_responses() -> None:
    """Guards against a drain that breaks off requests in flight.

    The server drains with one idle connection and one request in flight. The
    idle connection closes at once; the other connection closes after its
    response, which has the header `connection: close`.
    """
    handler = HeldHandler()
    async with running_server(handler) as server:
        idle_reader, idle_writer = await connect(server)
        reader, writer = await connect(server)
        writer.write(FIRST)
        await handler.wait_for([b"/first"], handler.arrived)
        server.drain()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await idle_reader.read() == b""
        handler.release_event(b"/first").set()
        status, head, _ = await read_response(reader)
        assert (status, b"connection: close" in head) == (200, True)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await reader.read() == b""
        idle_writer.close()
        writer.close()


async def test_stop_does_not_wait_for_a_caller_that_sends_no_request() -> None:
    """Guards against an incomplete request that uses up the time of a stop."""
    async with running_server(HeldHandler()) as server:
        _, writer = await connect(server)
        writer.write(b"GET /first HTTP/1.1\r\nhost:")
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not any(item.head_since_s for item in server.connections):  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            server.stop_timeout_ms = 0
            server.final_write_timeout_ms = 10 * TEST_TIMEOUT_S * 1000
            await server.stop()
        writer.close()


async def test_trailers_do_not_belong_to_the_head() -> None:
    """Guards against a request that a trailer of its body authenticates."""
    requests: list[HttpRequest] = []

    async def handler(request: HttpRequest) -> HttpResponse:
        requests.append(request)
        return HttpResponse(200)

    async with running_server(handler) as server:
        reader, writer = await connect(server)
        writer.write(
            b"POST / HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked"
            b"\r\n\r\n1\r\na\r\n0\r\nAuthorization: Bearer k\r\n\r\n"
        )
        await read_response(reader)
        writer.close()
    (request,) = requests
    names = [name for name, _ in request.head_headers]
    assert names == [b"host", b"transfer-encoding"]


async def test_half_close_of_a_reset_connection_ends_it() -> None:
    """Guards against a connection that stays after its caller has reset it.

    The reset arrives between the response to a request whose body is not read
    to its end and the close of the sending side.
    """
    errors: list[object] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: errors.append(context))

    def fail() -> None:
        raise OSError(errno.ENOTCONN, "Transport endpoint is not connected")

    async def respond_at_once(_: HttpRequest) -> HttpResponse:
        (connection,) = server.connections
        connection.transport.write_eof = fail  # type: ignore[method-assign, union-attr]
        return HttpResponse(200)

    async with running_server(respond_at_once) as server:
        reader, writer = await connect(server)
        head = b"POST /first HTTP/1.1\r\nhost: shop\r\ncontent-length: 190000"
        writer.write(head + b"\r\n\r\n" + bytes(100_000))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            with contextlib.suppress(OSError):
                while await reader.read(65536):
                    pass
        assert not server.connections
    gc.collect()
    loop.set_exception_handler(None)
    assert errors == []
