"""How nodes learn of roll-outs from the source and from each other."""

import asyncio

import attrs

from pomelobank_core import Candidates, ManualClock, MemberTable
from pomelobank_core.rollouts import RevisionStatus
from pomelobank_node._requests import RequestError
from pomelobank_node.rollouts import RolloutRegistry
from pomelobank_schema import encode
from pomelobank_schema.generated.peer import (
    MemberEntry,
    RolloutSync,
    VersionDigest,
)
from pomelobank_schema.generated.records import RolloutRecord

ORDER = RolloutRecord(
    upstream="stock", revision="v2", position=7, era=1, state="running"
)


@attrs.define(eq=False)
class Mesh:
    """Registries whose frames reach each other at once.

    Attributes:
        clock: Clock of all nodes.
        nodes: The registries by address.
        lost: Addresses whose frames are lost.
        sent: Number of frames that were sent.
    """

    clock: ManualClock = attrs.field(factory=lambda: ManualClock(10_000))
    nodes: dict[str, RolloutRegistry] = attrs.field(factory=dict)
    lost: set[str] = attrs.field(factory=set)
    sent: int = 0

    def add(self, name: str) -> RolloutRegistry:
        def entry(node: str) -> MemberEntry:
            return MemberEntry(node=node, state="ready", peer_address=node)

        table = MemberTable(entry(name))
        table.merge(map(entry, self.nodes))
        for other in self.nodes.values():
            other.table.merge([entry(name)])
        registry = RolloutRegistry(table, self, self.clock)  # type: ignore
        self.nodes[name] = registry
        return registry

    def to(self, address: str) -> "_Link":
        return _Link(self, address)


@attrs.frozen(eq=False)
class _Link:
    mesh: Mesh
    address: str

    async def send(self, frame: RolloutSync) -> None:
        self.mesh.sent += 1
        if self.address in self.mesh.lost:
            raise RequestError
        self.mesh.nodes[self.address].receive(frame)


async def _settle() -> None:
    for _ in range(10):
        await asyncio.sleep(0)


def _digest(registry: RolloutRegistry) -> VersionDigest:
    return VersionDigest(
        address=registry.table.own.node,
        rollouts_digest=registry.rollouts.digest,
        rollouts_age_ms=registry.age_ms,
    )


async def test_order_reaches_all_nodes_from_one_reader() -> None:
    mesh = Mesh()
    reader, *others = [mesh.add(name) for name in "abc"]
    reader.on_source_read([ORDER], 9_000, complete=True)
    await _settle()
    for node in (reader, *others):
        assert node.rollouts.status("stock", "v2") is RevisionStatus.UNPROVEN
    assert mesh.sent == len(others)


async def test_node_that_missed_an_order_learns_it_from_a_digest() -> None:
    """Guards against an order that never reaches a node, or a restarted one."""
    mesh = Mesh()
    reader, other = mesh.add("a"), mesh.add("b")
    mesh.lost.add("b")
    reader.on_source_read([ORDER], 9_000, complete=True)
    await _settle()
    assert not other.rollouts.records
    mesh.lost.clear()
    other.on_digest(_digest(reader))
    assert other.age_ms == 0
    await _settle()
    assert other.rollouts.records == reader.rollouts.records
    assert other.age_ms == reader.age_ms


async def test_peers_digest_confirms_only_equal_knowledge() -> None:
    """Guards against a read of a peer whose orders this node lacks."""
    mesh = Mesh()
    reader, other = mesh.add("a"), mesh.add("b")
    mesh.lost |= {"a", "b"}
    reader.on_source_read([ORDER], 9_000, complete=True)
    other.on_digest(_digest(reader))
    await _settle()
    assert other.age_ms == 0


async def test_incomplete_read_confirms_nothing() -> None:
    reader = Mesh().add("a")
    reader.on_source_read([], 9_000, complete=False)
    assert reader.age_ms == 0
    reader.on_source_read([], 9_500, complete=True)
    assert reader.age_ms == 501


async def test_nodes_without_roll_outs_send_nothing() -> None:
    mesh = Mesh()
    reader, other = mesh.add("a"), mesh.add("b")
    for _ in range(5):
        mesh.clock.advance(700)
        reader.on_source_read([], mesh.clock.now_ms(), complete=True)
        other.on_digest(_digest(reader))
    await _settle()
    assert mesh.sent == 0


async def test_later_replacement_is_not_superseded_by_an_old_completion() -> (
    None
):
    """Guards against new targets that get nothing after an earlier roll-out."""
    node = Mesh().add("a")
    targets = Candidates(
        tuple(
            MemberEntry(node=revision, upstream="stock", revision=revision)
            for revision in ("v1", "v2", "v3")
        )
    )
    completed = attrs.evolve(ORDER, state="completed")

    def proven(*revisions: str) -> set[str]:
        present = [t for t in targets.targets if t.revision in revisions]
        split = node.revisions.split(
            Candidates(tuple(present)), node.clock.now_ms()
        )
        return {item.revision for item in split.proven.targets}

    node.on_source_read([ORDER], 9_000, complete=True)
    assert proven("v1", "v2") == {"v1"}
    node.receive(RolloutSync(rollouts=(encode(completed),)))
    assert proven("v1", "v2") == {"v2"}
    proven("v2", "v3")
    node.clock.advance(2000)
    node.on_source_read([], node.clock.now_ms(), complete=True)
    other = attrs.evolve(ORDER, upstream="orders", position=9)
    node.receive(RolloutSync(rollouts=(encode(completed), encode(other))))
    assert proven("v1", "v2", "v3") == {"v2", "v3"}
