"""Nodes accept keys while they reach the source or a node that does.

Most tests run real feeds on a simulated network and source, in virtual time.
"""

import asyncio
import logging
import random
import time as system_time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import attrs
import pytest

from pomelobank_core import READER_COUNT, ManualClock, ReadingRole, RouteTable
from pomelobank_core.workspaces import Workspace, WorkspaceTable
from pomelobank_node._clock import SystemClock
from pomelobank_node.callers import HttpLimits
from pomelobank_node.published import (
    Document,
    PublishedConfig,
    PublishedFeed,
    SourceError,
)
from pomelobank_node.published.tests import test_published
from pomelobank_node.published.tests.test_hand_over import (
    MANY_DATA_CENTRES,
    NODES,
    Simulation,
    running_feeds,
)
from pomelobank_node.published.tests.test_published import (
    create_feed,
    member,
    sent_frames,
)
from pomelobank_node.tests.virtual_time import VirtualTime, run_in_virtual_time
from pomelobank_node.workspaces import FreshnessQueries
from pomelobank_schema import WireMessage
from pomelobank_schema.generated.peer import (
    FreshnessQuery,
    FreshnessReply,
    VersionDigest,
)
from pomelobank_schema.generated.settings import WorkspaceSettings

REVOKE_MS = 5000
STRICT = WorkspaceSettings(strict_revoke=True, revoke_ms=REVOKE_MS)
TABLE = WorkspaceTable(by_name={"w": Workspace("w")})
# Time within which all nodes have a configuration and have queried their peers.
START_S = 3.0
# A node queries, and reads the source itself, several times in this time.
OUTAGE_S = 12.0
SAMPLE_S = 0.05


def decode(data: bytes) -> PublishedConfig:
    """Decodes a version, optionally with a suffix that differs in content."""
    config = test_published.decode(data.partition(b" ")[0])
    return attrs.evolve(config, workspaces=TABLE)


class Mesh:
    """The simulated nodes with their queries.

    Attributes:
        simulation: The simulated source and network.
        queries: The queries of each node by address.
        frames: Frames that arrived.
        lost: Frame types that the network loses.
        max_delay_s: Highest delay of queries and replies.
    """

    def __init__(self, nodes: dict[str, int], seed: int = 1) -> None:
        time = VirtualTime()
        self.simulation = Simulation(random.Random(seed), time, nodes)
        self.simulation.on_frame = self._on_frame
        self.queries: dict[str, FreshnessQueries] = {}
        self.frames = 0
        self.lost: tuple[type[WireMessage], ...] = ()
        self.max_delay_s = 0.0

    def _on_frame(self, address: str, frame: WireMessage) -> None:
        if isinstance(frame, self.lost):
            return
        delay_s = self.simulation.rng.uniform(0, self.max_delay_s)
        asyncio.get_running_loop().call_later(
            delay_s, self._arrive, address, frame
        )

    def _arrive(self, address: str, frame: WireMessage) -> None:
        if isinstance(frame, FreshnessQuery):
            self.frames += 1
            self.queries[address].receive_query(frame)
        elif isinstance(frame, FreshnessReply):
            self.frames += 1
            self.queries[address].receive_reply(frame)

    def start(self) -> None:
        for address, feed in self.simulation.feeds.items():
            feed.store.decode = decode
            queries = FreshnessQueries.of(feed, STRICT)
            queries.rng = random.Random(address)
            self.queries[address] = queries

    def accepting(self) -> set[str]:
        """Returns the nodes that accept keys now."""
        now_ms = int(self.simulation.time.now_s * 1000)
        return {
            address
            for address, queries in self.queries.items()
            if queries.accepts_keys(now_ms)
        }

    def addresses(self, role: ReadingRole) -> list[str]:
        now_ms = int(self.simulation.time.now_s * 1000)
        feeds = self.simulation.feeds
        return [a for a, f in feeds.items() if f.order.role(now_ms) is role]

    def cut_off(self, addresses: list[str], from_peers: bool = True) -> None:
        feeds = self.simulation.feeds
        nodes = {feeds[address].members.own.node for address in addresses}
        self.simulation.silenced.update(nodes)
        if from_peers:
            self.simulation.isolated.update(addresses)

    async def watch(self, duration_s: float) -> set[str]:
        """Returns the nodes that accept keys during a whole time."""
        accepting = self.accepting()
        until_s = self.simulation.time.now_s + duration_s
        while self.simulation.time.now_s < until_s:
            await asyncio.sleep(SAMPLE_S)
            accepting &= self.accepting()
        return accepting


@asynccontextmanager
async def running(mesh: Mesh) -> AsyncIterator[None]:
    async with running_feeds(mesh.simulation):
        mesh.start()
        for queries in mesh.queries.values():
            await queries.start()
        await asyncio.sleep(START_S)
        yield
        for queries in mesh.queries.values():
            await queries.stop()


