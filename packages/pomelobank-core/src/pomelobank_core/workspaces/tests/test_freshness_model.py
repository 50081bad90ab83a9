"""Model of the age of the keys that two nodes accept.

The first node reads the source; both query each other. The source removes a key
once. Reads, queries and replies take any time, or are lost: a step that never
happens is a loss, and a node that takes no step for a while is frozen, also
between the reading of its clock and the sending of a frame. The nodes push
their version to each other and may restart.

A request that is sent later than `BOUND` after the removal must not run. It
reaches the node in the same instant at the earliest, so it must be rejected in
every state in which that time has passed and the key is still in force.
"""

from typing import Any

import attrs
import pytest
from minicheck import Protocol, check_safety

from pomelobank_core.workspaces import ConfigFreshness

BOUND = 1
# The highest age then equals the bound: the dating itself needs no margin.
REVOKE_MS = BOUND + 1
LAST_MS = 3
# Bound of the search. minicheck reports a search that meets the bound as
# unfinished, and the test then fails.
MAX_STATES = 1_000_000


@attrs.frozen(cache_hash=True)
class Node:
    """A node.

    Attributes:
        version: Version in force; 0 has the key, 1 does not.
        known: Time as of which the node knows the source's state.
        pending: Numbers and sending times of the queries that wait.
        uncounted: A reply with a newer version.
        read: Beginning of the read under way, and the version that the source
            has responded with, None before.
        queries: Number of queries that the node has sent.
        restarts: Number of restarts.
    """

    version: int = 0
    known: int | None = None
    pending: tuple[tuple[int, int], ...] = ()
    uncounted: tuple[int, int] | None = None
    read: tuple[int, int | None] | None = None
    queries: int = 0
    restarts: int = 0


@attrs.frozen(cache_hash=True)
class Frame:
    """A query or a reply under way, by the node that queries."""

    node: int
    query_id: int
    reply: tuple[int, int] | None = None


@attrs.frozen(cache_hash=True)
class SystemState:
    """State of the whole model."""

    now: int = 0
    removed: int | None = None
    nodes: tuple[Node, ...] = (Node(), Node())
    frames: frozenset[Frame] = frozenset()

    def with_node(self, index: int, node: Node) -> "SystemState":
        nodes = list(self.nodes)
        nodes[index] = node
        return attrs.evolve(self, nodes=tuple(nodes))


def load(node: Node) -> ConfigFreshness:
    return ConfigFreshness(
        REVOKE_MS, node.known, dict(node.pending), node.uncounted
    )


def save(node: Node, freshness: ConfigFreshness, **changes: Any) -> Node:
    return attrs.evolve(
        node,
        known=freshness.known_as_of_ms,
        pending=tuple(freshness.pending.items()),
        uncounted=freshness.uncounted,
        **changes,
    )


class FreshnessModel:
    """Builds the transitions.

    The searches are divided, because one with all events is too long.

    Attributes:
        max_queries: Number of queries that each node may send.
        max_restarts: Number of times that the second node may restart. It
            restarts only while a query waits; otherwise a restart only takes
            knowledge away.
        broken: Whether a counterexample was found.
    """

    def __init__(
        self, max_queries: tuple[int, int] = (1, 1), max_restarts: int = 0
    ) -> None:
        self.max_queries = max_queries
        self.max_restarts = max_restarts
        self.broken = False

    def transitions(self, state: tuple[SystemState]) -> list[tuple[str, Any]]:
        # One counterexample suffices, so the search ends after it.
        system = state[0]
        if self.broken or self.is_decided(system):
            return []
        steps = []
        if system.now < LAST_MS:
            later = attrs.evolve(system, now=system.now + 1)
            steps.append(("time passes", later))
        if system.removed is None:
            removed = attrs.evolve(system, removed=system.now)
            steps.append(("the source removes the key", removed))
        for index, node in enumerate(system.nodes):
            steps += self.node_steps(system, index, node)
        for frame in system.frames:
            steps.append(self.frame_step(system, frame))
        return [(label, (after,)) for label, after in steps]

    def is_decided(self, system: SystemState) -> bool:
        """Tells whether no later state can run a removed key.

        That is so if both nodes have the version without the key, or if the
        bound after the removal ends after the search does.
        """
        if all(node.version for node in system.nodes):
            return True
        removed = system.now if system.removed is None else system.removed
        return removed + BOUND >= LAST_MS

    def node_steps(
        self, system: SystemState, index: int, node: Node
    ) -> list[tuple[str, SystemState]]:
        steps = []
        if not index:
            steps.append(self.read_step(system, node))
        if node.queries < self.max_queries[index]:
            steps.append((f"{index} queries", self.query(system, index, node)))
        if node.version < system.nodes[1 - index].version:
            steps.append((f"{index} gets 1", self.push(system, index, node)))
        if index and node.pending and node.restarts < self.max_restarts:
            restarted = Node(
                version=node.version,
                queries=self.queries_after_restart(node),
                restarts=node.restarts + 1,
            )
            steps.append(
                (f"{index} restarts", system.with_node(index, restarted))
            )
        return steps

    def queries_after_restart(self, node: Node) -> int:
        return node.queries

    def read_step(
        self, system: SystemState, node: Node
    ) -> tuple[str, SystemState]:
        if node.read is None:
            begun = attrs.evolve(node, read=(system.now, None))
            return "0 begins a read", system.with_node(0, begun)
        began, version = node.read
        if version is None:
            version = int(system.removed is not None)
            served = attrs.evolve(node, read=(began, version))
            return "the source responds", system.with_node(0, served)
        in_force = self.in_force_after_read(node, version)
        freshness = load(node)
        freshness.on_version(in_force)
        freshness.on_read(self.read_date(began, system.now))
        ended = save(node, freshness, read=None, version=in_force)
        return "0 ends a read", system.with_node(0, ended)

    def in_force_after_read(self, node: Node, version: int) -> int:
        return max(node.version, version)

    def read_date(self, began: int, now: int) -> int:
        return began

    def query(self, system: SystemState, index: int, node: Node) -> SystemState:
        freshness = load(node)
        freshness.on_query(node.queries, system.now)
        frame = Frame(index, node.queries)
        queried = save(node, freshness, queries=node.queries + 1)
        after = system.with_node(index, queried)
        return attrs.evolve(after, frames=system.frames | {frame})

    def push(self, system: SystemState, index: int, node: Node) -> SystemState:
        freshness = load(node)
        freshness.on_version(1)
        return system.with_node(index, save(node, freshness, version=1))

    def frame_step(
        self, system: SystemState, frame: Frame
    ) -> tuple[str, SystemState]:
        rest = attrs.evolve(system, frames=system.frames - {frame})
        if frame.reply is None:
            peer = system.nodes[1 - frame.node]
            age = load(peer).reply_age_ms(system.now)
            reply = attrs.evolve(frame, reply=(peer.version, age))
            return f"{1 - frame.node} replies", attrs.evolve(
                rest, frames=rest.frames | {reply}
            )
        node = system.nodes[frame.node]
        freshness = load(node)
        self.receive(freshness, frame, node, system.now)
        received = save(node, freshness)
        label = f"{frame.node} gets a reply"
        return label, rest.with_node(frame.node, received)

    def receive(
        self, freshness: ConfigFreshness, frame: Frame, node: Node, now: int
    ) -> None:
        assert frame.reply is not None
        version, age = frame.reply
        freshness.on_reply(frame.query_id, version, age, node.version)

    def removed_keys_do_not_run(self, state: dict[str, SystemState]) -> bool:
        system = state["system"]
        if system.removed is None or system.now <= system.removed + BOUND:
            return True
        runs = any(
            not node.version and load(node).accepts_keys(system.now)
            for node in system.nodes
        )
        self.broken = self.broken or runs
        return not runs


