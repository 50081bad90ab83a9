"""A target: runs requests in slots, answers with its stamp, may crash."""

import asyncio
import dataclasses
import itertools
import json
import random
import socket
from collections.abc import Callable

from stand_ins_2.wire import (
    BrokenMessageError,
    Message,
    encode,
    read_head,
    read_message,
)

# Part of a long answer that is written at once.
_PART_BYTES = 64 * 1024

_starts = itertools.count(1)


@dataclasses.dataclass
class Run:
    """A request that has arrived at a target.

    Attributes:
        request_id: The request's id.
        path: Raw path.
        caller: Service that the request came from.
        arrived_s: When the target read it.
        ran: Whether the target began to work on it.
        ended: `answered`, `refused`, `dropped` or `crashed`.
    """

    request_id: str
    path: str
    caller: str
    arrived_s: float
    ran: bool = False
    ended: str = ""


class Target:
    """An application instance beside a node."""

    def __init__(
        self,
        service: str,
        zone: str,
        slots: int,
        work_s: Callable[[str], float],
    ) -> None:
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.instance = ""
        self.sequence = 0
        self.port = 0
        self.server: asyncio.Server | None = None
        self.connections: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.slot = asyncio.Semaphore(slots)
        self.runs: list[Run] = []
        self.crashes_on: Callable[[Run], bool] = lambda _: False
        self.crashed_s: list[float] = []
        self.background: set[asyncio.Task[None]] = set()
        # Longer answers are produced at a rate, as an export is.
        self.long_answer: Callable[[str], int] = lambda _: 0
        self.bytes_per_s = 0.0

    @property
    def address(self) -> str:
        """The target's address."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Begins a new incarnation at the same address."""
        self.instance = f"i-{next(_starts):04x}{random.getrandbits(24):06x}"
        self.sequence = 0
        self.slot = asyncio.Semaphore(self.slots)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", self.port))
        self.port = sock.getsockname()[1]
        self.server = await asyncio.start_server(self._serve, sock=sock)

    def crash(self, down_s: float) -> None:
        """Ends at once and starts again after a while."""
        self.crashed_s.append(asyncio.get_running_loop().time())
        assert self.server is not None
        self.server.close()
        self.server = None
        for writer in list(self.connections):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        back = asyncio.create_task(self._return(down_s))
        self.background.add(back)
        back.add_done_callback(self.background.discard)

    async def _return(self, down_s: float) -> None:
        await asyncio.sleep(down_s)
        await self.start()

    def heartbeat(self, state: str = "ready") -> tuple[str, bytes]:
        """Returns the path and the body of the next heartbeat."""
        self.sequence += 1
        fields = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "WarmupLeftMs": 0,
            "Sequence": self.sequence,
        }
        path = f"/api/rpc?call=instances.heartbeat&of={self.instance}"
        return path, json.dumps(fields).encode()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while (request := await self._next(reader)) is not None:
                await self._handle(request, reader, writer)
        except (BrokenMessageError, OSError, asyncio.CancelledError):
            return
        finally:
            self.tasks.discard(task)
            self.connections.discard(writer)
            writer.close()

    async def _next(self, reader: asyncio.StreamReader) -> Message | None:
        return await read_message(reader)

    async def _handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        headers = request.headers
        expected = headers.get("x-expect-instance", "")
        if expected not in ("", self.instance):
            answer = {"X-Instance-Id": self.instance}
            writer.write(encode("HTTP/1.1 421 Misdirected Request", answer))
            return
        run = Run(
            headers.get("x-request-id", ""),
            request.start[1],
            headers.get("x-caller-service", ""),
            asyncio.get_running_loop().time(),
        )
        self.runs.append(run)
        work = asyncio.create_task(self._work(run, request))
        closed = asyncio.create_task(_wait_closed(reader))
        try:
            # A target drops a request when its connection closes.
            await asyncio.wait(
                {work, closed}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                run.ended = run.ended or "dropped"
                raise BrokenMessageError("closed")
            body = work.result()
        finally:
            work.cancel()
            closed.cancel()
        if not body:
            return
        answer = {
            "X-Request-Id": run.request_id,
            "X-Response-Stamp": f"{self.instance}.{run.request_id}",
        }
        body = body.ljust(self.long_answer(run.path), b".")
        data = encode("HTTP/1.1 200 OK", answer, body)
        await self._write(writer, data)
        run.ended = "answered"

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        while len(data) > _PART_BYTES:
            writer.write(data[:_PART_BYTES])
            await writer.drain()
            data = data[_PART_BYTES:]
            await asyncio.sleep(_PART_BYTES / self.bytes_per_s)
        writer.write(data)
        await writer.drain()

    async def _work(self, run: Run, request: Message) -> bytes:
        deadline_ms = int(request.headers.get("x-deadline-ms", "60000"))
        async with self.slot:
            run.ran = True
            if self.crashes_on(run):
                run.ended = "crashed"
                self.crash(down_s=2.0)
                return b""
            work_s = self.work_s(run.path)
            await asyncio.sleep(min(work_s, deadline_ms / 1000))
        return f"{self.service} {run.path} {run.request_id}".encode()


async def _wait_closed(reader: asyncio.StreamReader) -> None:
    # Nothing else reads from the connection meanwhile: nodes send one request
    # at a time. The reader has no event for its end.
    while not reader.at_eof() and reader.exception() is None:  # noqa: ASYNC110
        await asyncio.sleep(0.005)


__all__ = ["Run", "Target", "read_head"]
