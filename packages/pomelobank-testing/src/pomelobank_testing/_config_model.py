"""A small specification of the replicated configuration, to be model-checked.

The model's steps call core's own functions, so that what is proved is proved
of the code: `advance`, `adopt_snapshot`, `usable_snapshot`, `snapshot_record`
and `MinServingVersion`. What stands around them is small: a log that may lose
its answers and trims old records, and messages that arrive late, crossed or
twice.

A change may take effect at any time and more often than it was answered, and
a snapshot stays in its writer's hands until it lands or for good. So a node
that was paused with an append in its hands and continues at any later time is
among the behaviours that are searched, as is an append whose answer was lost
and that the operator sends again.
"""

import functools
from collections.abc import Callable, Iterator, Mapping

import attrs
import minicheck
from returns.result import Success

from pomelobank_core import (
    ConfigState,
    MinServingVersion,
    adopt_snapshot,
    advance,
    check_objects,
    snapshot_record,
    usable_snapshot,
)
from pomelobank_schema.generated.records import (
    ChangeRecord,
    OperationRecord,
    RouteObject,
    ServiceObject,
    SnapshotRecord,
    WeightedDestination,
)


@attrs.frozen
class FunctionsUnderTest:
    """The functions under test; a test replaces one to see the model fail.

    Attributes:
        advance: Takes a record.
        adopt: Takes over a snapshot.
        snapshot: Makes a snapshot.
        ready: Tells whether a starting node may serve at a version.
        announced: Whether the news of a version reaches the other node before
            the node that has applied it can die.
    """

    advance: Callable[[ConfigState, int, ChangeRecord | None], ConfigState] = (
        advance
    )
    adopt: Callable[[ConfigState, SnapshotRecord], object] = adopt_snapshot
    snapshot: Callable[[ConfigState], SnapshotRecord] = snapshot_record
    ready: Callable[[MinServingVersion, int], bool] = lambda floor, version: (
        floor.update(version, 0)
    )
    announced: bool = True


@attrs.frozen
class Bounds:
    """How far the search goes.

    Attributes:
        sends: Appends of each change that take effect, by change id.
        snapshots: Snapshots that nodes make.
        restarts: Restarts of each node.
        trims: Records that the log drops.
    """

    sends: Mapping[str, int]
    snapshots: int = 1
    restarts: int = 1
    trims: int = 2


@attrs.frozen(eq=False)
class State:
    """A replayed state; equal ones are one object, so that search is quick.

    Attributes:
        key: All that matters of the state.
        value: The state.
    """

    key: tuple[object, ...]
    value: ConfigState = attrs.field(repr=False)

    @classmethod
    def of(cls, value: ConfigState) -> "State":
        """Wraps a state."""
        objects = frozenset(
            (str(key), item.revision, str(item.value))
            for key, item in value.snapshot.objects.items()
        )
        verdicts = tuple(
            (item.change_id, item.version, item.accepted)
            for item in value.decisions.values()
        )
        key = (value.snapshot.version, objects, verdicts)
        return _STATES.setdefault(key, cls(key, value))

    @property
    def version(self) -> int:
        """Version of the state."""
        return self.value.snapshot.version

    def __str__(self) -> str:
        return f"version {self.version}"


_STATES: dict[tuple[object, ...], State] = {}


@attrs.frozen(cache_hash=True)
class Node:
    """A node.

    Attributes:
        state: What it has replayed.
        heard: Highest version that it has heard of.
        read_end: Whether it has read the log's end.
        met_ready: Whether a peer that serves callers has told it something.
        ready: Whether it serves callers.
        served: Highest version by which it ever served, restarts included;
            the node itself does not know it.
        restarts: Restarts so far.
    """

    state: State = attrs.field(factory=lambda: State.of(ConfigState()))
    heard: int = 0
    read_end: bool = False
    met_ready: bool = False
    ready: bool = False
    served: int = 0
    restarts: int = 0


@attrs.frozen(cache_hash=True)
class ModelState:
    """One state of the whole model.

    Attributes:
        log: Every record ever appended: a change id, or a state's snapshot.
        first_kept: Offset of the oldest record that is kept.
        held: Snapshots that their writers have not appended yet.
        made: Number of snapshots made.
        nodes: The nodes.
        went_back: Whether a node's version ever fell without a restart.
    """

    log: tuple[str | State, ...] = ()
    first_kept: int = 0
    held: tuple[State, ...] = ()
    made: int = 0
    nodes: tuple[Node, ...] = (Node(), Node())
    went_back: bool = False


Step = tuple[str, ModelState]


