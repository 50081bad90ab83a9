"""Targets that send bytes without end in place of a response."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from pomelobank_core import ErrorKind
from pomelobank_node._bodies import CHUNK_BYTES
from pomelobank_node._requests import RequestError
from pomelobank_node._upstream_client import (
    ExpectedId,
    UpstreamPool,
    encode_request,
)

TEST_TIMEOUT_S = 30
# A target stops by itself after this many bytes.
MAX_SENT_BYTES = 32 * 1024 * 1024
MAX_BODY_BYTES = 1_000_000
# Bytes that may be sent before the connection is closed: the largest body, and
# what fits into the buffers of the sockets.
MAX_ACCEPTED_BYTES = MAX_BODY_BYTES + 8 * 1024 * 1024
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n%b\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)


class EndlessTarget:
    """Responds to a request with a beginning and an endless repetition.

    Attributes:
        sent_bytes: Bytes sent until the node closed the connection.
    """

    def __init__(self, beginning: bytes, repeated: bytes) -> None:
        self.beginning = beginning
        self.block = repeated * (1 + CHUNK_BYTES // len(repeated))
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.beginning)
        try:
            while self.sent_bytes < MAX_SENT_BYTES:
                writer.write(self.block)
                await writer.drain()
                self.sent_bytes += len(self.block)
        except OSError:
            pass
        self.closed.set()
        writer.close()


async def receive(pool: UpstreamPool, expected_id: ExpectedId | None) -> None:
    loop = asyncio.get_running_loop()
    data = encode_request("GET", b"/", [(b"host", b"shop")], b"")
    response = await pool.request(
        data, loop.time() + TEST_TIMEOUT_S, expected_id=expected_id
    )
    if response.rest is not None:
        while await response.rest.read():
            pass


async def run_with_target(
    target: EndlessTarget, work: Callable[[UpstreamPool], Awaitable[None]]
) -> None:
    server = await asyncio.start_server(target.handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pool = UpstreamPool(
        "127.0.0.1", port, MAX_BODY_BYTES, allows_close_delimited=True
    )
    async with server:
        await work(pool)
        await target.closed.wait()
    pool.close()


@pytest.mark.parametrize(
    ("beginning", "repeated", "kind"),
    [
        pytest.param(b"", b"x", ErrorKind.ANSWER_TRUNCATED, id="no-http"),
        pytest.param(
            b"", b"\r\n", ErrorKind.ANSWER_TRUNCATED, id="blank-lines"
        ),
        pytest.param(
            b"HTTP/1.1 200 ", b"x", ErrorKind.ANSWER_TRUNCATED, id="status-line"
        ),
        pytest.param(
            OK + b"name: ", b"x", ErrorKind.ANSWER_TRUNCATED, id="header"
        ),
        pytest.param(OK, b"a: b\r\n", ErrorKind.ANSWER_TRUNCATED, id="headers"),
        pytest.param(
            b"",
            b"HTTP/1.1 100 Continue\r\n\r\n",
            ErrorKind.ANSWER_TRUNCATED,
            id="interim-responses",
        ),
        pytest.param(
            b"",
            OK + b"x-request-id: other\r\ncontent-length: 0\r\n\r\n",
            ErrorKind.ANSWER_TRUNCATED,
            id="other-responses",
        ),
        pytest.param(
            OK + b"x-request-id: other\r\n" + CHUNKED,
            CHUNK,
            ErrorKind.ANSWER_TOO_LARGE,
            id="body-of-another-response",
        ),
        pytest.param(
            OK + CHUNKED, CHUNK, ErrorKind.ANSWER_TOO_LARGE, id="chunks"
        ),
        pytest.param(
            OK + CHUNKED + b"1;",
            b"x",
            ErrorKind.ANSWER_TRUNCATED,
            id="chunk-extension",
        ),
        pytest.param(
            OK + CHUNKED + b"0\r\n",
            b"a: b\r\n",
            ErrorKind.ANSWER_TRUNCATED,
            id="trailers",
        ),
        pytest.param(
            OK + b"\r\n", b"x", ErrorKind.ANSWER_TOO_LARGE, id="close-delimited"
        ),
    ],
)
async def test_bytes_without_end_are_not_read_until_the_deadline(
    beginning: bytes, repeated: bytes, kind: ErrorKind
) -> None:
    """A node that reads on spends its memory and processor on no response."""
    target = EndlessTarget(beginning, repeated)
    expected_id = ExpectedId(b"x-request-id", b"r-1")

    async def call(pool: UpstreamPool) -> None:
        with pytest.raises(RequestError) as caught:
            await receive(pool, expected_id)
        assert caught.value.kind is kind

    async with asyncio.timeout(TEST_TIMEOUT_S):
        await run_with_target(target, call)
    assert target.sent_bytes < MAX_ACCEPTED_BYTES
