"""Joining the mesh through contacts in the log, in virtual time."""

import asyncio
import random

import attrs

from pomelobank_core import BootstrapContacts, MemberTable, Swim
from pomelobank_node._contact_finder import ContactFinder
from pomelobank_node._log import LogPage
from pomelobank_node._log_era import LogEra
from pomelobank_node.tests.virtual_time import (
    VirtualClock,
    VirtualTime,
    run_in_virtual_time,
)
from pomelobank_schema import WireMessage, encode
from pomelobank_schema.generated.peer import MemberEntry
from pomelobank_schema.generated.records import AnnounceRecord
from pomelobank_schema.generated.settings import MembershipSettings

RESPONSE_TIME_S = 0.004
OTHER = MemberEntry(node="other", state="ready", peer_address="127.0.0.1:2")


@attrs.define(eq=False)
class LongPollLog:
    """A log whose reads wait for records if `supports_long_poll` is set."""

    supports_long_poll: bool = True
    records: list[bytes] = attrs.field(factory=list)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    era: LogEra = attrs.field(factory=LogEra)
    long_poll_ms: int = 0
    reads: int = 0
    appends: int = 0

    async def append(self, stream: str, record: bytes) -> int:
        self.appends += 1
        await asyncio.sleep(RESPONSE_TIME_S)
        return self.add(record)

    def add(self, record: bytes) -> int:
        self.records.append(record)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return len(self.records) - 1

    async def read(
        self, stream: str, offset: int, limit: int, wait_ms: int
    ) -> LogPage:
        self.reads += 1
        await asyncio.sleep(RESPONSE_TIME_S)
        if offset >= len(self.records) and self.supports_long_poll:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self.changed.wait()
            except TimeoutError:
                pass
        found = tuple(self.records[offset : offset + limit])
        return LogPage(offset, found, len(self.records))


@attrs.define(eq=False)
class Links:
    """Streams to peers, each of which lets the node join the mesh."""

    finder: ContactFinder | None = None

    def to(self, address: str) -> "Links":
        return self

    async def send(self, frame: WireMessage) -> None:
        assert self.finder is not None
        self.finder.swim.table.merge([OTHER])
        self.finder.joined.set()


def finder(log: LongPollLog, time: VirtualTime) -> ContactFinder:
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


def test_a_waiting_node_gets_the_first_record_in_one_read() -> None:
    """Many nodes start together, before the log holds any contact.

    If each node polled the log repeatedly, the log would get several calls from
    every node; one long poll per node is enough.
    """
    time, log = VirtualTime(), LongPollLog()

    async def run() -> None:
        found = finder(log, time)
        asyncio.get_running_loop().call_later(0.01, log.add, announcement())
        assert await found._join()

    run_in_virtual_time(time, run())
    assert (log.reads, log.appends) == (1, 0)


def test_a_node_that_finds_no_member_announces_itself_once() -> None:
    """The first node of a mesh finds no contact in the log.

    If the node did not announce itself, all nodes would wait without end.
    """
    time, log = VirtualTime(), LongPollLog()

    async def run() -> None:
        assert not await finder(log, time)._join()

    run_in_virtual_time(time, run())
    assert (log.reads, log.appends) == (2, 1)


def test_a_log_without_long_polls_is_not_read_in_a_loop() -> None:
    """The log answers each read at once, although the node asks it to wait.

    Without a pause between reads, the node would call the log in a busy loop.
    """
    time, log = VirtualTime(), LongPollLog(supports_long_poll=False)
    log.add(announcement())

    async def run() -> None:
        task = asyncio.create_task(finder(log, time).run())
        await asyncio.sleep(60)
        task.cancel()

    run_in_virtual_time(time, run())
    assert log.reads <= 15
