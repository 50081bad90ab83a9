"""Whoever can read the source reads it, and every node has what was published.

Real feeds on a network and a source of the test's own, in virtual time.
"""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import pytest

from pomelobank_core import READER_COUNT, MemberTable
from pomelobank_node.published import (
    Document,
    PublishedFeed,
    PublishedStore,
    SourceError,
)
from pomelobank_node.published._feed import (
    HEARTBEAT_MS,
    LONG_POLL_MS,
    MAX_READ_AGE_MS,
)
from pomelobank_node.published.tests.test_published import decode, member
from pomelobank_node.tests.virtual_time import (
    VirtualClock,
    VirtualTime,
    run_in_virtual_time,
)
from pomelobank_schema import WireMessage
from pomelobank_schema.generated.peer import MemberEntry, MemberVersion

NODES = {"hobart": 5, "burnie": 4, "launceston": 1}
# More data centres than read.
MANY = {f"data-centre-{number}": 4 for number in range(6)}
LENGTH_S = 30.0
# The store answers in 4 ms, and a lost answer is given up after half a second.
ANSWER_S = 0.004
LOST_S = 0.5
# By this time after a publication every node must have it, whichever nodes the
# source has turned away or left without an answer, as long as it serves one.
IN_FORCE_S = 2.0


@attrs.define(eq=False)
class World:
    """The source, the network and the nodes."""

    rng: random.Random
    time: VirtualTime
    nodes: dict[str, int] = attrs.field(factory=lambda: NODES)
    version: int = 1
    published: asyncio.Event = attrs.field(factory=asyncio.Event)
    refused: set[str] = attrs.field(factory=set)
    silent: set[str] = attrs.field(factory=set)
    feeds: dict[str, PublishedFeed] = attrs.field(factory=dict)
    calls: int = 0

    def publish(self) -> None:
        self.version += 1
        published, self.published = self.published, asyncio.Event()
        published.set()


@attrs.define(eq=False)
class Source:
    """The source as one node sees it; a version is its place as well."""

    world: World
    node: str
    on_progress: object = None

    async def newest(self) -> Document | None:
        return await self._read(0, 0.0)

    async def newest_after(
        self, position: int, wait_ms: int
    ) -> Document | None:
        return await self._read(position, wait_ms / 1000)

    async def _read(self, position: int, wait_s: float) -> Document | None:
        world = self.world
        world.calls += 1
        await asyncio.sleep(ANSWER_S)
        if self.node in world.refused:
            raise SourceError("refused")
        if world.version <= position:
            try:
                async with asyncio.timeout(wait_s):
                    await world.published.wait()
            except TimeoutError:
                pass
        if self.node in world.silent:
            await asyncio.sleep(LOST_S)
            raise SourceError("no answer")
        if world.version <= position:
            return None
        return Document(str(world.version).encode(), world.version)


@attrs.define(eq=False)
class Link:
    """Carries frames to one node."""

    world: World
    address: str

    async def send(self, frame: WireMessage) -> None:
        asyncio.get_running_loop().call_later(
            self.world.rng.uniform(0.001, 0.02), self._arrive, frame
        )

    def _arrive(self, frame: WireMessage) -> None:
        feed = self.world.feeds.get(self.address)
        if feed is not None:
            feed.receive(frame)


@attrs.define(eq=False)
class Links:
    """Streams of one node."""

    world: World

    def to(self, address: str) -> Link:
        return Link(self.world, address)


def build(world: World) -> None:
    entries = [
        member(f"{centre}-{number}", centre)
        for centre, count in world.nodes.items()
        for number in range(count)
    ]
    for entry in entries:
        table = MemberTable(entry)
        table.merge(item for item in entries if item is not entry)
        world.feeds[entry.peer_address] = PublishedFeed(
            Source(world, entry.node),  # type: ignore[arg-type]
            PublishedStore(decode),
            table,
            Links(world),  # type: ignore[arg-type]
            VirtualClock(world.time),
            random.Random(entry.node),
        )


async def gossip(world: World) -> None:
    """Each node tells its version to another one twice a second."""
    feeds = list(world.feeds.values())
    while True:
        await asyncio.sleep(0.5)
        for feed in feeds:
            own: MemberEntry = feed.members.own
            told = MemberVersion(
                node=own.node,
                incarnation=own.incarnation,
                version=feed.store.version,
            )
            world.rng.choice(feeds).members.merge_versions([told])