class CountsFromArrival(FreshnessModel):
    """Mutation: the age counts from the arrival of the reply."""

    def receive(
        self, freshness: ConfigFreshness, frame: Frame, node: Node, now: int
    ) -> None:
        if frame.query_id in freshness.pending:
            freshness.pending[frame.query_id] = now
        super().receive(freshness, frame, node, now)


class CountsReadsFromTheirEnd(FreshnessModel):
    """Mutation: a read counts from its end."""

    def read_date(self, began: int, now: int) -> int:
        return now


class CountsNewerVersions(FreshnessModel):
    """Mutation: a reply with a newer version counts at once."""

    def receive(
        self, freshness: ConfigFreshness, frame: Frame, node: Node, now: int
    ) -> None:
        assert frame.reply is not None
        _, age = frame.reply
        freshness.on_reply(frame.query_id, 0, age, node.version)


class CountsUnappliedReads(FreshnessModel):
    """Mutation: a read counts although its document is not in force."""

    def in_force_after_read(self, node: Node, version: int) -> int:
        return node.version


class RepeatsNumbers(FreshnessModel):
    """Mutation: a restarted node uses the numbers of its queries again."""

    def queries_after_restart(self, node: Node) -> int:
        return 0


def check(model: FreshnessModel) -> dict[str, Any]:
    protocol = Protocol(
        name="freshness",
        candidate=False,
        fields=("system",),
        initial=(SystemState(),),
        transitions=model.transitions,
        invariants={"removed_keys_do_not_run": model.removed_keys_do_not_run},
    )
    found: dict[str, Any] = check_safety(protocol, max_states=MAX_STATES)
    return found


@pytest.mark.parametrize(
    "model",
    [
        pytest.param(FreshnessModel((1, 1)), id="query-each-other"),
        pytest.param(FreshnessModel((0, 2), 1), id="several-and-restart"),
    ],
)
def test_no_order_of_events_runs_a_removed_key_past_the_bound(
    model: FreshnessModel,
) -> None:
    """A key must not run on a slow, frozen, cut off or restarted node."""
    found = check(model)
    assert found["exhaustive"], found.get("incomplete_reason")
    result = found["properties"]["removed_keys_do_not_run"]
    assert result["counterexample"] is None


@pytest.mark.parametrize(
    "model",
    [
        pytest.param(CountsFromArrival(), id="counts-from-arrival"),
        pytest.param(CountsReadsFromTheirEnd(), id="counts-reads-from-end"),
        pytest.param(CountsNewerVersions(), id="counts-newer-versions"),
        pytest.param(CountsUnappliedReads(), id="counts-unapplied-reads"),
        pytest.param(RepeatsNumbers((0, 1), 1), id="repeats-numbers"),
    ],
)
def test_each_rule_of_the_dating_is_needed(model: FreshnessModel) -> None:
    """Without one of the rules, the search finds a removed key that runs."""
    result = check(model)["properties"]["removed_keys_do_not_run"]
    assert result["holds"] is False
