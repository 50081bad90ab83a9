"""A small specification of the replicated configuration, to be model-checked.

The model's steps call core's own functions `advance`, `adopt_snapshot`,
`usable_snapshot`, `snapshot_record` and `MinServingVersion`, so a checked
property holds for the code and not only for the model. The environment is
modelled: a log that may lose the responses to appends and trims old records,
and messages that arrive late, out of order or twice.

A change may take effect at any time and more often than the log acknowledged
the change. A created snapshot stays pending until its append takes effect,
which may never happen. The search therefore covers a node that is paused
before an append and continues at any later time, and an append whose response
was lost and that the operator repeats.
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
    """The functions under test; a test replaces one to make the model fail.

    Attributes:
        advance: Applies a record to a state.
        adopt: Replaces a state by a snapshot.
        snapshot: Creates the snapshot of a state.
        ready: Tells whether a starting node may serve at a version.
        announced: Whether the announcement of a version reaches the other
            node before the node that has applied the version can crash.
    """

    advance: Callable[[ConfigState, int, ChangeRecord | None], ConfigState] = (
        advance
    )
    adopt: Callable[[ConfigState, SnapshotRecord], object] = adopt_snapshot
    snapshot: Callable[[ConfigState], SnapshotRecord] = snapshot_record
    ready: Callable[[MinServingVersion, int], bool] = (
        lambda min_version, version: min_version.update(version, 0)
    )
    announced: bool = True


@attrs.frozen
class Bounds:
    """Upper bounds of the search.

    Attributes:
        sends: Appends of each change that take effect, by change id.
        snapshots: Snapshots that nodes create.
        restarts: Restarts of each node.
        trims: Records that the log trims.
    """

    sends: Mapping[str, int]
    snapshots: int = 1
    restarts: int = 1
    trims: int = 2


@attrs.frozen(eq=False)
class State:
    """A replayed state; equal states share one object, so comparison is fast.

    Attributes:
        key: The parts of the state that decide equality.
        value: The state.
    """

    key: tuple[object, ...]
    value: ConfigState = attrs.field(repr=False)

    @classmethod
    def of(cls, value: ConfigState) -> "State":
        """Returns the shared object of a state."""
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
        """Configuration version of the state."""
        return self.value.snapshot.version

    def __str__(self) -> str:
        return f"version {self.version}"


_STATES: dict[tuple[object, ...], State] = {}


@attrs.frozen(cache_hash=True)
class Node:
    """A node.

    Attributes:
        state: The state that the node has replayed.
        max_known_version: Highest version that the node knows of.
        has_read_log_end: Whether the node has read up to the log's end.
        met_ready_peer: Whether the node has received a digest from a peer that
            serves callers.
        ready: Whether the node serves callers.
        max_served_version: Highest version at which the node ever served,
            restarts included; the node itself does not store this version.
        restarts: Restarts so far.
    """

    state: State = attrs.field(factory=lambda: State.of(ConfigState()))
    max_known_version: int = 0
    has_read_log_end: bool = False
    met_ready_peer: bool = False
    ready: bool = False
    max_served_version: int = 0
    restarts: int = 0


@attrs.frozen(cache_hash=True)
class ModelState:
    """One state of the whole model.

    Attributes:
        log: Every record ever appended: a change id, or a state's snapshot.
        first_kept: Offset of the oldest record that is kept.
        pending_snapshots: Snapshots that their writers have not appended yet.
        snapshots_made: Number of snapshots created.
        nodes: The nodes.
        version_decreased: Whether a node's version ever decreased without a
            restart.
    """

    log: tuple[str | State, ...] = ()
    first_kept: int = 0
    pending_snapshots: tuple[State, ...] = ()
    snapshots_made: int = 0
    nodes: tuple[Node, ...] = (Node(), Node())
    version_decreased: bool = False


Step = tuple[str, ModelState]


def service_change(
    change_id: str, expected_revision: int = -1, broken: bool = False
) -> ChangeRecord:
    """Returns a change of the model's only service.

    Args:
        change_id: Id of the change, also the service's new description.
        expected_revision: Revision that the author saw; -1 for any.
        broken: Whether the change's last operation writes a route to a
            missing upstream, for which the change is rejected.
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
        bounds: Upper bounds of the search.
        functions: The functions under test.
    """

    changes: dict[str, ChangeRecord]
    bounds: Bounds
    functions: FunctionsUnderTest = attrs.field(factory=FunctionsUnderTest)

    def protocol(self) -> minicheck.Protocol:
        """Returns the model in the form that minicheck reads."""
        return minicheck.Protocol(
            name="configuration",
            candidate=False,
            fields=("model_state",),
            initial=(ModelState(),),
            transitions=lambda state: [
                (label, (_canonical(model_state),))
                for label, model_state in self.steps(state[0])
            ],
            invariants={
                name: functools.partial(_holds, check)
                for name, check in self.invariants().items()
            },
        )

    def invariants(self) -> dict[str, Callable[[ModelState], bool]]:
        """Returns the conditions that must hold in every state, by name."""
        return {
            "no_node_goes_back": lambda model_state: (
                not model_state.version_decreased
            ),
            "no_restart_serves_older": _no_restart_serves_older,
            "references_hold": _references_hold,
            "replay_is_as_specified": self._matches_specification,
        }

    def steps(self, model_state: ModelState) -> Iterator[Step]:
        """Yields the label and the result of every step from a state."""
        yield from self._appends(model_state)
        yield from self._snapshots(model_state)
        yield from self._trims(model_state)
        for index in range(len(model_state.nodes)):
            yield from self._reads(model_state, index)
            yield from self._pushes(model_state, index)
            yield from self._digests(model_state, index)
            yield from self._restarts(model_state, index)

    def _appends(self, model_state: ModelState) -> Iterator[Step]:
        for change_id, limit in self.bounds.sends.items():
            if model_state.log.count(change_id) < limit:
                yield (
                    f"append of {change_id} takes effect",
                    attrs.evolve(
                        model_state, log=(*model_state.log, change_id)
                    ),
                )

    def _snapshots(self, model_state: ModelState) -> Iterator[Step]:
        states = {node.state for node in model_state.nodes if node.ready}
        if model_state.snapshots_made < self.bounds.snapshots:
            for state in sorted(states, key=str):
                yield (
                    f"a snapshot of {state} is made",
                    attrs.evolve(
                        model_state,
                        pending_snapshots=(
                            *model_state.pending_snapshots,
                            state,
                        ),
                        snapshots_made=model_state.snapshots_made + 1,
                    ),
                )
        for position, state in enumerate(model_state.pending_snapshots):
            pending_snapshots = (
                model_state.pending_snapshots[:position]
                + model_state.pending_snapshots[position + 1 :]
            )
            yield (
                f"the snapshot of {state} is appended",
                attrs.evolve(
                    model_state,
                    pending_snapshots=pending_snapshots,
                    log=(*model_state.log, state),
                ),
            )

    def _trims(self, model_state: ModelState) -> Iterator[Step]:
        if model_state.first_kept < min(
            len(model_state.log), self.bounds.trims
        ):
            yield (
                "trim",
                attrs.evolve(
                    model_state, first_kept=model_state.first_kept + 1
                ),
            )

    def _reads(self, model_state: ModelState, index: int) -> Iterator[Step]:
        node = model_state.nodes[index]
        version = node.state.version
        if version < model_state.first_kept:
            state = self._recovered(model_state, node.state)
        elif version < len(model_state.log):
            state = self._advanced(
                node.state, version, model_state.log[version]
            )
        else:
            state = node.state
        node = attrs.evolve(
            node,
            max_known_version=max(node.max_known_version, len(model_state.log)),
        )
        if state.version >= len(model_state.log):
            node = attrs.evolve(node, has_read_log_end=True)
        yield (
            f"node {index} reads",
            self._update_node(model_state, index, node, state),
        )

    def _recovered(self, model_state: ModelState, state: State) -> State:
        kept = range(model_state.first_kept, len(model_state.log))
        for offset in kept:
            item = model_state.log[offset]
            if isinstance(item, str):
                continue
            record = self._snapshot(item)
            found = usable_snapshot(
                record, offset, model_state.first_kept, state.version
            )
            if found is not None:
                return self._adopted(state, item)
        return state

    def _pushes(self, model_state: ModelState, index: int) -> Iterator[Step]:
        node = model_state.nodes[index]
        newest = max(other.state.version for other in model_state.nodes)
        for offset in range(newest):
            state = self._advanced(node.state, offset, model_state.log[offset])
            if state != node.state:
                yield (
                    f"push of {offset} reaches node {index}",
                    self._update_node(model_state, index, node, state),
                )
        for item in dict.fromkeys(
            (*model_state.pending_snapshots, *model_state.log)
        ):
            if isinstance(item, State):
                state = self._adopted(node.state, item)
                yield (
                    f"snapshot of {item} reaches node {index}",
                    self._update_node(model_state, index, node, state),
                )

    def _digests(self, model_state: ModelState, index: int) -> Iterator[Step]:
        node = model_state.nodes[index]
        if node.ready:
            return
        for other_index, other in enumerate(model_state.nodes):
            if other_index == index:
                continue
            max_known_version = max(
                other.max_known_version, other.state.version
            )
            updated = attrs.evolve(
                node,
                max_known_version=max(
                    node.max_known_version, max_known_version
                ),
                met_ready_peer=node.met_ready_peer or other.ready,
            )
            yield (
                f"digest of {other_index} reaches node {index}",
                self._update_node(model_state, index, updated, node.state),
            )

    def _restarts(self, model_state: ModelState, index: int) -> Iterator[Step]:
        node = model_state.nodes[index]
        if node.restarts < self.bounds.restarts:
            fresh = Node(
                max_served_version=node.max_served_version,
                restarts=node.restarts + 1,
            )
            yield (
                f"node {index} restarts",
                _replace_node(model_state, index, fresh),
            )

    def _matches_specification(self, model_state: ModelState) -> bool:
        return all(
            node.state.key
            == self._expected_key(model_state.log, node.state.version)
            for node in model_state.nodes
        )

    @functools.cache  # noqa: B019 - the model lives as long as its check
    def _expected_key(
        self, log: tuple[str | State, ...], version: int
    ) -> tuple[object, ...]:
        # A second, minimal implementation of replay. The expected key depends
        # on the log alone, and the log only grows. So nodes of equal version
        # agree, a change counts once, and an accepted change stays accepted.
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

    def _update_node(
        self, model_state: ModelState, index: int, node: Node, state: State
    ) -> ModelState:
        decreased = state.version < node.state.version
        max_known_version = max(node.max_known_version, state.version)
        min_version = MinServingVersion(
            settle_ms=0,
            known_version=max_known_version,
            reached_log_end=node.has_read_log_end,
            first_ready_ms=0 if node.met_ready_peer else None,
            ready=node.ready,
        )
        ready = self.functions.ready(min_version, state.version)
        updated = Node(
            state=state,
            max_known_version=max_known_version,
            has_read_log_end=node.has_read_log_end,
            met_ready_peer=node.met_ready_peer,
            ready=ready,
            max_served_version=max(node.max_served_version, state.version)
            if ready
            else node.max_served_version,
            restarts=node.restarts,
        )
        announced_version = max_known_version if self.functions.announced else 0
        nodes = tuple(
            updated
            if other_index == index
            else _with_known_version(other, announced_version)
            for other_index, other in enumerate(model_state.nodes)
        )
        return attrs.evolve(
            model_state,
            nodes=nodes,
            version_decreased=model_state.version_decreased or decreased,
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
    return check(fields["model_state"])


def _canonical(model_state: ModelState) -> ModelState:
    # Both nodes behave alike, so two states that differ only in the order of
    # the nodes are searched once.
    first, second = model_state.nodes
    if _sort_key(first) <= _sort_key(second):
        return model_state
    return attrs.evolve(model_state, nodes=(second, first))


def _sort_key(node: Node) -> tuple[int, ...]:
    return (
        node.state.version,
        node.max_known_version,
        node.has_read_log_end,
        node.met_ready_peer,
        node.ready,
        node.max_served_version,
        node.restarts,
    )


def _replace_node(
    model_state: ModelState, index: int, node: Node
) -> ModelState:
    nodes = list(model_state.nodes)
    nodes[index] = node
    return attrs.evolve(model_state, nodes=tuple(nodes))


def _with_known_version(node: Node, version: int) -> Node:
    if version <= node.max_known_version:
        return node
    return attrs.evolve(node, max_known_version=version)


def _no_restart_serves_older(model_state: ModelState) -> bool:
    return all(
        node.state.version >= node.max_served_version
        for node in model_state.nodes
        if node.ready
    )


def _references_hold(model_state: ModelState) -> bool:
    return not any(
        check_objects(node.state.value.snapshot.objects)
        for node in model_state.nodes
    )
