"""Nodes that can read the source take over reading, and all nodes stay current.

The tests run real feeds on a simulated network and source, in virtual time.
"""

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

import attrs
import pytest

from pomelobank_core import READER_COUNT, MemberState, MemberTable
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
from pomelobank_schema.generated.peer import (
    MemberEntry,
    MemberVersion,
    RecordsPull,
)

NODES = {"hobart": 5, "burnie": 4, "launceston": 1}
# More data centres than readers.
MANY_DATA_CENTRES = {f"data-centre-{number}": 4 for number in range(6)}
DURATION_S = 30.0
# The source answers in 4 ms; a node gives up a lost response after 0.5 s.
RESPONSE_TIME_S = 0.004
RESPONSE_TIMEOUT_S = 0.5
# Time between two parts of a response on a slow network link.
PART_S = 0.07
# Every node must have a version within this time of its publication, whichever
# nodes the source rejects or leaves without a response, as long as the source
# serves at least one node.
MAX_PROPAGATION_S = 2.0


@attrs.define(eq=False)
class Simulation:
    """The simulated source and network, and the feeds of all nodes.

    Attributes:
        rng: Source of randomness.
        time: The virtual time.
        nodes: Number of nodes by data centre.
        version: The version that the source has published.
        published: Set, and replaced, at every publication.
        rejected: Nodes whose reads the source rejects.
        unresponsive: Nodes whose reads get no response.
        silenced: Nodes whose reads get no response, those under way included.
        isolated: Addresses that neither send nor receive frames.
        unlucky: Address of a node whose peers stop when it pulls a new version
            from them: the first one after each publication.
        transfer_s: Time that a document takes from the source, by node.
        feeds: The nodes' feeds by address.
        calls: Reads that the source has received.
        on_frame: Called with each frame that arrives, after the feed, and with
            the address of its receiver.
    """

    rng: random.Random
    time: VirtualTime
    nodes: dict[str, int] = attrs.field(factory=lambda: NODES)
    version: int = 1
    published: asyncio.Event = attrs.field(factory=asyncio.Event)
    rejected: set[str] = attrs.field(factory=set)
    unresponsive: set[str] = attrs.field(factory=set)
    silenced: set[str] = attrs.field(factory=set)
    isolated: set[str] = attrs.field(factory=set)
    unlucky: str = ""
    transfer_s: dict[str, float] = attrs.field(factory=dict)
    feeds: dict[str, PublishedFeed] = attrs.field(factory=dict)
    calls: int = 0
    on_frame: Callable[[str, WireMessage], None] = lambda _, __: None

    def publish(self) -> None:
        self.version += 1
        published, self.published = self.published, asyncio.Event()
        published.set()

    def on_pull(self, sender: str, address: str) -> None:
        is_behind = self.feeds[sender].store.version < self.version
        if sender == self.unlucky and is_behind and not self.isolated:
            self.isolated.add(address)


@attrs.define(eq=False)
class Source:
    """The source as one node sees it; positions equal versions."""

    simulation: Simulation
    node: str
    on_progress: Callable[[], None] | None = None

    async def newest(self) -> Document | None:
        return await self._read(0, 0.0)

    async def newest_after(
        self, position: int, wait_ms: int
    ) -> Document | None:
        return await self._read(position, wait_ms / 1000)

    async def _read(self, position: int, wait_s: float) -> Document | None:
        simulation = self.simulation
        simulation.calls += 1
        timeout_s = simulation.time.now_s + wait_s + RESPONSE_TIMEOUT_S
        await asyncio.sleep(RESPONSE_TIME_S)
        if self.node in simulation.rejected:
            raise SourceError("refused")
        if simulation.version <= position:
            try:
                async with asyncio.timeout(wait_s):
                    await simulation.published.wait()
            except TimeoutError:
                pass
        if self.node in simulation.silenced:
            await asyncio.sleep(timeout_s - simulation.time.now_s)
            raise SourceError("no answer")
        if self.node in simulation.unresponsive:
            await asyncio.sleep(RESPONSE_TIMEOUT_S)
            raise SourceError("no answer")
        version = simulation.version
        if version <= position:
            return None
        for _ in range(round(simulation.transfer_s.get(self.node, 0) / PART_S)):
            assert self.on_progress is not None
            self.on_progress()
            await asyncio.sleep(PART_S)
        return Document(str(version).encode(), version)


