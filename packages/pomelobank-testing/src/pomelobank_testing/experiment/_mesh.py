"""A mesh of nodes and targets in one process, in virtual time.

Forwarder, gate, admission, placing, retries and hedging are the product's own;
streams between nodes are replaced by a pause, targets by a model.
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
# One way between nodes of one data centre, and between two.
_NEAR_MS = 0.4
_FAR_MS = 1.6
_DATA_CENTRES = ("a", "a", "b", "c")
# An operator's bounds on tries beyond the first: part of the requests, tries
# beside that for the whole mesh, window in ms.
_RETRY_RATIO = 0.2
_RETRY_SLACK = 56
_RETRY_WINDOW_MS = 10_000
# A frame of a request or an answer without its body.
_HEAD_BYTES = 450
_LEFT_CHECK_S = 0.05
_SUCCESS = 200


def is_success(reply: ForwardReply) -> bool:
    """Tells whether a target has answered with success."""
    return not reply.error and reply.status == _SUCCESS


@attrs.define(eq=False)
class _Line:
    """A node's line, one way; what is sent waits for what was sent before."""

    bytes_per_s: int
    free_at_s: float = 0.0

    async def carry(self, size: int) -> None:
        if not self.bytes_per_s:
            return
        now_s = asyncio.get_running_loop().time()
        self.free_at_s = max(now_s, self.free_at_s) + size / self.bytes_per_s
        await asyncio.sleep(self.free_at_s - now_s)


@attrs.define(eq=False)
class _LineBody:
    """A body that crosses a link when it is read."""

    body: BodySource
    link: "_Link"
    started: bool = False

    async def read(self) -> bytes:
        self.started = True
        data = await self.body.read()
        if data:
            await asyncio.sleep(self.link.pause_s)
            await self.link.out.carry(len(data))
            await asyncio.sleep(self.link.pause_s)
        return data

    def close(self) -> None:
        self.body.close()


@attrs.define(eq=False)
class _Link:
    """The way to one node."""

    node: ModelNode
    pause_s: float
    pattern: Pattern
    out: _Line
    back: _Line

    async def forward(
        self, request: ForwardRequest, on_slot: SlotAcceptor | None = None
    ) -> ForwardReply:
        async def offer_slot() -> bool:
            await asyncio.sleep(self.pause_s)
            taken = on_slot is not None and on_slot()
            await asyncio.sleep(self.pause_s)
            return taken

        await self.out.carry(_HEAD_BYTES + len(request.body))
        await asyncio.sleep(self.pause_s)
        rest = rest_of(request)
        reply = await self.node.owner.serve(
            with_rest(request, rest and _LineBody(rest, self)),
            offer_slot if request.bind_late else None,
        )
        route = self.pattern.route(request.route)
        answer_bytes = route.answer_bytes if is_success(reply) else 0
        await self.back.carry(_HEAD_BYTES + answer_bytes)
        await asyncio.sleep(self.pause_s)
        return reply

    async def send(self, frame: object) -> None:
        return


@attrs.define(eq=False)
class _Links:
    """Stands in place of a node's streams to its peers."""

    mesh: "ModelMesh"
    own_node: str
    own_centre: str

    def to(self, address: str) -> _Link:
        node = self.mesh.by_address[address]
        centre = node.forwarder.members.own.data_centre
        pause_ms = _NEAR_MS if centre == self.own_centre else _FAR_MS
        lines = self.mesh.lines
        return _Link(
            node,
            pause_ms / _MS_PER_S,
            self.mesh.pattern,
            lines[self.own_node],
            lines[node.name],
        )