def run(
    scenario: Callable[[Mesh], Awaitable[None]],
    nodes: dict[str, int] = NODES,
    seed: int = 1,
) -> Mesh:
    mesh = Mesh(nodes, seed)

    async def work() -> None:
        async with running(mesh):
            await scenario(mesh)

    run_in_virtual_time(mesh.simulation.time, work())
    return mesh


@pytest.mark.parametrize(
    "nodes",
    [pytest.param(NODES, id="few"), pytest.param(MANY_DATA_CENTRES, id="many")],
)
def test_a_healthy_mesh_accepts_keys_with_the_reads_of_three_nodes(
    nodes: dict[str, int],
) -> None:
    """Calls to the source are expensive and must not grow with the nodes."""

    async def scenario(mesh: Mesh) -> None:
        feeds = mesh.simulation.feeds.values()
        calls = mesh.simulation.calls
        assert await mesh.watch(OUTAGE_S) == set(mesh.queries)
        reads = mesh.simulation.calls - calls
        assert reads <= READER_COUNT * (OUTAGE_S / 0.7 + 1)
        assert not any(feed.read_requested for feed in feeds)

    run(scenario, nodes)


def test_a_node_that_reaches_nobody_stops_in_time() -> None:
    """A removed key must not run on a node that is cut off."""

    async def scenario(mesh: Mesh) -> None:
        (*_, node) = mesh.addresses(ReadingRole.FOLLOWER)
        mesh.cut_off([node])
        mesh.simulation.publish()
        await asyncio.sleep(REVOKE_MS / 1000)
        assert mesh.accepting() == set(mesh.queries) - {node}

    run(scenario)


def test_nodes_cut_off_together_stop_in_time() -> None:
    """Two nodes answer each other's queries, but neither reaches the source."""

    async def scenario(mesh: Mesh) -> None:
        centre = [a for a in mesh.queries if a.startswith("hobart")]
        cut_off = set(centre)
        mesh.simulation.silenced.update(
            mesh.simulation.feeds[address].members.own.node
            for address in centre
        )
        for address in centre:
            links = mesh.simulation.feeds[address].publisher.links
            mesh.simulation.feeds[address].publisher.links = Fence(  # type: ignore[assignment]
                links, cut_off
            )
        await asyncio.sleep(REVOKE_MS / 1000)
        assert not mesh.accepting() & cut_off
        assert mesh.accepting() == set(mesh.queries) - cut_off

    run(scenario)


class Fence:
    """Sends frames only to the given addresses."""

    def __init__(self, links: object, addresses: set[str]) -> None:
        self.links, self.addresses = links, addresses

    def to(self, address: str) -> object:
        known = address if address in self.addresses else "nowhere:1"
        return self.links.to(known)  # type: ignore[attr-defined]


@pytest.mark.parametrize("served", ["hobart-4:1", "burnie-3:1"])
def test_nodes_that_the_source_rejects_accept_keys(served: str) -> None:
    """The source answers a single node; the others learn from peers."""

    async def scenario(mesh: Mesh) -> None:
        mesh.simulation.rejected.update(
            feed.members.own.node
            for address, feed in mesh.simulation.feeds.items()
            if address != served
        )
        assert await mesh.watch(OUTAGE_S) == set(mesh.queries)

    run(scenario)


def test_the_loss_of_the_relays_rejects_no_key() -> None:
    """The readers, which are the relays too, stop; followers ask others."""

    async def scenario(mesh: Mesh) -> None:
        readers = mesh.addresses(ReadingRole.READER)
        mesh.cut_off(readers)
        followers = set(mesh.queries) - set(readers)
        assert await mesh.watch(OUTAGE_S) >= followers

    run(scenario)


def test_a_node_without_replies_reads_the_source_itself() -> None:
    """Heartbeats of peers arrive, but no reply does."""

    async def scenario(mesh: Mesh) -> None:
        mesh.lost = (FreshnessReply,)
        assert await mesh.watch(OUTAGE_S) == set(mesh.queries)

    run(scenario)