def service_change(
    change_id: str, expected_revision: int = -1, broken: bool = False
) -> ChangeRecord:
    """Returns a change of the one service that the model has.

    Args:
        change_id: Id of the change, also the service's new description.
        expected_revision: Revision that the author saw; -1 for any.
        broken: Whether the change ends with a route to a missing upstream.
    """
    service = ServiceObject(name="s", description=change_id)
    operations = [
        OperationRecord(
            kind="put", service=service, expected_revision=expected_revision
        )
    ]
    if broken:
        destination = WeightedDestination(upstream="missing", weight=1)
        route = RouteObject(
            name="r",
            service="s",
            path_prefix="/",
            destinations=(destination,),
        )
        operations.append(OperationRecord(kind="put", route=route))
    return ChangeRecord(change_id=change_id, operations=tuple(operations))


@attrs.define(eq=False)
class ConfigModel:
    """The specification with its bounds.

    Attributes:
        changes: The changes that operators send, by id.
        bounds: How far the search goes.
        functions: The functions under test.
    """

    changes: dict[str, ChangeRecord]
    bounds: Bounds
    functions: FunctionsUnderTest = attrs.field(factory=FunctionsUnderTest)

    def protocol(self) -> minicheck.Protocol:
        """Returns the model in the checker's form."""
        return minicheck.Protocol(
            name="configuration",
            candidate=False,
            fields=("world",),
            initial=(ModelState(),),
            transitions=lambda state: [
                (label, (_ordered(world),))
                for label, world in self.steps(state[0])
            ],
            invariants={
                name: functools.partial(_holds, check)
                for name, check in self.invariants().items()
            },
        )

    def invariants(self) -> dict[str, Callable[[ModelState], bool]]:
        """Returns what must hold in every state."""
        return {
            "no_node_goes_back": lambda world: not world.went_back,
            "no_restart_serves_older": _no_restart_serves_older,
            "references_hold": _references_hold,
            "replay_is_as_specified": self._as_specified,
        }

    def steps(self, world: ModelState) -> Iterator[Step]:
        """Yields every step from a state."""
        yield from self._appends(world)
        yield from self._snapshots(world)
        yield from self._trims(world)
        for index in range(len(world.nodes)):
            yield from self._reads(world, index)
            yield from self._pushes(world, index)
            yield from self._digests(world, index)
            yield from self._restarts(world, index)

    def _appends(self, world: ModelState) -> Iterator[Step]:
        for change_id, limit in self.bounds.sends.items():
            if world.log.count(change_id) < limit:
                yield (
                    f"append of {change_id} takes effect",
                    attrs.evolve(world, log=(*world.log, change_id)),
                )

    def _snapshots(self, world: ModelState) -> Iterator[Step]:
        states = {node.state for node in world.nodes if node.ready}
        if world.made < self.bounds.snapshots:
            for state in sorted(states, key=str):
                yield (
                    f"a snapshot of {state} is made",
                    attrs.evolve(
                        world, held=(*world.held, state), made=world.made + 1
                    ),
                )
        for place, state in enumerate(world.held):
            held = world.held[:place] + world.held[place + 1 :]
            yield (
                f"the snapshot of {state} is appended",
                attrs.evolve(world, held=held, log=(*world.log, state)),
            )

    def _trims(self, world: ModelState) -> Iterator[Step]:
        if world.first_kept < min(len(world.log), self.bounds.trims):
            yield "trim", attrs.evolve(world, first_kept=world.first_kept + 1)

    def _reads(self, world: ModelState, index: int) -> Iterator[Step]:
        node = world.nodes[index]
        version = node.state.version
        if version < world.first_kept:
            state = self._recovered(world, node.state)
        elif version < len(world.log):
            state = self._advanced(node.state, version, world.log[version])
        else:
            state = node.state
        node = attrs.evolve(node, heard=max(node.heard, len(world.log)))
        if state.version >= len(world.log):
            node = attrs.evolve(node, read_end=True)
        yield f"node {index} reads", self._move(world, index, node, state)

    def _recovered(self, world: ModelState, state: State) -> State:
        kept = range(world.first_kept, len(world.log))
        for offset in kept:
            item = world.log[offset]
            if isinstance(item, str):
                continue
            record = self._snapshot(item)
            found = usable_snapshot(
                record, offset, world.first_kept, state.version
            )
            if found is not None:
                return self._adopted(state, item)
        return state

    def _pushes(self, world: ModelState, index: int) -> Iterator[Step]:
        node = world.nodes[index]
        newest = max(other.state.version for other in world.nodes)
        for offset in range(newest):
            state = self._advanced(node.state, offset, world.log[offset])
            if state != node.state:
                yield (
                    f"push of {offset} reaches node {index}",
                    self._move(world, index, node, state),
                )
        for item in dict.fromkeys((*world.held, *world.log)):
            if isinstance(item, State):
                state = self._adopted(node.state, item)
                yield (
                    f"snapshot of {item} reaches node {index}",
                    self._move(world, index, node, state),
                )

    def _digests(self, world: ModelState, index: int) -> Iterator[Step]:
        node = world.nodes[index]
        if node.ready:
            return
        for place, other in enumerate(world.nodes):
            if place == index:
                continue
            heard = max(other.heard, other.state.version)
            told = attrs.evolve(
                node,
                heard=max(node.heard, heard),
                met_ready=node.met_ready or other.ready,
            )
            yield (
                f"digest of {place} reaches node {index}",
                self._move(world, index, told, node.state),
            )

    def _restarts(self, world: ModelState, index: int) -> Iterator[Step]:
        node = world.nodes[index]
        if node.restarts < self.bounds.restarts:
            fresh = Node(served=node.served, restarts=node.restarts + 1)
            yield f"node {index} restarts", _with(world, index, fresh)

    def _as_specified(self, world: ModelState) -> bool:
        return all(
            node.state.key == self._specified(world.log, node.state.version)
            for node in world.nodes
        )

    @functools.cache  # noqa: B019 - the model lives as long as its check
    def _specified(
        self, log: tuple[str | State, ...], version: int
    ) -> tuple[object, ...]:
        # The outcome written down a second time, as simply as can be. It is a
        # function of the log alone, and the log only grows: so nodes of equal
        # version agree, a change counts once, and what was accepted stays.
        service: tuple[str, int, str] | None = None
        verdicts: dict[str, tuple[str, int, bool]] = {}
        for offset, item in enumerate(log[:version]):
            if not isinstance(item, str) or item in verdicts:
                continue
            put = self.changes[item].operations[0]
            revision = service[1] if service else 0
            accepted = len(self.changes[item].operations) == 1
            accepted &= put.expected_revision in (-1, revision)
            if accepted:
                service = ("service/s", offset + 1, str(put.service))
            verdicts[item] = (item, offset + 1, accepted)
        objects = frozenset([service] if service else [])
        return version, objects, tuple(verdicts.values())

    def _move(
        self, world: ModelState, index: int, node: Node, state: State
    ) -> ModelState:
        older = state.version < node.state.version
        heard = max(node.heard, state.version)
        floor = MinServingVersion(
            settle_ms=0,
            known_version=heard,
            reached_log_end=node.read_end,
            first_ready_ms=0 if node.met_ready else None,
            ready=node.ready,
        )
        ready = self.functions.ready(floor, state.version)
        moved = Node(
            state=state,
            heard=heard,
            read_end=node.read_end,
            met_ready=node.met_ready,
            ready=ready,
            served=max(node.served, state.version) if ready else node.served,
            restarts=node.restarts,
        )
        told = heard if self.functions.announced else 0
        nodes = tuple(
            moved if place == index else _hear(other, told)
            for place, other in enumerate(world.nodes)
        )
        return attrs.evolve(
            world, nodes=nodes, went_back=world.went_back or older
        )

    @functools.cache  # noqa: B019 - the model lives as long as its check
    def _advanced(self, state: State, offset: int, item: str | State) -> State:
        change = self.changes[item] if isinstance(item, str) else None
        return State.of(self.functions.advance(state.value, offset, change))

    @functools.cache  # noqa: B019 - the model lives as long as its check
    def _snapshot(self, state: State) -> SnapshotRecord:
        return self.functions.snapshot(state.value)

    @functools.cache  # noqa: B019 - the model lives as long as its check
    def _adopted(self, state: State, item: State) -> State:
        match self.functions.adopt(state.value, self._snapshot(item)):
            case Success(found):
                return State.of(found)
            case _:
                return state


def _holds(
    check: Callable[[ModelState], bool], fields: dict[str, ModelState]
) -> bool:
    return check(fields["world"])


def _ordered(world: ModelState) -> ModelState:
    # The nodes are alike, so states that differ only in which node is which
    # need to be searched once.
    first, second = world.nodes
    if _rank(first) <= _rank(second):
        return world
    return attrs.evolve(world, nodes=(second, first))


def _rank(node: Node) -> tuple[int, ...]:
    return (
        node.state.version,
        node.heard,
        node.read_end,
        node.met_ready,
        node.ready,
        node.served,
        node.restarts,
    )


def _with(world: ModelState, index: int, node: Node) -> ModelState:
    nodes = list(world.nodes)
    nodes[index] = node
    return attrs.evolve(world, nodes=tuple(nodes))


def _hear(node: Node, version: int) -> Node:
    if version <= node.heard:
        return node
    return attrs.evolve(node, heard=version)


def _no_restart_serves_older(world: ModelState) -> bool:
    return all(
        node.state.version >= node.served for node in world.nodes if node.ready
    )


def _references_hold(world: ModelState) -> bool:
    return not any(
        check_objects(node.state.value.snapshot.objects) for node in world.nodes
    )
