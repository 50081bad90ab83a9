"""Stop of the ASGI server, and the limits of what its clients may send."""

import asyncio
import contextlib
from typing import Any

import pytest

from pomelobank_node import HttpServer, _http_protocol
from pomelobank_schema import parse_address

TEST_TIMEOUT_S = 20


class MissedConnection:
    """A connection that is accepted while the stop begins.

    The connection ignores the first shutdown, as if uvicorn's single pass over
    its connections had missed it.
    """

    def __init__(self, server: HttpServer) -> None:
        assert server.server is not None
        self.connections: set[Any] = server.server.server_state.connections
        self.connections.add(self)
        self.shutdowns = 0

    def shutdown(self) -> None:
        self.shutdowns += 1
        if self.shutdowns > 1:
            self.connections.discard(self)


async def application(scope: Any, receive: Any, send: Any) -> None:
    """Does nothing; the test sends no request."""


async def test_connection_accepted_during_a_stop_does_not_delay_it() -> None:
    """Guards against a stop that waits for a connection missed by uvicorn.

    A caller connects just as its node begins to stop, and keeps the connection
    idle and open. A node that waits for this connection does not end until the
    platform kills it, together with any requests in flight.
    """
    server = HttpServer("127.0.0.1:0", application)
    await server.start()
    MissedConnection(server)
    async with asyncio.timeout(TEST_TIMEOUT_S):
        await server.stop()


async def read_body(scope: Any, receive: Any, send: Any) -> None:
    """Reads the whole body of a request and responds."""
    while (await receive()).get("more_body"):
        pass
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"ok"})


POST = b"POST / HTTP/1.1\r\nhost: n\r\n"
CHUNKED = POST + b"transfer-encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(POST + 20_000 * b"a:b\r\n", id="headers"),
        pytest.param(POST + b"a:" + 250_000 * b"b", id="one header"),
        pytest.param(
            POST + b"content-length: 9000000\r\n\r\n" + bytes(200_000),
            id="body",
        ),
        pytest.param(CHUNKED + b"0\r\n" + 20_000 * b"a:b\r\n", id="trailers"),
        pytest.param(b"", id="nothing"),
    ],
)
async def test_bounded_server_ends_requests_without_end(
    data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against clients of the admin API that fill the memory."""
    # Only a client that stays within the sizes meets the time limit.
    timeout_s = 60.0 if data else 0.2
    monkeypatch.setattr(_http_protocol, "REQUEST_TIMEOUT_S", timeout_s)
    server = HttpServer("127.0.0.1:0", read_body, max_connections=2)
    await server.start()
    reader, writer = await asyncio.open_connection(
        *parse_address(server.address)
    )
    writer.write(data)
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await reader.read()
    except ConnectionResetError:
        pass
    writer.close()
    await server.stop()


async def test_bounded_server_closes_connections_above_its_limit() -> None:
    """Guards against clients of the admin API that use up descriptors."""
    server = HttpServer("127.0.0.1:0", read_body, max_connections=2)
    await server.start()
    address = parse_address(server.address)
    kept = [await asyncio.open_connection(*address) for _ in range(2)]
    for _ in range(3):
        reader, writer = await asyncio.open_connection(*address)
        with contextlib.suppress(ConnectionResetError):
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert await reader.read() == b""
        writer.close()
    for _, writer in kept:
        writer.close()
    await server.stop()
