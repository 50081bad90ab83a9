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
    """A response; status `ABORT` resets the connection instead."""

    status: int
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""

    def encode(self) -> bytes:
        """Returns the bytes of the response."""
        lines = [f"HTTP/1.1 {self.status} -"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        lines += [f"Content-Length: {len(self.body)}", "", ""]
        return "\r\n".join(lines).encode() + self.body


Handler = Callable[[Request], Awaitable[Response]]


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
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
                first, headers = await _read_head(reader)
                body = await _read_body(reader, headers)
                method, path, _ = first.split(" ")
                response = await self.handler(
                    Request(method, path, headers, body)
                )
                if response.status == ABORT:
                    return
                writer.write(response.encode())
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
            first, received = await _read_head(reader)
            data = await _read_body(reader, received)
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