@attrs.define(eq=False)
class ModelMesh:
    """Nodes, each beside a target.

    Attributes:
        pattern: The load.
        time: The time of the run.
        rng: Source of randomness.
        without: Mechanisms that are switched off.
        nodes: The nodes.
        by_address: The nodes, by address.
        targets: Their targets.
        lines: The nodes' outgoing lines, by node.
    """

    pattern: Pattern
    time: VirtualTime
    rng: random.Random
    without: frozenset[str] = frozenset()
    nodes: list[ModelNode] = attrs.field(factory=list)
    by_address: dict[str, ModelNode] = attrs.field(factory=dict)
    targets: list[ModelTarget] = attrs.field(factory=list)
    lines: dict[str, _Line] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        places = [
            (group, number)
            for group in self.pattern.groups
            for number in range(len(group.work_factors))
        ]
        entries = [
            _entry(group, number, port)
            for port, (group, number) in enumerate(places, start=1)
        ]
        for entry in entries:
            self._add_node(entry, entries)
        for group, number in places:
            self._add_target(group, number)

    def _add_node(self, own: MemberEntry, entries: list[MemberEntry]) -> None:
        clock = VirtualClock(self.time)
        table = MemberTable(own)
        table.merge(entry for entry in entries if entry is not own)
        # Only what the forwarder and the reports of crashes call.
        links = cast(PeerLinks, _Links(self, own.node, own.data_centre))
        reports = CrashReports(table, links, clock)
        settings = RequestSettings(admission="by_deadline", slots=own.slots)
        owner = Owner(settings, clock, reports)
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
        self.lines[own.node] = _Line(self.pattern.link_bytes_per_s)
        for name in self.without:
            MECHANISMS[name](node)
        admission = owner.admission_queue.admission
        assert isinstance(admission, DeadlineAdmission)
        # Left to its own, it would spread the returns of refused callers
        # differently in each run of the same seed.
        admission.rng = self.rng
        self.nodes.append(node)
        self.by_address[own.peer_address] = node

    def _budget(self) -> MeshRetryBudget:
        return MeshRetryBudget(
            _RETRY_RATIO,
            _RETRY_SLACK,
            _RETRY_WINDOW_MS,
            lambda: len(self.nodes),
        )

    def _add_target(self, group: TargetGroup, number: int) -> None:
        node = self._beside(group, number)

        async def call(route: RouteLoad, deadline_s: float) -> bool:
            now_s = asyncio.get_running_loop().time()
            left_ms = min(route.deadline_ms, (deadline_s - now_s) * _MS_PER_S)
            reply = await self.send(node, route, left_ms)
            return is_success(reply)

        target = ModelTarget(self.pattern, group, number, self.rng, call)
        self.targets.append(target)
        node.owner.target = Target(group.upstream, node.name, group.slots)
        node.owner.pool = target  # type: ignore[assignment]

    async def send(
        self, entry: ModelNode, route: RouteLoad, left_ms: float
    ) -> ForwardReply:
        """Sends a request in at a node.

        Args:
            entry: The node.
            route: The request's route.
            left_ms: How long the caller waits from now on.

        Returns:
            The target's answer or an error report.
        """
        request = ForwardRequest(
            upstream=route.upstream,
            route=route.name,
            method="GET",
            target=route.name.encode(),
            body=bytes(route.body_bytes),
            remaining_ms=int(min(left_ms, route.timeout_ms or left_ms)),
            traffic_class="interactive",
            idempotent=route.idempotent,
            max_attempts=2,
            aim_ms=route.aim_ms,
            priority=route.priority,
            spent_ms=entry.caller_timeouts.elapsed_ms(route.name, int(left_ms)),
        )
        if request.remaining_ms <= 0:
            return error_reply(0, RequestError(ErrorKind.DEADLINE_NOT_RUN))
        try:
            return await entry.forwarder.forward(request)
        except RequestError as error:
            return error_reply(0, error)

    async def run_departures(self) -> None:
        """Lets targets leave and return as the pattern says."""
        while True:
            for target in self.targets:
                self._show(target)
            await asyncio.sleep(_LEFT_CHECK_S)

    def _beside(self, group: TargetGroup, number: int) -> ModelNode:
        name = _node_name(group, number)
        return next(item for item in self.nodes if item.name == name)

    def _show(self, target: ModelTarget) -> None:
        node = self._beside(target.group, target.number)
        gone = target.is_removed()
        own = node.forwarder.members.own
        if gone == (own.upstream == ""):
            return
        upstream = "" if gone else target.group.upstream
        node.forwarder.members.update_own(upstream=upstream)
        for other in self.nodes:
            if other is not node:
                other.forwarder.members.merge([node.forwarder.members.own])


def _node_name(group: TargetGroup, number: int) -> str:
    return f"{group.upstream}-{number}"


def _entry(group: TargetGroup, number: int, port: int) -> MemberEntry:
    return MemberEntry(
        node=_node_name(group, number),
        incarnation=1,
        state="ready",
        data_centre=_DATA_CENTRES[number % len(_DATA_CENTRES)],
        peer_address=f"127.0.0.1:{port}",
        upstream=group.upstream,
        slots=group.slots,
    )
