"""Fake of the platform's append-only log service."""

import asyncio

import attrs
import msgpack
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

_GONE_STATUS = 410
_UNAVAILABLE_STATUS = 503
_S_PER_MS = 0.001


@attrs.define(eq=False)
class Stream:
    """One stream of records.

    Attributes:
        first_offset: Offset of the oldest record that is kept.
        records: The records that are kept.
        grown: Set and replaced at every append.
    """

    first_offset: int = 0
    records: list[bytes] = attrs.field(factory=list)
    grown: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def end_offset(self) -> int:
        """Offset of the next append."""
        return self.first_offset + len(self.records)

    def append(self, record: bytes) -> int:
        """Appends a record and returns its offset."""
        offset = self.end_offset
        self.records.append(record)
        grown, self.grown = self.grown, asyncio.Event()
        grown.set()
        return offset

    def trim(self, keep: int) -> None:
        """Removes all but the newest records."""
        dropped_count = max(0, len(self.records) - keep)
        del self.records[:dropped_count]
        self.first_offset += dropped_count


@attrs.define
class LogFaults:
    """The service's injected faults.

    Attributes:
        outage: Whether every call is refused with status 503 and has no
            effect.
        delay_ms: Delay before every call is handled.
        lose_answers: Number of further appends that take effect but get a
            response with status 500.
        hang: Whether calls are never answered and have no effect.
    """

    outage: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    hang: bool = False


@attrs.define(eq=False)
class LogService:
    """Appends records, and reads from an offset with a long poll.

    Attributes:
        faults: The injected faults.
        streams: The streams, by name.
        reads: Number of reads that were answered.
        appends: Number of appends that took effect.
        bytes_read: Bytes of all responses to reads.
        closing: Set when the service stops, so that long polls end.
    """

    faults: LogFaults = attrs.field(factory=LogFaults)
    streams: dict[str, Stream] = attrs.field(factory=dict)
    reads: int = 0
    appends: int = 0
    bytes_read: int = 0
    closing: asyncio.Event = attrs.field(factory=asyncio.Event)

    def application(self) -> Starlette:
        """Returns the ASGI application."""
        path = "/v1/streams/{name}/records"
        return Starlette(
            routes=[
                Route(path, self.append, methods=["POST"]),
                Route(path, self.read, methods=["GET"]),
                Route("/control", self.control, methods=["POST"]),
                Route("/counters", self.counters),
            ]
        )

    def stream(self, name: str) -> Stream:
        """Returns the stream of a name; creates the stream if it is new."""
        return self.streams.setdefault(name, Stream())

    async def append(self, request: Request) -> Response:
        """Appends the request's body as one record."""
        record = await request.body()
        error_response = await self._apply_faults()
        if error_response is not None:
            return error_response
        self.appends += 1
        offset = self.stream(request.path_params["name"]).append(record)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return Response(status_code=500)
        return _msgpack_response({"offset": offset})

    async def read(self, request: Request) -> Response:
        """Returns the records from an offset; waits at the stream's end."""
        error_response = await self._apply_faults()
        if error_response is not None:
            return error_response
        query = request.query_params
        stream = self.stream(request.path_params["name"])
        offset, limit = int(query["from"]), int(query["limit"])
        if offset >= stream.end_offset:
            await self._wait_for_append(stream, int(query["wait_ms"]))
            if self.faults.outage:
                return Response(status_code=_UNAVAILABLE_STATUS)
        self.reads += 1
        if offset < stream.first_offset:
            return _msgpack_response(
                {"first": stream.first_offset}, _GONE_STATUS
            )
        start = offset - stream.first_offset
        response = _msgpack_response(
            {
                "first": offset,
                "records": stream.records[start : start + limit],
                "end": stream.end_offset,
            }
        )
        self.bytes_read += len(response.body)
        return response

    async def _wait_for_append(self, stream: Stream, wait_ms: int) -> None:
        waiters = [
            asyncio.create_task(event.wait())
            for event in (stream.grown, self.closing)
        ]
        await asyncio.wait(
            waiters,
            timeout=wait_ms * _S_PER_MS,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for waiter in waiters:
            waiter.cancel()

    async def _apply_faults(self) -> Response | None:
        if self.faults.hang:
            await asyncio.Event().wait()
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms * _S_PER_MS)
        if self.faults.outage:
            return Response(status_code=_UNAVAILABLE_STATUS)
        return None

    async def control(self, request: Request) -> Response:
        """Sets the faults, or trims a stream: {"trim": name, "keep": n}."""
        document = await request.json()
        if "trim" in document:
            self.stream(document["trim"]).trim(document["keep"])
        else:
            self.faults = LogFaults(**document)
        return JSONResponse({})

    async def counters(self, _: Request) -> Response:
        """Returns the numbers of reads, appends and bytes read so far."""
        return JSONResponse(
            {
                "reads": self.reads,
                "appends": self.appends,
                "bytes_read": self.bytes_read,
            }
        )


def _msgpack_response(
    document: dict[str, object], status: int = 200
) -> Response:
    return Response(msgpack.packb(document), status)
