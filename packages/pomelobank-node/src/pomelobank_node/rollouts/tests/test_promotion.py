"""The last step of a roll-out at several nodes."""

from types import SimpleNamespace

import attrs

from pomelobank_core import Candidates, ManualClock, MemberTable
from pomelobank_core.rollouts import AnswerCounts, Judge, RolloutKey, Rollouts
from pomelobank_node.rollouts import Exposure
from pomelobank_node.rollouts._judging import Judging
from pomelobank_node.rollouts._promotion import LEASE_MS, Promotions
from pomelobank_schema import WireMessage
from pomelobank_schema.generated.peer import (
    AnswerReport,
    MemberEntry,
    PromotionAck,
    PromotionStep,
)
from pomelobank_schema.generated.records import RolloutRecord

ORDER = RolloutRecord(
    upstream="stock",
    revision="v2",
    position=7,
    duration_ms=10_000,
    ordered_at_ms=1,
    state="running",
)
NODES = ("n0", "n1", "n2", "n3")


@attrs.define(eq=False)
class Mesh:
    """Nodes whose frames reach each other at once.

    Attributes:
        clock: Clock of all nodes, past the begin of the last step.
        silent: Nodes that get no frames.
        promotions: The nodes.
        decided: States that nodes have decided.
    """

    clock: ManualClock = attrs.field(factory=lambda: ManualClock(9_000))
    silent: set[str] = attrs.field(factory=set)
    promotions: dict[str, Promotions] = attrs.field(factory=dict)
    decided: list[str] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        for node in NODES:
            self.promotions[node] = self._new(node)

    def _new(self, node: str) -> Promotions:
        rollouts = Rollouts()
        rollouts.add(ORDER)
        entries = {
            name: MemberEntry(
                node=name,
                state="ready",
                peer_address=name,
                upstream="stock",
                slots=3,
                revision="v1" if number % 2 else "v2",
            )
            for number, name in enumerate(NODES)
        }
        table = MemberTable(entries.pop(node))
        table.merge(entries.values())
        exposure = Exposure(self.clock, 0.1)
        exposure.revisions.rollouts = rollouts

        def decide(record: RolloutRecord) -> None:
            self.decided.append(record.state)
            for item in self.promotions.values():
                item.rollouts.add(record)

        judging = Judging(table, rollouts, self.clock, decide)
        judge = judging.judges[RolloutKey.of(ORDER)] = Judge("v2")
        counts = AnswerCounts()
        for _ in range(60):
            counts.add_success("lookup", 20.0)
        judge.add(
            AnswerReport(node="n0", revision="v2", routes=counts.report())
        )
        owner = SimpleNamespace(target=None)
        return Promotions(
            table,
            rollouts,
            exposure,
            owner,  # type: ignore[arg-type]
            judging,
            self.clock,
            self._post,
            decide,
        )

    def _post(self, address: str, frame: WireMessage) -> None:
        if address in self.silent:
            return
        node = self.promotions[address]
        if isinstance(frame, PromotionStep):
            node.receive_step(frame)
        elif isinstance(frame, PromotionAck):
            node.receive_ack(frame)

    @property
    def leader(self) -> str:
        promotions = self.promotions["n0"]
        return promotions.judging.judging_nodes(ORDER)[0].node

    @property
    def follower(self) -> str:
        return next(node for node in NODES if node != self.leader)

    def tick(self, count: int = 1) -> None:
        for _ in range(count):
            for node in NODES:
                if node not in self.silent:
                    self.promotions[node].lead()
            self.clock.advance(250)

    def proven(self, node: str) -> set[str]:
        promotions = self.promotions[node]
        members = tuple(promotions.table.all())
        split = promotions.exposure.split("stock", Candidates(members))
        return {item.revision for item in split.proven.targets}


def test_roll_out_completes_once_no_request_is_left() -> None:
    mesh = Mesh()
    exposure = mesh.promotions[mesh.follower].exposure
    exposure.outstanding["stock", "v1"] = 1
    mesh.tick()
    assert mesh.decided == []
    assert {node: mesh.proven(node) for node in NODES} == {
        node: {"v2"} for node in NODES
    }
    exposure.outstanding.clear()
    mesh.tick()
    assert mesh.decided == ["completing"]


def test_roll_out_waits_for_a_member_that_is_cut_off() -> None:
    """Guards against requests of a member that does not know of the step."""
    mesh = Mesh()
    mesh.silent.add(mesh.follower)
    mesh.tick(8)
    assert mesh.decided == []
    assert mesh.proven(mesh.follower) == {"v1"}


def test_failed_step_ends_and_is_repeated() -> None:
    """Guards against a step that exposes the revision without an end."""
    mesh = Mesh()
    follower = mesh.follower
    mesh.silent.add(follower)
    mesh.tick(22)
    assert mesh.promotions[mesh.leader].steps == {}
    mesh.clock.advance(LEASE_MS)
    assert mesh.proven(mesh.leader) == {"v1"}
    mesh.silent.clear()
    mesh.tick(12)
    assert mesh.decided == ["completing"]


def test_requests_go_back_if_the_leader_is_lost() -> None:
    """Guards against a mesh that stays on an unproven revision."""
    mesh = Mesh()
    exposure = mesh.promotions[mesh.follower].exposure
    exposure.outstanding["stock", "v1"] = 1
    mesh.tick()
    mesh.silent.add(mesh.leader)
    assert mesh.proven(mesh.follower) == {"v2"}
    mesh.clock.advance(LEASE_MS)
    assert mesh.proven(mesh.follower) == {"v1"}
    assert mesh.decided == []


def test_only_the_leader_of_a_step_decides() -> None:
    """Guards against a roll-back of what another node completes."""
    mesh = Mesh()
    leader = mesh.leader
    exposure = mesh.promotions[mesh.follower].exposure
    exposure.outstanding["stock", "v1"] = 1
    mesh.tick()
    held = {node: mesh.promotions[node].is_held(ORDER) for node in NODES}
    assert held == {node: node != leader for node in NODES}
    rival = PromotionStep(
        upstream="stock", revision="v2", position=7, leader="n9", address="n9"
    )
    mesh.promotions[mesh.follower].receive_step(rival)
    assert mesh.promotions[mesh.follower].leases["stock"].leader == leader