@attrs.define(eq=False)
class Link:
    """Delivers one node's frames to another node."""

    simulation: Simulation
    sender: str
    address: str

    async def send(self, frame: WireMessage) -> None:
        if isinstance(frame, RecordsPull):
            self.simulation.on_pull(self.sender, self.address)
        asyncio.get_running_loop().call_later(
            self.simulation.rng.uniform(0.001, 0.02), self._arrive, frame
        )

    def _arrive(self, frame: WireMessage) -> None:
        feed = self.simulation.feeds.get(self.address)
        ends = {self.sender, self.address}
        if feed is not None and not ends & self.simulation.isolated:
            feed.receive(frame)
            self.simulation.on_frame(self.address, frame)


@attrs.define(eq=False)
class Links:
    """The streams of one node to its peers."""

    simulation: Simulation
    sender: str

    def to(self, address: str) -> Link:
        return Link(self.simulation, self.sender, address)


def create_feeds(simulation: Simulation) -> None:
    entries = [
        member(f"{centre}-{number}", centre)
        for centre, count in simulation.nodes.items()
        for number in range(count)
    ]
    for entry in entries:
        table = MemberTable(entry)
        table.merge(item for item in entries if item is not entry)
        simulation.feeds[entry.peer_address] = PublishedFeed(
            Source(simulation, entry.node),  # type: ignore[arg-type]
            PublishedStore(decode),
            table,
            Links(simulation, entry.peer_address),  # type: ignore[arg-type]
            VirtualClock(simulation.time),
            random.Random(entry.node),
        )


async def gossip(simulation: Simulation) -> None:
    """Sends each node's version to a random other node twice a second."""
    feeds = list(simulation.feeds.values())
    while True:
        await asyncio.sleep(0.5)
        for feed in feeds:
            own: MemberEntry = feed.members.own
            announced = MemberVersion(
                node=own.node,
                incarnation=own.incarnation,
                version=feed.store.version,
            )
            simulation.rng.choice(feeds).members.merge_versions([announced])


async def run_ticks(simulation: Simulation) -> None:
    """Calls each feed's tick about twice a second, as membership does."""
    while True:
        for feed in simulation.feeds.values():
            feed.tick(feed.clock.now_ms())
            await asyncio.sleep(
                simulation.rng.uniform(0, 1 / len(simulation.feeds))
            )


async def inject_source_faults(
    simulation: Simulation, fault_sets: list[set[str]]
) -> None:
    """Lets the source reject or ignore random nodes for a while, repeatedly."""
    nodes = [feed.members.own.node for feed in simulation.feeds.values()]
    while True:
        await asyncio.sleep(simulation.rng.uniform(0, 4))
        fault_set = simulation.rng.choice(fault_sets)
        # The source always serves at least one node.
        affected = simulation.rng.sample(
            nodes[1:], simulation.rng.randint(1, 8)
        )
        fault_set.update(affected)
        await asyncio.sleep(simulation.rng.uniform(0.5, 6))
        fault_set.clear()


async def check_publications(simulation: Simulation) -> None:
    """Publishes versions and asserts that every node has each in time."""
    while simulation.time.now_s < DURATION_S:
        await asyncio.sleep(simulation.rng.uniform(0, 3))
        simulation.publish()
        published_version = simulation.version
        await asyncio.sleep(MAX_PROPAGATION_S)
        outdated = {
            feed.members.own.node: feed.store.version
            for feed in simulation.feeds.values()
            if feed.store.version < published_version
        }
        assert not outdated, (
            f"version {published_version} at"
            f" {simulation.time.now_s:.1f} s: {outdated}"
        )


