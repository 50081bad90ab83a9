"""Stand-in of the platform's append-only log service."""

import asyncio

import attrs
import msgpack
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

_GONE = 410
_UNAVAILABLE = 503
_S_PER_MS = 0.001


@attrs.define(eq=False)
class Stream:
    """One stream of records.

    Attributes:
        first_offset: Offset of the oldest record that is kept.
        records: The records that are kept.
        grown: Replaced and set at every append.
    """

    first_offset: int = 0
    records: list[bytes] = attrs.field(factory=list)
    grown: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def end_offset(self) -> int:
        """Offset that the next append gets."""
        return self.first_offset + len(self.records)

    def append(self, record: bytes) -> int:
        """Appends a record and returns its offset."""
        offset = self.end_offset
        self.records.append(record)
        grown, self.grown = self.grown, asyncio.Event()
        grown.set()
        return offset

    def trim(self, keep: int) -> None:
        """Drops all but the newest records."""
        drop = max(0, len(self.records) - keep)
        del self.records[:drop]
        self.first_offset += drop


@attrs.define
class LogFaults:
    """Switches for the service's failures.

    Attributes:
        outage: Every call is refused and nothing takes effect.
        delay_ms: Every answer comes so much later.
        lose_answers: So many further appends take effect while their answer
            is lost.
        hang: Calls are never answered and nothing takes effect.
    """

    outage: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    hang: bool = False


@attrs.define(eq=False)
class LogService:
    """Append, and read from an offset with a long poll.

    Attributes:
        faults: Failures that are switched on.
        streams: The streams by name.
        reads: Number of reads that were answered.
        appends: Number of appends that took effect.
        bytes_read: Bytes of all answers to reads.
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
        """Returns a stream, an empty one where it is new."""
        return self.streams.setdefault(name, Stream())

    async def append(self, request: Request) -> Response:
        """Appends the request's body as one record."""
        record = await request.body()
        refusal = await self._fail()
        if refusal is not None:
            return refusal
        self.appends += 1
        offset = self.stream(request.path_params["name"]).append(record)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return Response(status_code=500)
        return _packed({"offset": offset})

    async def read(self, request: Request) -> Response:
        """Returns records from an offset on."""
        refusal = await self._fail()
        if refusal is not None:
            return refusal
        query = request.query_params
        stream = self.stream(request.path_params["name"])
        offset, limit = int(query["from"]), int(query["limit"])
        if offset >= stream.end_offset:
            await self._wait(stream, int(query["wait_ms"]))
            if self.faults.outage:
                return Response(status_code=_UNAVAILABLE)
        self.reads += 1
        if offset < stream.first_offset:
            return _packed({"first": stream.first_offset}, _GONE)
        start = offset - stream.first_offset
        response = _packed(
            {
                "first": offset,
                "records": stream.records[start : start + limit],
                "end": stream.end_offset,
            }
        )
        self.bytes_read += len(response.body)
        return response

    async def _wait(self, stream: Stream, wait_ms: int) -> None:
        waits = [
            asyncio.create_task(event.wait())
            for event in (stream.grown, self.closing)
        ]
        await asyncio.wait(
            waits,
            timeout=wait_ms * _S_PER_MS,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for wait in waits:
            wait.cancel()

    async def _fail(self) -> Response | None:
        if self.faults.hang:
            await asyncio.Event().wait()
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms * _S_PER_MS)
        if self.faults.outage:
            return Response(status_code=_UNAVAILABLE)
        return None

    async def control(self, request: Request) -> Response:
        """Sets faults, or trims a stream: {"trim": name, "keep": n}."""
        document = await request.json()
        if "trim" in document:
            self.stream(document["trim"]).trim(document["keep"])
        else:
            self.faults = LogFaults(**document)
        return JSONResponse({})

    async def counters(self, _: Request) -> Response:
        """Returns what the service has done so far."""
        return JSONResponse(
            {
                "reads": self.reads,
                "appends": self.appends,
                "bytes_read": self.bytes_read,
            }
        )


def _packed(document: dict[str, object], status: int = 200) -> Response:
    return Response(msgpack.packb(document), status)
