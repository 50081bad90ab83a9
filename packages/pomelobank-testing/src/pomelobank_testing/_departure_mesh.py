"""Registries of many nodes in virtual time, with drawn faults."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import attrs

from pomelobank_core import ErrorKind, MemberTable
from pomelobank_node._log import LogError, LogErrorKind
from pomelobank_node._log_era import LogEra
from pomelobank_node._requests import RequestError
from pomelobank_node.departures import (
    DepartureLog,
    DepartureNotKeptError,
    DepartureRegistry,
)
from pomelobank_node.tests.virtual_time import VirtualClock, VirtualTime
from pomelobank_schema import WireMessage
from pomelobank_schema.generated.peer import MemberEntry
from pomelobank_schema.generated.records import (
    DepartureRecord,
    TargetAnnouncement,
)

FRAME_S = 0.005
# Time from a start until the node knows its peers, and from the end of a node
# until its peers count it as gone.
JOIN_S = 0.4
JOINED_S = JOIN_S + 0.2
DETECTION_S = 4.0
STABILITY_WINDOW_S = 3.0
CHECK_PERIOD_S = 0.05


@attrs.define(eq=False)
class SharedLog:
    """The log of all nodes.

    Attributes:
        records: Newest record of each key.
        available: Whether calls succeed.
        silent: Whether calls that fail get no response.
    """

    records: dict[str, bytes] = attrs.field(factory=dict)
    available: bool = True
    silent: bool = False
    era: LogEra = attrs.field(factory=LogEra)

    async def _call(self) -> None:
        await asyncio.sleep(FRAME_S)
        if not self.available:
            await asyncio.sleep(0.5 if self.silent else 0)
            raise LogError(LogErrorKind.UNKNOWN, "unavailable")

    async def put_keyed(self, stream: str, key: str, record: bytes) -> None:
        """Stores the newest record of a key."""
        await self._call()
        self.records[key] = record

    async def drop_keyed(self, stream: str, key: str) -> None:
        """Does nothing; runs are shorter than the retention time."""
        await self._call()

    async def read_keyed(self, stream: str) -> list[bytes]:
        """Returns the newest record of each key."""
        await self._call()
        return list(self.records.values())


@attrs.define(eq=False)
class Node:
    """A node, its present process and its target.

    Attributes:
        registry: The registry of the present process; None while it is down.
        table: Members that this process knows.
        frozen: Whether the process neither sends nor receives.
        disturbed_s: Time at which the process last started or was resumed.
        target: The present instance of the target.
        acknowledged: Whether the departure of that instance was acknowledged.
        excused: Whether no one could tell this process of the departure when
            it became complete.
    """

    name: str
    mesh: "DepartureMesh"
    registry: DepartureRegistry | None = None
    table: MemberTable = attrs.field(init=False)
    frozen: bool = False
    disturbed_s: float = 0.0
    starts: int = 0
    target: str = ""
    acknowledged: bool = False
    excused: bool = False
    frame_handlers: dict[type, Callable[[WireMessage], None]] = attrs.field(
        factory=dict
    )

    # The parts of `Membership` and `PeerLinks` that a registry uses.
    on_tick: list[Callable[[int], None]] = attrs.field(factory=list)
    joined: asyncio.Event = attrs.field(factory=asyncio.Event)
    pauses: int = 0

    @property
    def links(self) -> "Node":
        """The streams to peers."""
        return self

    @property
    def swim(self) -> "Node":
        """The failure detector, of which only `pauses` is used."""
        return self

    @property
    def finder(self) -> "Node":
        """The contact finder, of which only `joined` is used."""
        return self

    def to(self, address: str) -> "Link":
        """Returns the link to a node."""
        return Link(self, self.mesh.nodes[address])

    def knows(self, instance: str) -> bool:
        """Returns whether the present process knows of a departure."""
        return self.registry is not None and self.registry.known.has_departed(
            TargetAnnouncement(
                upstream="u", address="127.0.0.1:1", slots=1, instance=instance
            )
        )

    async def start(self, first_start: bool = False) -> None:
        """Starts a process, which joins the mesh later."""
        self.starts += 1
        start = self.starts
        self.table = MemberTable(
            MemberEntry(node=self.name, state="ready", peer_address=self.name)
        )
        self.frame_handlers, self.on_tick = {}, []
        self.joined, self.excused = asyncio.Event(), False
        membership: Any = self
        self.registry = DepartureRegistry(
            DepartureLog(self.mesh.log),  # type: ignore[arg-type]
            membership,
            self.mesh.clock,
            first_start,
        )
        self.disturbed_s = self.mesh.time.now_s
        await self.registry.start()
        await asyncio.sleep(JOIN_S)
        if self.starts == start and self.registry is not None:
            self.mesh.introduce(self)

    async def kill(self) -> None:
        """Ends the present process."""
        registry, self.registry = self.registry, None
        if registry is not None:
            await registry.stop()
            self.mesh.spawn(self.mesh.detect_end(self, self.starts))

    async def freeze(self, duration_s: float) -> None:
        """Suspends the present process."""
        self.frozen = True
        await asyncio.sleep(duration_s)
        self.frozen = False
        self.disturbed_s = self.mesh.time.now_s
        self.pauses += 1

    async def depart(self) -> None:
        """Announces the target's departure until it is acknowledged."""
        instance = self.target
        for _ in range(8):
            if self.registry is not None and not self.frozen:
                record = self.registry.add(DepartureRecord(instance=instance))
                try:
                    await self.registry.keep(record)
                except DepartureNotKeptError:
                    pass
                else:
                    self.acknowledged = self.target == instance
                    self.mesh.check_kept(self)
                    return
            await asyncio.sleep(0.5)