@asynccontextmanager
async def running_feeds(
    simulation: Simulation, gossips: bool = True
) -> AsyncIterator[set[asyncio.Task[None]]]:
    """Starts every feed and the background tasks; stops all at the end."""
    create_feeds(simulation)
    for feed in simulation.feeds.values():
        await feed.start()
    tasks = {asyncio.create_task(run_ticks(simulation))}
    if gossips:
        tasks.add(asyncio.create_task(gossip(simulation)))
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for feed in simulation.feeds.values():
            await feed.stop()


async def run_simulation(simulation: Simulation, with_faults: bool) -> None:
    async with running_feeds(simulation) as tasks:
        if with_faults:
            fault_sets = [simulation.rejected, simulation.unresponsive]
            tasks.add(
                asyncio.create_task(
                    inject_source_faults(simulation, fault_sets)
                )
            )
        await asyncio.sleep(2)
        await check_publications(simulation)


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize(
    "nodes",
    [pytest.param(NODES, id="few"), pytest.param(MANY_DATA_CENTRES, id="many")],
)
def test_each_version_reaches_every_node_while_one_can_read(
    nodes: dict[str, int], seed: int
) -> None:
    """The source rejects or ignores some nodes at random, readers included.

    If no other node took over from such a reader, all nodes would keep an
    outdated configuration.
    """
    time = VirtualTime()
    simulation = Simulation(random.Random(seed), time, nodes)
    run_in_virtual_time(time, run_simulation(simulation, with_faults=True))


@pytest.mark.parametrize(
    "nodes",
    [pytest.param(NODES, id="few"), pytest.param(MANY_DATA_CENTRES, id="many")],
)
def test_a_healthy_source_is_read_by_three_nodes_with_long_polls(
    nodes: dict[str, int],
) -> None:
    """Counts the reads of a source that serves every node.

    The number of reads must not grow with the nodes or the data centres, since
    calls to the source are expensive.
    """
    time = VirtualTime()
    simulation = Simulation(random.Random(1), time, nodes)
    run_in_virtual_time(time, run_simulation(simulation, with_faults=False))
    reads_for_changes = READER_COUNT * simulation.version
    idle_reads = READER_COUNT * time.now_s * 1000 / LONG_POLL_MS
    assert simulation.calls <= READER_COUNT + reads_for_changes + idle_reads


Fault = Callable[[Simulation, list[PublishedFeed]], None]


async def publish_after_readers_died(
    simulation: Simulation, killed: set[str]
) -> None:
    async with running_feeds(simulation):
        await asyncio.sleep(4)
        readers = [
            feed for feed in simulation.feeds.values() if feed.is_reader()
        ]
        killed.update(feed.members.own.node for feed in readers)
        for feed in readers:
            await feed.stop()
            del simulation.feeds[feed.members.own.peer_address]
        await asyncio.sleep((MAX_READ_AGE_MS + HEARTBEAT_MS) / 1000)
        simulation.publish()
        await asyncio.sleep(MAX_PROPAGATION_S)
        outdated = [
            feed
            for feed in simulation.feeds.values()
            if feed.store.version < simulation.version
        ]
    assert not outdated


def test_readers_that_die_together_are_replaced() -> None:
    """All readers die at the same time, and a version is published afterwards.

    If the other nodes kept waiting for the dead readers, no node would get that
    version.
    """
    time = VirtualTime()
    killed: set[str] = set()
    simulation = Simulation(random.Random(1), time, MANY_DATA_CENTRES)
    run_in_virtual_time(time, publish_after_readers_died(simulation, killed))
    assert len(killed) == READER_COUNT


