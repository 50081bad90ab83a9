"""Departures that a node reads from the log at its start."""

import asyncio

import attrs
import pytest

from pomelobank_core import MemberTable
from pomelobank_node._clock import SystemClock
from pomelobank_node._log_era import LogEra
from pomelobank_node._membership import Membership
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node.departures import DepartureRegistry
from pomelobank_schema import encode
from pomelobank_schema.generated.peer import Hello, MemberEntry
from pomelobank_schema.generated.records import (
    DepartureRecord,
    TargetAnnouncement,
)
from pomelobank_schema.generated.settings import MembershipSettings

TEST_TIMEOUT_S = 30
LEFT = DepartureRecord(instance="i-1", started_at_ms=7)


@attrs.define(eq=False)
class LogWithOneDeparture:
    """A log that holds one departure record."""

    era: LogEra = attrs.field(factory=LogEra)
    long_poll_ms: int = 0
    reads: int = 0
    dropped: asyncio.Event = attrs.field(factory=asyncio.Event)
    dropped_key: str = ""

    async def read_keyed(self, stream: str) -> list[bytes]:
        self.reads += 1
        return [encode(LEFT)]

    async def drop_keyed(self, stream: str, key: str) -> None:
        self.dropped_key = key
        self.dropped.set()


@attrs.define
class NoConfiguration:
    version: int = 0


def registry(log: LogWithOneDeparture, first_start: bool) -> DepartureRegistry:
    clock = SystemClock()
    membership = Membership(
        MemberTable(MemberEntry(node="node-1", state="starting")),
        MembershipSettings(),
        log,
        PeerLinks(Hello(node="node-1")),
        NoConfiguration(),
        clock,
    )
    return DepartureRegistry.of(log, membership, clock, first_start)


@pytest.mark.parametrize(
    ("first_start", "reads", "has_departed"),
    [
        pytest.param(True, 0, False, id="first start of the mesh"),
        pytest.param(False, 1, True, id="later start"),
    ],
)
async def test_departures_are_read_except_on_the_first_start(
    first_start: bool, reads: int, has_departed: bool
) -> None:
    """Many nodes of a new mesh start together.

    The log holds no departures at the first start, so a read by each node would
    only load the log.
    """
    log = LogWithOneDeparture()
    departures = registry(log, first_start)
    await departures.start()
    await departures.complete.wait()
    await departures.stop()
    target = TargetAnnouncement(
        upstream="stock",
        address="127.0.0.1:1",
        slots=1,
        instance=LEFT.instance,
        started_at_ms=LEFT.started_at_ms,
    )
    assert (log.reads, departures.has_departed(target)) == (reads, has_departed)


async def test_a_stale_departure_is_dropped_from_the_log() -> None:
    """The records of targets that ended long ago would fill the log."""
    log = LogWithOneDeparture()
    departures = registry(log, first_start=False)
    await departures.start()
    async with asyncio.timeout(TEST_TIMEOUT_S):
        await log.dropped.wait()
    await departures.stop()
    assert log.dropped_key == LEFT.instance
