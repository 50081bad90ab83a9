"""A mesh of nodes and targets in one process, in virtual time.

The forwarder, the admission queue, admission, load balancing, retries and
hedging are the product's own code. Streams between nodes are replaced by a
delay, and targets by a model.
"""

import asyncio
import math
import random
from typing import cast

import attrs

from pomelobank_core import (
    DeadlineAdmission,
    ErrorKind,
    Hedging,
    MemberTable,
    MeshRetryBudget,
    Ramp,
    RetryPolicy,
    TwoChoices,
)
from pomelobank_node._bodies import BodySource, rest_of, with_rest
from pomelobank_node._crash_reports import CrashReports
from pomelobank_node._forwarder import Forwarder
from pomelobank_node._outgoing_stream import SlotAcceptor
from pomelobank_node._owner import Owner, Target
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node._requests import (
    ForwardReply,
    ForwardRequest,
    RequestError,
    error_reply,
)
from pomelobank_node.tests.virtual_time import VirtualClock, VirtualTime
from pomelobank_schema.generated.peer import MemberEntry
from pomelobank_schema.generated.settings import RequestSettings
from pomelobank_testing.experiment._mechanisms import MECHANISMS, ModelNode
from pomelobank_testing.experiment._patterns import (
    Pattern,
    RouteLoad,
    TargetGroup,
)
from pomelobank_testing.experiment._target import ModelTarget

_MS_PER_S = 1000
# One-way network delay between nodes of one data centre, and between nodes of
# two data centres.
_LOCAL_ONE_WAY_MS = 0.4
_REMOTE_ONE_WAY_MS = 1.6
_DATA_CENTRES = ("a", "a", "b", "c")
# An operator's settings for the retry budget: retries as a fraction of the
# requests, further retries for the whole mesh, and the window of both.
_RETRY_RATIO = 0.2
_RETRY_SLACK_ATTEMPTS = 56
_RETRY_WINDOW_MS = 10_000
# Size of a request's or response's frame without the body.
_FRAME_HEAD_BYTES = 450
_DEPARTURE_CHECK_INTERVAL_S = 0.05
_SUCCESS_STATUS = 200


def is_success(reply: ForwardReply) -> bool:
    """Tells whether a reply is a target's successful response."""
    return not reply.error and reply.status == _SUCCESS_STATUS


@attrs.define(eq=False)
class _Uplink:
    """A node's outgoing network link; frames are transmitted in order."""

    bytes_per_s: int
    free_at_s: float = 0.0

    async def transmit(self, size: int) -> None:
        if not self.bytes_per_s:
            return
        now_s = asyncio.get_running_loop().time()
        self.free_at_s = max(now_s, self.free_at_s) + size / self.bytes_per_s
        await asyncio.sleep(self.free_at_s - now_s)


@attrs.define(eq=False)
class _TransmittedBody:
    """A body whose transmission over a link starts when it is read."""

    body: BodySource
    link: "_Link"
    started: bool = False

    async def read(self) -> bytes:
        self.started = True
        data = await self.body.read()
        if data:
            await asyncio.sleep(self.link.one_way_s)
            await self.link.request_uplink.transmit(len(data))
            await asyncio.sleep(self.link.one_way_s)
        return data

    def close(self) -> None:
        self.body.close()


@attrs.define(eq=False)
class _Link:
    """A link to one node."""

    node: ModelNode
    one_way_s: float
    pattern: Pattern
    request_uplink: _Uplink
    reply_uplink: _Uplink

    async def forward(
        self, request: ForwardRequest, on_slot: SlotAcceptor | None = None
    ) -> ForwardReply:
        async def offer_slot() -> bool:
            await asyncio.sleep(self.one_way_s)
            accepted = on_slot is not None and on_slot()
            await asyncio.sleep(self.one_way_s)
            return accepted

        await self.request_uplink.transmit(
            _FRAME_HEAD_BYTES + len(request.body)
        )
        await asyncio.sleep(self.one_way_s)
        remaining_body = rest_of(request)
        reply = await self.node.owner.serve(
            with_rest(
                request,
                remaining_body and _TransmittedBody(remaining_body, self),
            ),
            offer_slot if request.bind_late else None,
        )
        route = self.pattern.route(request.route)
        answer_bytes = route.answer_bytes if is_success(reply) else 0
        await self.reply_uplink.transmit(_FRAME_HEAD_BYTES + answer_bytes)
        await asyncio.sleep(self.one_way_s)
        return reply

    async def send(self, frame: object) -> None:
        return


