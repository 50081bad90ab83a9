"""Reads and writes HTTP/1.1 messages."""

import asyncio
import dataclasses

MAX_HEAD_BYTES = 64 * 1024


class BrokenMessageError(Exception):
    """A connection that ended before its message was complete."""


@dataclasses.dataclass
class Message:
    """A request or a response.

    Attributes:
        start: The parts of the first line.
        headers: Headers with lower-case names.
        body: The complete body.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads one message; returns None at the end of the connection.

    Raises:
        BrokenMessageError: If the connection ends within the message.
    """
    message = await read_head(reader)
    if message is None:
        return None
    try:
        message.body = await _read_body(reader, message)
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise BrokenMessageError(str(error)) from error
    return message


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads the head of a message; returns None at the end.

    Raises:
        BrokenMessageError: If the connection ends within the head.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise BrokenMessageError("head") from error
    except OSError as error:
        raise BrokenMessageError(str(error)) from error
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def _read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    headers = message.headers
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return await _read_chunks(reader)
    is_response = message.start[0].startswith("HTTP/")
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if is_response and message.status not in (204, 304):
        return await reader.read()
    return b""


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if not size:
            while (await reader.readline()).strip():
                pass
            return b"".join(parts)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message with a stated length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