@attrs.define(eq=False)
class Link:
    """Delivers the frames of one node to another one."""

    source: Node
    destination: Node

    async def send(self, frame: WireMessage) -> None:
        """Sends a frame.

        Raises:
            RequestError: If the destination is down.
        """
        if self.destination.registry is None:
            raise RequestError(ErrorKind.PEER_UNREACHABLE)
        starts = self.source.starts, self.destination.starts
        self.source.mesh.spawn(self._deliver(frame, starts))

    async def _deliver(
        self, frame: WireMessage, starts: tuple[int, int]
    ) -> None:
        if await self._pass(starts) and self.destination.registry is not None:
            self.destination.registry.peers.receive_request(
                frame,  # type: ignore[arg-type]
                lambda reply: self.source.mesh.spawn(
                    self._deliver_reply(reply, starts)
                ),
            )

    async def _deliver_reply(
        self, reply: WireMessage, starts: tuple[int, int]
    ) -> None:
        if await self._pass(starts):
            self.source.frame_handlers[type(reply)](reply)

    async def _pass(self, starts: tuple[int, int]) -> bool:
        await asyncio.sleep(FRAME_S)
        while self.source.frozen or self.destination.frozen:  # noqa: ASYNC110
            await asyncio.sleep(CHECK_PERIOD_S)
        alive = self.source.registry and self.destination.registry
        return bool(alive) and starts == (
            self.source.starts,
            self.destination.starts,
        )