@attrs.define(eq=False)
class _Links:
    """Replaces a node's streams to its peers."""

    mesh: "ModelMesh"
    own_node: str
    own_data_centre: str

    def to(self, address: str) -> _Link:
        node = self.mesh.by_address[address]
        data_centre = node.forwarder.members.own.data_centre
        one_way_ms = (
            _LOCAL_ONE_WAY_MS
            if data_centre == self.own_data_centre
            else _REMOTE_ONE_WAY_MS
        )
        uplinks = self.mesh.uplinks
        return _Link(
            node,
            one_way_ms / _MS_PER_S,
            self.mesh.pattern,
            uplinks[self.own_node],
            uplinks[node.name],
        )


@attrs.define(eq=False)
class ModelMesh:
    """Nodes, each beside a target.

    Attributes:
        pattern: The load pattern.
        time: The virtual time of the run.
        rng: Source of randomness.
        without: Names of the mechanisms that are switched off.
        nodes: The nodes.
        by_address: The nodes, by address.
        targets: The nodes' targets.
        uplinks: The nodes' outgoing network links, by node.
        seed: Seed of the run.
        powered: Set while nodes and targets have power.
        callers: Attempts of callers that nodes work on.
    """

    pattern: Pattern
    time: VirtualTime
    rng: random.Random
    without: frozenset[str] = frozenset()
    seed: int = 0
    nodes: list[ModelNode] = attrs.field(factory=list)
    by_address: dict[str, ModelNode] = attrs.field(factory=dict)
    targets: list[ModelTarget] = attrs.field(factory=list)
    uplinks: dict[str, _Uplink] = attrs.field(factory=dict)
    powered: asyncio.Event = attrs.field(factory=asyncio.Event)
    callers: set[asyncio.Task[ForwardReply]] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.powered.set()
        self._start_all()

    def _start_all(self) -> None:
        self.nodes.clear()
        positions = [
            (group, number)
            for group in self.pattern.groups
            for number in range(len(group.work_factors))
        ]
        entries = [
            _entry(group, number, port)
            for port, (group, number) in enumerate(positions, start=1)
        ]
        for entry in entries:
            self._add_node(entry, entries)
        for group, number in positions:
            self._add_target(group, number)

    def _add_node(self, own: MemberEntry, entries: list[MemberEntry]) -> None:
        clock = VirtualClock(self.time)
        table = MemberTable(own)
        table.merge(entry for entry in entries if entry is not own)
        # Implements only the methods that the forwarder and the crash reports
        # call.
        links = cast(PeerLinks, _Links(self, own.node, own.data_centre))
        reports = CrashReports(table, links, clock)
        settings = RequestSettings(admission="by_deadline", slots=own.slots)
        owner = Owner(settings, clock, reports, rng=self.rng)
        forwarder = Forwarder(
            table,
            owner,
            links,
            clock,
            TwoChoices(self.rng, Ramp(0.5, 3000)),
            retry_header=b"",
            retries=RetryPolicy(
                self.rng, new_budget=self._budget, free_rejections=True
            ),
            hedging=Hedging(),
            uplink_bytes_per_ms=self.pattern.link_bytes_per_s / _MS_PER_S
            or math.inf,
        )
        node = ModelNode(own.node, forwarder, owner)
        self.uplinks[own.node] = _Uplink(self.pattern.link_bytes_per_s)
        for name in self.without:
            MECHANISMS[name](node)
        admission = owner.admission_queue.admission
        assert isinstance(admission, DeadlineAdmission)
        # The admission's default source of randomness spreads the retries of
        # refused callers. It is not seeded by the run, so two runs of one
        # seed would differ.
        admission.rng = self.rng
        self.nodes.append(node)
        self.by_address[own.peer_address] = node

    def _budget(self) -> MeshRetryBudget:
        return MeshRetryBudget(
            _RETRY_RATIO,
            _RETRY_SLACK_ATTEMPTS,
            _RETRY_WINDOW_MS,
            lambda: len(self.nodes),
        )

    def _add_target(self, group: TargetGroup, number: int) -> None:
        node = self._node_beside(group, number)

        async def call(route: RouteLoad, deadline_s: float) -> bool:
            now_s = asyncio.get_running_loop().time()
            remaining_ms = min(
                route.deadline_ms, (deadline_s - now_s) * _MS_PER_S
            )
            reply = await self.send(node, route, remaining_ms)
            return is_success(reply)

        target = ModelTarget(
            self.pattern, group, number, self.rng, call, self.seed
        )
        self.targets.append(target)
        node.owner.target = Target(group.upstream, node.name, group.slots)
        node.owner.pool = target  # type: ignore[assignment]

    async def run_power_loss(self) -> None:
        """Ends and restarts all nodes and targets as the pattern says."""
        loss = self.pattern.power_loss
        if loss is None:
            return
        await asyncio.sleep(loss.at_s)
        self.powered.clear()
        for task in self.callers:
            task.cancel()
        await asyncio.sleep(loss.length_s)
        self._start_all()
        self.powered.set()

    async def send_from_caller(
        self, entry: ModelNode, route: RouteLoad, remaining_ms: float
    ) -> ForwardReply:
        """Sends a caller's request to a node; without power it can't connect.

        Args:
            entry: The node.
            route: The request's route.
            remaining_ms: Time left before the caller's deadline.

        Returns:
            The target's response or an error reply. A request that could not
            be sent, or that was cut off, gets its reply when the power
            returns, because callers then connect again at once.
        """
        if not self.powered.is_set():
            await self.powered.wait()
            return error_reply(0, RequestError(ErrorKind.NOT_READY))
        node = next(item for item in self.nodes if item.name == entry.name)
        task = asyncio.create_task(self.send(node, route, remaining_ms))
        self.callers.add(task)
        try:
            return await task
        except asyncio.CancelledError:
            if self.powered.is_set():
                raise
            await self.powered.wait()
            return error_reply(0, RequestError(ErrorKind.PEER_LOST))
        finally:
            self.callers.discard(task)

    async def send(
        self, entry: ModelNode, route: RouteLoad, remaining_ms: float
    ) -> ForwardReply:
        """Sends a caller's request to a node.

        Args:
            entry: The node.
            route: The request's route.
            remaining_ms: Time left before the caller's deadline.

        Returns:
            The target's response or an error reply.
        """
        request = ForwardRequest(
            upstream=route.upstream,
            route=route.name,
            method="GET",
            target=route.name.encode(),
            body=bytes(route.body_bytes),
            remaining_ms=int(
                min(remaining_ms, route.timeout_ms or remaining_ms)
            ),
            traffic_class="interactive",
            idempotent=route.idempotent,
            max_attempts=2,
            aim_ms=route.aim_ms,
            priority=route.priority,
            spent_ms=entry.caller_timeouts.elapsed_ms(
                route.name, int(remaining_ms)
            ),
        )
        if request.remaining_ms <= 0:
            return error_reply(0, RequestError(ErrorKind.DEADLINE_NOT_RUN))
        try:
            return await entry.forwarder.forward(request)
        except RequestError as error:
            return error_reply(0, error)

    async def run_departures(self) -> None:
        """Removes and returns targets as the pattern's faults say."""
        while True:
            for target in self.targets:
                self._update_membership(target)
            await asyncio.sleep(_DEPARTURE_CHECK_INTERVAL_S)

    def _node_beside(self, group: TargetGroup, number: int) -> ModelNode:
        name = group.node(number)
        return next(item for item in self.nodes if item.name == name)

    def _update_membership(self, target: ModelTarget) -> None:
        node = self._node_beside(target.group, target.number)
        removed = target.is_removed()
        own = node.forwarder.members.own
        if removed == (own.upstream == ""):
            return
        upstream = "" if removed else target.group.upstream
        node.forwarder.members.update_own(upstream=upstream)
        for other in self.nodes:
            if other is not node:
                other.forwarder.members.merge([node.forwarder.members.own])


def _entry(group: TargetGroup, number: int, port: int) -> MemberEntry:
    return MemberEntry(
        node=group.node(number),
        incarnation=1,
        state="ready",
        data_centre=_DATA_CENTRES[number % len(_DATA_CENTRES)],
        peer_address=f"127.0.0.1:{port}",
        upstream=group.upstream,
        slots=group.slots,
    )
