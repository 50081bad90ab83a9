"""Orders of nodes that need no messages."""

import random

import pytest

from pomelobank_core import (
    MemberTable,
    Swim,
    _rendezvous,
    is_among_first,
    rank_of,
)
from pomelobank_schema.generated.peer import MemberEntry
from pomelobank_schema.generated.settings import MembershipSettings


@pytest.mark.parametrize("count", [0, 1, 2, 16, 40])
def test_first_nodes_are_those_of_low_rank(count: int) -> None:
    nodes = [f"node-{number}" for number in range(30)]
    for node in [*nodes, "absent"]:
        assert is_among_first(node, nodes, "salt", count) is (
            rank_of(node, nodes, "salt") < count
        )


def test_poll_of_gone_members_costs_little_for_each(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a busy node after half of a large mesh has gone.

    Each node decides in each probe period which gone members it polls. If each
    decision looked at all members, a node would spend half of a core on that.
    """
    own = MemberEntry(node="own", state="ready", peer_address="own:1")
    table = MemberTable(own)
    swim = Swim(table, MembershipSettings(), random.Random(1))
    table.merge(
        MemberEntry(
            node=f"node-{number}",
            incarnation=1,
            state="gone" if number < 500 else "ready",
            peer_address=f"node-{number}:1",
        )
        for number in range(1000)
    )
    swim.gone_ms = {f"node-{number}": 0 for number in range(500)}
    looks = 0
    weight = _rendezvous._weight

    def counting_weight(salt: str, node: str) -> int:
        nonlocal looks
        looks += 1
        return weight(salt, node)

    monkeypatch.setattr(_rendezvous, "_weight", counting_weight)
    polled = swim._poll_recently_gone(1)
    assert looks < 500 * 50
    assert len(polled) < 20