@attrs.define(eq=False)
class DepartureMesh:
    """A mesh whose targets depart while nodes and the log fail.

    Attributes:
        rng: Draws the faults.
        problems: Departures that were acknowledged and forgotten.
        acknowledgements: Number of acknowledged departures.
        excuses: Number of processes that nobody could tell of a departure.
    """

    rng: random.Random
    time: VirtualTime = attrs.field(factory=VirtualTime)
    log: SharedLog = attrs.field(factory=SharedLog)
    nodes: dict[str, Node] = attrs.field(factory=dict)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    problems: list[str] = attrs.field(factory=list)
    acknowledgements: int = 0
    excuses: int = 0

    @property
    def clock(self) -> VirtualClock:
        """A clock of the virtual time."""
        return VirtualClock(self.time)

    def spawn(self, work: Any) -> None:
        """Runs a coroutine until the end of the run."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def introduce(self, node: Node) -> None:
        """Makes a node and its peers known to each other."""
        for other in self.nodes.values():
            if other.registry is not None and other is not node:
                node.table.merge((other.table.own,))
                other.table.others.pop(node.name, None)
                other.table.merge((node.table.own,))
                other.joined.set()
                node.joined.set()

    async def detect_end(self, node: Node, start: int) -> None:
        """Marks a node as gone unless it starts again in time."""
        await asyncio.sleep(DETECTION_S)
        if node.starts == start and node.registry is None:
            for other in self.nodes.values():
                gone = attrs.evolve(node.table.own, state="gone")
                other.table.merge((gone,))

    async def run(self, node_count: int, duration_s: float) -> None:
        """Plays the seed; the findings are in `problems`."""
        for number in range(node_count):
            node = Node(f"node-{number}", self, target=f"{number}-0")
            self.nodes[node.name] = node
        for node in self.nodes.values():
            self.spawn(node.start(first_start=True))
        await asyncio.sleep(1)
        for node in self.nodes.values():
            self.spawn(self._replace_targets(node))
            self.spawn(self._disturb(node))
        self.spawn(self._disturb_log())
        self.spawn(self._check())
        await asyncio.sleep(duration_s)
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for node in self.nodes.values():
            await node.kill()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _replace_targets(self, node: Node) -> None:
        for number in range(1, 1000):
            await asyncio.sleep(self.rng.uniform(1, 10))
            await node.depart()
            self.acknowledgements += node.acknowledged
            await asyncio.sleep(self.rng.uniform(5, 15))
            node.target = f"{node.name}-{number}"
            node.acknowledged = node.excused = False

    async def _disturb(self, node: Node) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(2, 12))
            if self.rng.random() < 1 / 3:
                await node.freeze(self.rng.uniform(0.2, 3))
                continue
            herd = [node]
            if self.rng.random() < 1 / 6:
                herd = list(self.nodes.values())
            for other in herd:
                await other.kill()
            await asyncio.sleep(self.rng.uniform(0.1, 1))
            for other in herd:
                if other.registry is None:
                    self.spawn(other.start())

    async def _disturb_log(self) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(2, 8))
            self.log.silent = self.rng.random() < 1 / 2
            self.log.available = False
            await asyncio.sleep(self.rng.uniform(2, 10))
            self.log.available = True

    async def _check(self) -> None:
        log_available_s = 0.0
        loading: set[Node] = set()
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            log_available_s += CHECK_PERIOD_S
            if not self.log.available:
                log_available_s = 0.0
            for node in self.nodes.values():
                for callback in node.on_tick:
                    callback(self.clock.now_ms())
                if node.registry is None:
                    continue
                if not node.registry.complete.is_set():
                    loading.add(node)
                    continue
                if node in loading:
                    loading.discard(node)
                    node.excused = self._is_excused(node)
                    self.excuses += node.excused and node.acknowledged
                self._check_node(node, log_available_s)

    def check_kept(self, node: Node) -> None:
        """Checks that a peer has the departure that a node acknowledges."""
        others = [
            other
            for other in self.nodes.values()
            if other is not node and other.registry and not other.frozen
        ]
        calm_s = self.time.now_s - STABILITY_WINDOW_S
        if any(other.disturbed_s < calm_s for other in others) and not any(
            other.knows(node.target) for other in others
        ):
            self.problems.append(
                f"{self.time.now_s:.2f} s: only {node.name} knows {node.target}"
            )

    def _is_excused(self, node: Node) -> bool:
        """Returns whether no one that can be told from a lost node knew.

        The only excuse is a peer that is complete, and all that know the
        departure being lost or silent. Without such a peer the node has to wait
        for the log.
        """
        others = [
            other
            for other in self.nodes.values()
            if other is not node and other.registry and not other.frozen
        ]
        known = any(
            other.knows(node.target)
            and self.time.now_s - other.disturbed_s > JOINED_S
            for other in others
        )
        complete = any(
            other.registry.complete.is_set()
            and other.disturbed_s < node.disturbed_s
            for other in others
            if other.registry
        )
        return complete and not known and not self.log.available

    def _check_node(self, node: Node, log_available_s: float) -> None:
        calm_s = self.time.now_s - node.disturbed_s
        if node.frozen or calm_s < STABILITY_WINDOW_S:
            return
        told = not node.excused or log_available_s > STABILITY_WINDOW_S
        if node.acknowledged and told and not node.knows(node.target):
            self.problems.append(
                f"{self.time.now_s:.2f} s: {node.name} forgot {node.target}"
            )
