"""Containment of requests that crash targets."""

import asyncio
from collections.abc import AsyncIterator

import attrs
import pytest

from pomelobank_core import MemberTable, QuarantineState
from pomelobank_node._clock import SystemClock
from pomelobank_node._crash_reports import CrashReports
from pomelobank_node._owner import Owner, Target
from pomelobank_node._requests import ForwardReply, ForwardRequest
from pomelobank_schema.generated.peer import CrashReport, MemberEntry
from pomelobank_schema.generated.settings import RequestSettings

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


@attrs.define(eq=False)
class FragileTarget:
    """Responds to requests, delays `/hold` and crashes on `/poison`."""

    server: asyncio.Server | None = None
    writers: list[asyncio.StreamWriter] = attrs.field(factory=list)
    release: asyncio.Event = attrs.field(factory=asyncio.Event)
    held: asyncio.Event = attrs.field(factory=asyncio.Event)
    crashes: int = 0
    max_busy: int = 0
    busy: int = 0

    async def start(self, port: int = 0) -> str:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, bound = self.server.sockets[0].getsockname()
        return f"{host}:{bound}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.append(writer)
        while head := await reader.readline():
            while (await reader.readline()).strip():
                continue
            self.busy += 1
            self.max_busy = max(self.max_busy, self.busy)
            if b"/poison" in head:
                self.crash()
                return
            if b"/hold" in head:
                self.held.set()
                await self.release.wait()
            self.busy -= 1
            writer.write(OK)

    def crash(self) -> None:
        assert self.server is not None
        self.crashes += 1
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class DirectLinks:
    """Delivers reports directly to all nodes of the test."""

    def __init__(self) -> None:
        self.nodes: list[CrashReports] = []

    def to(self, address: str) -> "DirectLinks":
        return self

    async def send(self, report: CrashReport) -> None:
        for node in self.nodes:
            node.receive(report)


@attrs.define(eq=False)
class Pair:
    """Two nodes, each with a target."""

    owners: list[Owner]
    targets: list[FragileTarget]

    async def send(self, number: int, path: str) -> ForwardReply:
        reply = await self.owners[number].serve(
            ForwardRequest(
                upstream="stock",
                route="stock",
                method="GET",
                target=path.encode(),
                remaining_ms=5000,
                traffic_class="interactive",
                idempotent=True,
            )
        )
        # The reports must arrive before the test sends its next request.
        await asyncio.gather(*self.owners[number].crash_reports.tasks)
        return reply


@pytest.fixture
async def pair() -> AsyncIterator[Pair]:
    links = DirectLinks()
    owners = []
    targets = [FragileTarget(), FragileTarget()]
    for number, target in enumerate(targets):
        table = MemberTable(MemberEntry(node=f"n{number}"))
        table.merge([MemberEntry(node="peer", peer_address="127.0.0.1:1")])
        reports = CrashReports(table, links, SystemClock())
        links.nodes.append(reports)
        owner = Owner(RequestSettings(), SystemClock(), reports)
        owner.set_target(Target("stock", await target.start(), 10))
        owners.append(owner)
    yield Pair(owners, targets)
    for target in targets:
        target.release.set()
        assert target.server is not None
        target.server.close()


async def test_poison_request_is_quarantined_and_its_companion_is_not(
    pair: Pair,
) -> None:
    """Guards against a request that crashes every target of its upstream.

    A look-up crashes its target while another caller's request is in flight
    there, and its caller retries through another node. Without containment the
    retries crash one target after the other. The other request is lost with the
    first crash, but its retry must run.
    """
    companion = asyncio.create_task(pair.send(0, "/hold"))
    await pair.targets[0].held.wait()
    first = await pair.send(0, "/poison")
    assert first.error == "upstream_lost"
    assert (await companion).error == "upstream_lost"
    second = await pair.send(1, "/poison")
    assert second.error == "upstream_lost"
    third = await pair.send(1, "/poison")
    assert third.error == "quarantined"
    assert third.retry_after_ms > 50_000
    assert [target.crashes for target in pair.targets] == [1, 1]

    address = await pair.targets[1].start()
    pair.owners[1].set_target(Target("stock", address, 10))
    pair.targets[1].release.set()
    assert (await pair.send(1, "/hold")).status == 200
    tables = [owner.crash_reports.table for owner in pair.owners]
    assert [table.cleared for table in tables] == [1, 1]
    assert [len(table.entries) for table in tables] == [1, 1]


async def test_suspect_runs_in_isolation(pair: Pair) -> None:
    """Guards against running a suspect request next to other requests.

    A suspect arrives while another request is at the target, and further
    requests follow. The suspect and the later requests must wait until the
    suspect can run in isolation.
    """
    held = asyncio.create_task(pair.send(0, "/hold"))
    await pair.targets[0].held.wait()
    reports = pair.owners[0].crash_reports
    suspect = ForwardRequest(
        route="stock", method="GET", target=b"/suspect", upstream="stock"
    )
    reports.on_target_lost([suspect])
    assert reports.check(suspect) is QuarantineState.SUSPECT
    tasks = [
        asyncio.create_task(pair.send(0, path))
        for path in ("/suspect", "/1", "/2")
    ]
    # Each task runs up to its place in the queue.
    await asyncio.sleep(0)
    assert pair.owners[0].admission_queue.admission.waiting == 3
    assert pair.targets[0].busy == 1
    pair.targets[0].release.set()
    assert (await held).status == 200
    assert [(await task).status for task in tasks] == [200, 200, 200]
    assert reports.check(suspect) is QuarantineState.CLEAR


async def test_single_broken_connection_is_not_a_crash(pair: Pair) -> None:
    """Guards against reporting a crash for a single broken connection.

    A target that keeps running closes one connection during a request.
    """
    held = asyncio.create_task(pair.send(0, "/hold"))
    await pair.targets[0].held.wait()
    pair.targets[0].writers[0].transport.abort()
    assert (await held).error == "upstream_lost"
    assert not pair.owners[0].crash_reports.table.entries