def draw_affected(simulation: Simulation) -> list[PublishedFeed]:
    """Returns the feeds of all readers and of some other nodes."""
    feeds = list(simulation.feeds.values())
    readers = [feed for feed in feeds if feed.is_reader()]
    others = [feed for feed in feeds if not feed.is_reader()]
    return readers + simulation.rng.sample(others, len(others) // 3)


def silence_source(
    simulation: Simulation, affected: list[PublishedFeed]
) -> None:
    """Makes the source stop responding to nodes."""
    simulation.silenced.update(feed.members.own.node for feed in affected)


def isolate(simulation: Simulation, affected: list[PublishedFeed]) -> None:
    """Makes nodes stop, as far as the source and their peers can tell."""
    silence_source(simulation, affected)
    simulation.isolated.update(
        feed.members.own.peer_address for feed in affected
    )


async def publish_after_readers_fell_silent(
    simulation: Simulation, fault: Fault, outdated: set[str]
) -> None:
    async with running_feeds(simulation):
        await asyncio.sleep(4 + simulation.rng.uniform(0, 3))
        fault(simulation, draw_affected(simulation))
        await asyncio.sleep(simulation.rng.uniform(0, 0.2))
        simulation.publish()
        await asyncio.sleep(MAX_PROPAGATION_S)
        outdated.update(
            feed.members.own.node
            for address, feed in simulation.feeds.items()
            if address not in simulation.isolated
            and feed.store.version < simulation.version
        )


Scenario = Callable[[Simulation, set[str]], Coroutine[Any, Any, None]]


def find_outdated(
    nodes: dict[str, int], scenario: Scenario
) -> dict[int, set[str]]:
    """Runs a scenario with many seeds; returns the outdated nodes by seed."""
    outdated_by_seed = {}
    for seed in range(20):
        time = VirtualTime()
        simulation = Simulation(random.Random(seed), time, nodes)
        outdated: set[str] = set()
        run_in_virtual_time(time, scenario(simulation, outdated))
        if outdated:
            outdated_by_seed[seed] = outdated
    return outdated_by_seed


@pytest.mark.parametrize(
    "nodes",
    [pytest.param(NODES, id="few"), pytest.param(MANY_DATA_CENTRES, id="many")],
)
@pytest.mark.parametrize(
    "fault",
    [
        pytest.param(silence_source, id="source-silent"),
        pytest.param(isolate, id="nodes-stopped"),
    ],
)
def test_a_version_published_after_all_readers_fell_silent_is_in_time(
    fault: Fault, nodes: dict[str, int]
) -> None:
    """Nodes that wait for the readers' unanswered reads miss the version."""
    assert not find_outdated(
        nodes,
        lambda simulation, outdated: publish_after_readers_fell_silent(
            simulation, fault, outdated
        ),
    )


# Time that a document of 350 KB takes on a network link of 5 Mbit/s.
SLOW_TRANSFER_S = 0.56
# A data centre in which the last node waits longest before it reads the source.
LARGE_DATA_CENTRE = {"hobart": 9, "burnie": 3, "launceston": 3}
CHANGES = 20


def suspect(simulation: Simulation, own: MemberEntry) -> None:
    """Lets all other nodes suspect a node that can still be reached."""
    suspected = attrs.evolve(own, state=MemberState.SUSPECT.value)
    for feed in simulation.feeds.values():
        if feed.members.own is not own:
            feed.members.merge([suspected])


def forget(simulation: Simulation, own: MemberEntry) -> None:
    """Lets no other node know a node, as if it had just started."""
    for feed in simulation.feeds.values():
        if feed.members.own is not own:
            feed.members.remove(own.node)


def suspect_and_reject(simulation: Simulation, own: MemberEntry) -> None:
    """Lets the source reject a node that all other nodes suspect."""
    suspect(simulation, own)
    simulation.rejected.add(own.node)


Exclusion = Callable[[Simulation, MemberEntry], None]


async def publish_while_a_node_is_left_out(
    simulation: Simulation, exclude: Exclusion, delays_s: list[float]
) -> None:
    """Measures when the last node of a data centre has each of many versions.

    Without gossip, whose order is random, the test decides alone whether the
    node is told.
    """
    async with running_feeds(simulation, gossips=False):
        left_out = last_in_reading_order(simulation)
        simulation.transfer_s[left_out.members.own.node] = SLOW_TRANSFER_S
        exclude(simulation, left_out.members.own)
        await measure_delays(simulation, left_out, delays_s)


def last_in_reading_order(simulation: Simulation) -> PublishedFeed:
    """Returns the node that waits longest before it reads the source."""
    return max(
        simulation.feeds.values(),
        key=lambda feed: feed.order.neighbours_ahead(0),
    )


async def measure_delays(
    simulation: Simulation, feed: PublishedFeed, delays_s: list[float]
) -> None:
    """Publishes many versions and measures when a node has each of them."""
    for _ in range(CHANGES):
        await asyncio.sleep(simulation.rng.uniform(0.5, 3))
        simulation.isolated.clear()
        simulation.publish()
        published_s = simulation.time.now_s
        await wait_for_version(feed, simulation.version)
        delays_s.append(simulation.time.now_s - published_s)


async def wait_for_version(feed: PublishedFeed, version: int) -> None:
    """Waits until a node has a version, or for twice the time it may take."""
    try:
        async with asyncio.timeout(2 * MAX_PROPAGATION_S):
            while feed.store.version < version:
                await feed.store.changed.wait()
    except TimeoutError:
        return


@pytest.mark.parametrize(
    "exclude",
    [
        pytest.param(suspect, id="suspected"),
        pytest.param(forget, id="unknown"),
        pytest.param(suspect_and_reject, id="suspected-and-rejected"),
    ],
)
def test_a_node_that_its_peers_leave_out_gets_each_version_in_time(
    exclude: Exclusion,
) -> None:
    """Peers send nothing to a node that they suspect or do not know."""
    time = VirtualTime()
    simulation = Simulation(random.Random(1), time, LARGE_DATA_CENTRE)
    delays_s: list[float] = []
    run_in_virtual_time(
        time, publish_while_a_node_is_left_out(simulation, exclude, delays_s)
    )
    assert len(delays_s) == CHANGES
    assert max(delays_s) < MAX_PROPAGATION_S


async def publish_during_a_slow_response(
    simulation: Simulation, outdated: set[str]
) -> None:
    """Publishes while one reader's link is slow and the others are cut off."""
    async with running_feeds(simulation):
        await asyncio.sleep(4 + simulation.rng.uniform(0, 1))
        feeds = list(simulation.feeds.values())
        slow, *others = (feed.members.own for feed in feeds if feed.is_reader())
        lost_centres = {own.data_centre for own in others}
        lost = [f for f in feeds if f.members.own.data_centre in lost_centres]
        isolate(simulation, lost)
        simulation.transfer_s[slow.node] = 2 * MAX_PROPAGATION_S
        simulation.publish()
        await asyncio.sleep(MAX_PROPAGATION_S)
        outdated.update(
            feed.members.own.node
            for feed in feeds
            if feed.members.own is not slow
            and feed not in lost
            and feed.store.version < simulation.version
        )


def test_a_slow_response_does_not_hold_back_other_readers() -> None:
    """Nodes do not take over from a response in progress that seems fresh."""
    assert not find_outdated(MANY_DATA_CENTRES, publish_during_a_slow_response)


async def publish_while_pulled_peers_stop(
    simulation: Simulation, delays_s: list[float]
) -> None:
    """Measures when a node whose pulls get no response has each version."""
    async with running_feeds(simulation):
        unlucky = last_in_reading_order(simulation)
        simulation.unlucky = unlucky.members.own.peer_address
        await measure_delays(simulation, unlucky, delays_s)


def test_a_node_whose_pull_gets_no_response_pulls_from_another_peer() -> None:
    """A node that repeats its pull to the same peer waits until it is gone."""
    delays_by_seed = {}
    for seed in range(20):
        time = VirtualTime()
        simulation = Simulation(random.Random(seed), time, LARGE_DATA_CENTRE)
        delays_s: list[float] = []
        run_in_virtual_time(
            time, publish_while_pulled_peers_stop(simulation, delays_s)
        )
        assert len(delays_s) == CHANGES
        delays_by_seed[seed] = max(delays_s)
    assert max(delays_by_seed.values()) < MAX_PROPAGATION_S