async def tend(world: World) -> None:
    """Each node does what is due about twice a second, as membership asks."""
    while True:
        for feed in world.feeds.values():
            feed.tick(feed.clock.now_ms())
            await asyncio.sleep(world.rng.uniform(0, 1 / len(world.feeds)))


async def trouble(world: World, kinds: list[set[str]]) -> None:
    """The source leaves some nodes out for a while, now these, now those."""
    nodes = [feed.members.own.node for feed in world.feeds.values()]
    while True:
        await asyncio.sleep(world.rng.uniform(0, 4))
        kind = world.rng.choice(kinds)
        # One node at least is always served.
        hit = world.rng.sample(nodes[1:], world.rng.randint(1, 8))
        kind.update(hit)
        await asyncio.sleep(world.rng.uniform(0.5, 6))
        kind.clear()


async def check(world: World) -> None:
    """Publishes now and then, and looks whether every node has it in time."""
    while world.time.now_s < LENGTH_S:
        await asyncio.sleep(world.rng.uniform(0, 3))
        world.publish()
        wanted = world.version
        await asyncio.sleep(IN_FORCE_S)
        late = {
            feed.members.own.node: feed.store.version
            for feed in world.feeds.values()
            if feed.store.version < wanted
        }
        assert not late, f"{wanted} at {world.time.now_s:.1f} s: {late}"


@asynccontextmanager
async def running(world: World) -> AsyncIterator[set[asyncio.Task[None]]]:
    """Starts every node and what goes on beside them; ends all of it."""
    build(world)
    for feed in world.feeds.values():
        await feed.start()
    tasks = {
        asyncio.create_task(gossip(world)),
        asyncio.create_task(tend(world)),
    }
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for feed in world.feeds.values():
            await feed.stop()


async def play(world: World, troubled: bool) -> None:
    async with running(world) as tasks:
        if troubled:
            kinds = [world.refused, world.silent]
            tasks.add(asyncio.create_task(trouble(world, kinds)))
        await asyncio.sleep(2)
        await check(world)


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize(
    "nodes", [pytest.param(NODES, id="few"), pytest.param(MANY, id="many")]
)
def test_what_is_published_is_in_force_wherever_the_source_is_read(
    nodes: dict[str, int], seed: int
) -> None:
    """Guards against readers that nobody relieves when they are turned away."""
    time = VirtualTime()
    world = World(random.Random(seed), time, nodes)
    run_in_virtual_time(time, play(world, troubled=True))


@pytest.mark.parametrize(
    "nodes", [pytest.param(NODES, id="few"), pytest.param(MANY, id="many")]
)
def test_a_calm_source_is_asked_by_three_nodes_every_two_seconds(
    nodes: dict[str, int],
) -> None:
    """Guards against calls that grow with nodes or data centres."""
    time = VirtualTime()
    world = World(random.Random(1), time, nodes)
    run_in_virtual_time(time, play(world, troubled=False))
    for_changes = READER_COUNT * world.version
    at_rest = READER_COUNT * time.now_s * 1000 / LONG_POLL_MS
    assert world.calls <= READER_COUNT + for_changes + at_rest


async def publish_while_silent(world: World, killed: set[str]) -> None:
    async with running(world):
        await asyncio.sleep(4)
        readers = [feed for feed in world.feeds.values() if feed.is_reader()]
        killed.update(feed.members.own.node for feed in readers)
        for feed in readers:
            await feed.stop()
            del world.feeds[feed.members.own.peer_address]
        await asyncio.sleep((MAX_READ_AGE_MS + HEARTBEAT_MS) / 1000)
        world.publish()
        await asyncio.sleep(IN_FORCE_S)
        late = [
            feed
            for feed in world.feeds.values()
            if feed.store.version < world.version
        ]
    assert not late


def test_readers_that_die_together_are_relieved() -> None:
    """Guards against a mesh that waits for readers which are gone."""
    time = VirtualTime()
    killed: set[str] = set()
    world = World(random.Random(1), time, MANY)
    run_in_virtual_time(time, publish_while_silent(world, killed))
    assert len(killed) == READER_COUNT
