"""A target that closes, breaks off or says too much."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from pomelobank_core import ErrorKind
from pomelobank_node._bodies import INLINE_BYTES
from pomelobank_node._requests import RequestError
from pomelobank_node._upstream_client import UpstreamPool, encode_request

Handler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]
MAX_BODY = 1024 * 1024
GET = encode_request("GET", b"/stock", [], b"")
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class RawTarget:
    """A target that sends just the bytes that the test gives it."""

    def __init__(self) -> None:
        self.answers: list[bytes] = []
        self.close_after = False
        self.accepted = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        self.writers.append(writer)
        while self.answers and await reader.readuntil(b"\r\n\r\n"):
            writer.write(self.answers.pop(0))
            if self.close_after:
                writer.close()
                return


@pytest.fixture
async def target() -> RawTarget:
    return RawTarget()


@pytest.fixture
async def pool(target: RawTarget) -> AsyncIterator[UpstreamPool]:
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    made = UpstreamPool(host, port, MAX_BODY)
    yield made
    made.close()
    server.close()


async def failure(pool: UpstreamPool, data: bytes = GET) -> ErrorKind:
    with pytest.raises(RequestError) as caught:
        await pool.request(data)
    return caught.value.kind


async def test_connection_is_used_again(
    pool: UpstreamPool, target: RawTarget
) -> None:
    target.answers = [OK, OK]
    assert (await pool.request(GET)).body == b"ok"
    assert (await pool.request(GET)).body == b"ok"
    assert target.accepted == 1


async def test_connection_that_the_target_closed_is_not_used(
    pool: UpstreamPool, target: RawTarget
) -> None:
    """A target closes an idle connection just before it is used again.

    The event loop has not seen it yet. A request sent there would end as
    unknown although no target ever read it, and a reorder would be lost.
    """
    target.answers = [OK, OK]
    await pool.request(GET)
    (connection,) = pool.idle
    assert connection.transport is not None
    connection.transport.pause_reading()
    target.writers[0].close()
    await target.writers[0].wait_closed()
    assert connection.open
    assert (await pool.request(GET)).body == b"ok"
    assert (target.accepted, pool.stale_connections) == (2, 1)


@pytest.mark.parametrize(
    ("answer", "kind"),
    [
        pytest.param(b"", ErrorKind.UPSTREAM_LOST, id="no answer"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
            ErrorKind.ANSWER_TRUNCATED,
            id="shorter than its length",
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
            b"4\r\nhalf\r\n",
            ErrorKind.ANSWER_TRUNCATED,
            id="last chunk missing",
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\n\r\nends with the connection",
            ErrorKind.ANSWER_TRUNCATED,
            id="no length at all",
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\ncontent-length: 9999999\r\n\r\n",
            ErrorKind.ANSWER_TOO_LARGE,
            id="too long",
        ),
        pytest.param(
            b"what is this\r\n\r\n", ErrorKind.ANSWER_TRUNCATED, id="not HTTP"
        ),
    ],
)
async def test_answer_that_is_not_whole(
    pool: UpstreamPool, target: RawTarget, answer: bytes, kind: ErrorKind
) -> None:
    """A target crashes while it answers.

    Half a stock list that looks whole would be worse than none.
    """
    target.answers = [answer]
    target.close_after = True
    assert await failure(pool) is kind
    assert not pool.idle


async def test_unreachable_target() -> None:
    server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    server.close()
    await server.wait_closed()
    pool = UpstreamPool(host, port, MAX_BODY)
    assert await failure(pool) is ErrorKind.UPSTREAM_UNREACHABLE


async def test_bytes_after_an_answer_reach_nobody(
    pool: UpstreamPool, target: RawTarget
) -> None:
    """A target sends one answer too many.

    Kept in the connection, it would be given to the next caller.
    """
    target.answers = [OK + OK.replace(b"ok", b"no"), OK]
    assert (await pool.request(GET)).body == b"ok"
    assert (await pool.request(GET)).body == b"ok"
    assert target.accepted == 2


async def test_head_has_a_length_and_no_body(
    pool: UpstreamPool, target: RawTarget
) -> None:
    target.answers = [b"HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n"]
    answer = await pool.request(encode_request("HEAD", b"/", [], b""))
    assert (answer.status, answer.body) == (200, b"")


async def test_long_answer_comes_in_parts(
    pool: UpstreamPool, target: RawTarget
) -> None:
    body = bytes(range(256)) * 2048
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
    target.answers = [head + body, OK]
    answer = await pool.request(GET)
    assert answer.rest is not None
    assert INLINE_BYTES < len(answer.body) < len(body)
    received = answer.body
    while part := await answer.rest.read():
        received += part
    assert received == body
    assert (await pool.request(GET)).body == b"ok"
    assert target.accepted == 1


async def test_deadline_in_the_middle_of_an_answer(
    pool: UpstreamPool, target: RawTarget
) -> None:
    """A target stalls while it sends an archive."""
    head = b"HTTP/1.1 200 OK\r\ncontent-length: 900000\r\n\r\n"
    target.answers = [head + bytes(2 * INLINE_BYTES)]
    deadline_s = asyncio.get_running_loop().time() + 0.2
    answer = await pool.request(GET, deadline_s)
    assert answer.rest is not None
    with pytest.raises(RequestError) as caught:
        while True:
            await answer.rest.read()
    assert caught.value.kind is ErrorKind.DEADLINE_UNKNOWN


async def test_deadline_that_passed_before_sending(
    pool: UpstreamPool, target: RawTarget
) -> None:
    """The node was paused between taking a request and sending it on."""
    deadline_s = asyncio.get_running_loop().time() - 1
    with pytest.raises(RequestError) as caught:
        await pool.request(GET, deadline_s)
    assert caught.value.kind is ErrorKind.DEADLINE_NOT_RUN
