"""First contacts through the log, in virtual time."""

import asyncio
import random

import attrs

from pomelobank_core import BootstrapContacts, MemberTable, Swim
from pomelobank_node._contact_finder import ContactFinder
from pomelobank_node._log import LogPage
from pomelobank_node.tests.virtual_time import (
    VirtualClock,
    VirtualTime,
    run_in_virtual_time,
)
from pomelobank_schema import WireMessage, encode
from pomelobank_schema.generated.peer import MemberEntry
from pomelobank_schema.generated.records import AnnounceRecord
from pomelobank_schema.generated.settings import MembershipSettings

ANSWER_S = 0.004
OTHER = MemberEntry(node="other", state="ready", peer_address="127.0.0.1:2")


@attrs.define(eq=False)
class HeldBackLog:
    """A log whose reads wait for records, as far as `waits` says."""

    waits: bool = True
    records: list[bytes] = attrs.field(factory=list)
    moved: asyncio.Event = attrs.field(factory=asyncio.Event)
    long_poll_ms: int = 0
    reads: int = 0
    appends: int = 0

    async def append(self, stream: str, record: bytes) -> int:
        self.appends += 1
        await asyncio.sleep(ANSWER_S)
        return self.add(record)

    def add(self, record: bytes) -> int:
        self.records.append(record)
        moved, self.moved = self.moved, asyncio.Event()
        moved.set()
        return len(self.records) - 1

    async def read(
        self, stream: str, offset: int, limit: int, wait_ms: int
    ) -> LogPage:
        self.reads += 1
        await asyncio.sleep(ANSWER_S)
        if offset >= len(self.records) and self.waits:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self.moved.wait()
            except TimeoutError:
                pass
        found = tuple(self.records[offset : offset + limit])
        return LogPage(offset, found, len(self.records))


@attrs.define(eq=False)
class Links:
    """Streams on which whoever is asked joins the mesh."""

    finder: ContactFinder | None = None

    def to(self, address: str) -> "Links":
        return self

    async def send(self, frame: WireMessage) -> None:
        assert self.finder is not None
        self.finder.swim.table.merge([OTHER])
        self.finder.joined.set()


def finder(log: HeldBackLog, time: VirtualTime) -> ContactFinder:
    own = MemberEntry(node="own", state="ready", peer_address="127.0.0.1:1")
    swim = Swim(MemberTable(own), MembershipSettings(), random.Random(1))
    links = Links()
    found = ContactFinder(
        BootstrapContacts(random.Random(1)),
        swim,
        log,
        links,  # type: ignore[arg-type]
        VirtualClock(time),
    )
    links.finder = found
    return found


def announcement() -> bytes:
    return encode(
        AnnounceRecord(node="other", peer_address=OTHER.peer_address, at_ms=1)
    )


def test_a_node_that_waits_hears_of_the_first_record_in_one_read() -> None:
    """Guards against several calls of each of many nodes that start."""
    time, log = VirtualTime(), HeldBackLog()

    async def play() -> None:
        found = finder(log, time)
        asyncio.get_running_loop().call_later(0.01, log.add, announcement())
        assert await found._join()

    run_in_virtual_time(time, play())
    assert (log.reads, log.appends) == (1, 0)


def test_a_node_that_finds_nobody_announces_itself_once() -> None:
    """Guards against a mesh whose first node waits for ever."""
    time, log = VirtualTime(), HeldBackLog()

    async def play() -> None:
        assert not await finder(log, time)._join()

    run_in_virtual_time(time, play())
    assert (log.reads, log.appends) == (2, 1)


def test_a_log_that_does_not_wait_is_not_asked_all_the_time() -> None:
    """Guards against a loop of reads at a log that answers at once."""
    time, log = VirtualTime(), HeldBackLog(waits=False)
    log.add(announcement())

    async def play() -> None:
        task = asyncio.create_task(finder(log, time).run())
        await asyncio.sleep(60)
        task.cancel()

    run_in_virtual_time(time, play())
    assert log.reads <= 15
