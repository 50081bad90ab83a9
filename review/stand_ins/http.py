"""A small HTTP/1.1 server and client."""

import asyncio
import dataclasses
import socket
from collections.abc import Awaitable, Callable

MAX_HEAD_BYTES = 64 * 1024
ABORT = 0


@dataclasses.dataclass
class Request:
    """A request that a stand-in received."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass
class Response:
    """A response; status `ABORT` closes the connection instead.

    Attributes:
        cut_at: Number of bytes after which the response breaks off; 0 if it is
            sent whole.
    """

    status: int
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    cut_at: int = 0

    def encode(self) -> bytes:
        """Returns the bytes of the response."""
        lines = [f"HTTP/1.1 {self.status} -"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        lines += [f"Content-Length: {len(self.body)}", "", ""]
        return "\r\n".join(lines).encode() + self.body


Handler = Callable[[Request], Awaitable[Response]]


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Returns the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Returns the whole body of a message."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body


class Server:
    """Serves each request of a connection after the one before it."""

    def __init__(self, address: str, handler: Handler) -> None:
        self.address = address
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts listening."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(
            self._serve, host, int(port), limit=MAX_HEAD_BYTES, backlog=512
        )

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset()

    def reset(self) -> None:
        """Resets all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = first.split(" ")
                response = await self.handler(
                    Request(method, path, headers, body)
                )
                if response.status == ABORT:
                    return
                data = response.encode()
                if response.cut_at:
                    # Nothing of the part that is sent may be lost.
                    writer.transport.set_write_buffer_limits(high=0)
                    writer.write(data[: response.cut_at])
                    await writer.drain()
                    return
                writer.write(data)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            return
        except asyncio.CancelledError:
            # The stand-in ends; asyncio would report the cancelled task.
            return
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Response:
    """Sends one request on a connection of its own.

    Returns:
        The response; status `ABORT` if there was no whole response.
    """
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1"]
    fields = {"Host": address, **(headers or {})}
    if body:
        fields["Content-Length"] = str(len(body))
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            first, received = await read_head(reader)
            data = await read_body(reader, received)
            return Response(int(first.split(" ")[1]), received, data)
    except (OSError, EOFError, ValueError, TimeoutError):
        return Response(ABORT)
    finally:
        if writer is not None:
            writer.close()


def is_free(host: str, ports: list[int]) -> bool:
    """Tells whether a loopback address is free on all of some ports."""
    for port in ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