def test_an_outage_of_the_source_stops_all_nodes_and_ends(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Each node logs the change of its state only."""
    caplog.set_level(logging.INFO)

    async def scenario(mesh: Mesh) -> None:
        nodes = {f.members.own.node for f in mesh.simulation.feeds.values()}
        mesh.simulation.silenced.update(nodes)
        await asyncio.sleep(REVOKE_MS / 1000)
        assert not mesh.accepting()
        await asyncio.sleep(OUTAGE_S)
        mesh.simulation.silenced.clear()
        await asyncio.sleep(START_S)
        assert mesh.accepting() == set(mesh.queries)

    mesh = run(scenario)
    rejections = [r for r in caplog.records if r.msg == "keys.rejected"]
    # Once at the start, before the first reply, and once in the outage.
    assert len(rejections) <= 2 * len(mesh.queries)


async def cut_off_at_random(mesh: Mesh) -> None:
    """Cuts random nodes off from the source, their peers, or both."""
    simulation = mesh.simulation
    while True:
        await asyncio.sleep(simulation.rng.uniform(0, 3))
        affected = simulation.rng.sample(sorted(mesh.queries), 5)
        mesh.cut_off(affected, from_peers=simulation.rng.random() < 0.7)
        await asyncio.sleep(simulation.rng.uniform(0, 8))
        simulation.silenced.clear()
        simulation.isolated.clear()


async def removed_keys_that_run(mesh: Mesh, duration_s: float) -> set[str]:
    """Publishes versions; returns nodes that accept keys of an old one."""
    simulation, found = mesh.simulation, set[str]()
    published_s: dict[int, float] = {}
    until_s = simulation.time.now_s + duration_s
    while simulation.time.now_s < until_s:
        if simulation.rng.random() < SAMPLE_S / 3:
            simulation.publish()
            published_s[simulation.version] = simulation.time.now_s
        await asyncio.sleep(SAMPLE_S)
        bound_s = simulation.time.now_s - REVOKE_MS / 1000
        in_force = max([1] + [v for v, s in published_s.items() if s < bound_s])
        found |= {
            address
            for address in mesh.accepting()
            if simulation.feeds[address].store.version < in_force
        }
    return found


@pytest.mark.parametrize("seed", range(3))
def test_no_node_accepts_an_old_version_past_the_bound(seed: int) -> None:
    """Nodes are cut off at random; queries and replies take up to 4 s."""

    async def scenario(mesh: Mesh) -> None:
        mesh.max_delay_s = 4.0
        faults = asyncio.create_task(cut_off_at_random(mesh))
        assert await removed_keys_that_run(mesh, 60.0) == set()
        faults.cancel()
        assert any(queries.rejected for queries in mesh.queries.values())

    run(scenario, MANY_DATA_CENTRES, seed)


def test_nothing_is_sent_without_workspaces() -> None:
    """Nodes of an older version could not read the frames."""

    async def scenario(mesh: Mesh) -> None:
        await mesh.watch(OUTAGE_S)

    mesh = Mesh(NODES)
    mesh.start = lambda: mesh.queries.update(  # type: ignore[method-assign]
        {
            address: FreshnessQueries.of(feed, STRICT)
            for address, feed in mesh.simulation.feeds.items()
        }
    )

    async def work() -> None:
        async with running(mesh):
            await scenario(mesh)

    run_in_virtual_time(mesh.simulation.time, work())
    assert mesh.frames == 0


# Single nodes with a manual or the system's clock.


def create_queries(source: test_published.Source) -> FreshnessQueries:
    feed = create_feed(source, member("near", "hobart"))
    feed.store.decode = decode
    return FreshnessQueries.of(feed, STRICT)


def clock_of(queries: FreshnessQueries) -> ManualClock:
    clock = queries.feed.clock
    assert isinstance(clock, ManualClock)
    return clock


def test_a_frozen_process_rejects_keys_when_it_wakes() -> None:
    """No task of the process runs before the first request after the pause."""
    queries = create_queries(test_published.Source())
    queries.freshness.on_read(1000)
    clock = clock_of(queries)
    clock.advance(REVOKE_MS)
    assert not queries.accepts_keys(clock.now_ms())
    assert queries.rejected == 1


def test_a_suspended_machine_rejects_keys_when_it_wakes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The monotonic clock stands still while the machine is suspended."""
    clocks = {system_time.CLOCK_MONOTONIC: 10, system_time.CLOCK_BOOTTIME: 10}
    monkeypatch.setattr(
        system_time, "clock_gettime_ns", lambda c: clocks[c] * 10**9
    )
    queries = create_queries(test_published.Source())
    clock = SystemClock()
    queries.freshness.on_read(clock.now_ms())
    assert queries.accepts_keys(clock.now_ms())
    clocks[system_time.CLOCK_BOOTTIME] += 60
    assert not queries.accepts_keys(clock.now_ms())


@pytest.mark.parametrize("step_s", [-3600, 3600])
def test_a_step_of_the_time_of_day_changes_nothing(
    monkeypatch: pytest.MonkeyPatch, step_s: int
) -> None:
    queries = create_queries(test_published.Source())
    clock = SystemClock()
    queries.freshness.on_read(clock.now_ms())
    stepped_ns = system_time.time_ns() + step_s * 10**9
    monkeypatch.setattr(system_time, "time_ns", lambda: stepped_ns)
    assert queries.freshness.age_ms(clock.now_ms()) in range(1000)


async def read(feed: PublishedFeed) -> None:
    """Lets a feed read until its source has nothing left."""
    source = feed.source
    assert isinstance(source, test_published.Source)
    await feed.start()
    async with asyncio.timeout(test_published.TEST_TIMEOUT_S):
        await source.idle.wait()
    await feed.stop()


class SlowSource(test_published.Source):
    """Advances the clock while it responds."""

    clock: ManualClock

    async def _next(self, position: int | None) -> Document | None:
        document = await super()._next(position)
        self.clock.advance(600)
        return document


async def test_a_read_counts_from_its_beginning() -> None:
    """The source may have read its state before a change during the read."""
    source = SlowSource(Document(b"7", 4))
    queries = create_queries(source)
    source.clock = clock_of(queries)
    began_ms = source.clock.now_ms()
    await read(queries.feed)
    assert queries.freshness.known_as_of_ms == began_ms


@pytest.mark.parametrize(
    ("documents", "counted"),
    [
        pytest.param([Document(b"6", 4)], 1, id="an older version"),
        pytest.param([Document(b"7 b", 4)], 0, id="a version used twice"),
        pytest.param([Document(b"?", 4)], 0, id="unreadable"),
        pytest.param([Document(b"8", 4, False)], 0, id="a part of the records"),
        pytest.param(
            [
                Document(b"7", 4),
                Document(b"?", 5),
                SourceError("down"),
                Document(b"?", 5),
            ],
            3,
            id="the next one unreadable",
        ),
        pytest.param(
            [Document(b"7", 4), Document(b"?", 6), None],
            1,
            id="an unread one replaced by an unreadable one",
        ),
    ],
)
async def test_a_read_counts_if_its_state_is_in_force(
    documents: list[Document | SourceError | None], counted: int
) -> None:
    """Keys that an unapplied document removed would go on being accepted.

    The source that came back from an older copy has an older version; the
    configuration in force then stays until the operator writes again.
    """
    queries = create_queries(test_published.Source(*documents))
    queries.feed.store.offer(b"7", "test", 0)
    began_ms: list[int] = []
    queries.feed.on_read.append(began_ms.append)
    await read(queries.feed)
    assert len(began_ms) == counted


async def test_peers_do_not_read_past_a_state_that_is_not_in_force() -> None:
    """A peer that takes over would count its reads from the position on."""
    replaced = [Document(b"7", 4), Document(b"?", 6), None]
    queries = create_queries(test_published.Source(*replaced))
    await read(queries.feed)
    digests = [
        frame
        for _, frame in sent_frames(queries.feed)
        if isinstance(frame, VersionDigest) and frame.heartbeat
    ]
    assert digests[-1].next_offset == 0


@pytest.mark.parametrize(
    ("log_era", "version", "counted"),
    [
        pytest.param(2, 7, True, id="same era"),
        pytest.param(1, 7, False, id="earlier era"),
        pytest.param(2, 8, False, id="newer version"),
        pytest.param(2, 6, True, id="older version"),
    ],
)
async def test_a_reply_counts_if_its_state_is_in_force(
    log_era: int, version: int, counted: bool
) -> None:
    """A peer of an earlier era may have read records that the source lost."""
    queries = create_queries(test_published.Source())
    queries.feed.store.offer(b"7", "test", 0)
    queries.feed.era.advance(2)
    queries.freshness.on_query(1, 1000)
    queries.receive_reply(
        FreshnessReply(
            query_id=1, version=version, log_era=log_era, address="near:1"
        )
    )
    assert (queries.freshness.known_as_of_ms is not None) == counted


async def test_a_started_node_rejects_keys_until_the_first_reply() -> None:
    """Its configuration came from a peer that may be cut off."""
    queries = create_queries(test_published.Source())
    queries.feed.store.offer(b"7", "near:1", 0)
    queries.tick()
    now_ms = clock_of(queries).now_ms()
    assert not queries.accepts_keys(now_ms)
    await asyncio.sleep(0)
    (query,) = [
        frame
        for _, frame in sent_frames(queries.feed)
        if isinstance(frame, FreshnessQuery)
    ]
    queries.receive_reply(FreshnessReply(query_id=query.query_id, version=7))
    assert queries.accepts_keys(now_ms)


def test_a_reply_to_an_earlier_process_does_not_count() -> None:
    """A restarted node gets a reply that was under way for seconds."""
    first = create_queries(test_published.Source())
    restarted = create_queries(test_published.Source())
    assert abs(first.last_id - restarted.last_id) > 10**6


def test_the_published_configuration_has_no_workspaces_by_default() -> None:
    config = PublishedConfig(RouteTable(1, {}), HttpLimits())
    assert not config.workspaces.enabled
