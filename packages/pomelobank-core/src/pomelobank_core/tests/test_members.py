"""Tests of the merge of members' entries from peers."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomelobank_core import EntryRank, MemberState, MemberTable
from pomelobank_schema.generated.peer import MemberEntry

OWN = "own"
NODES = [OWN, "a", "b"]
STATES = [state.value for state in MemberState]
READY = MemberState.READY.value
SUSPECT = MemberState.SUSPECT.value
DRAINING = MemberState.DRAINING.value
GONE = MemberState.GONE.value


def entry(
    node: str,
    incarnation: int = 1,
    sequence: int = 0,
    state: str = READY,
    version: int = 0,
) -> MemberEntry:
    """Returns an entry whose upstream follows from its numbers."""
    return MemberEntry(
        node=node,
        incarnation=incarnation,
        sequence=sequence,
        state=state,
        version=version,
        upstream=f"upstream-{incarnation}-{sequence}",
    )


entries = st.builds(
    entry,
    st.sampled_from(NODES),
    st.integers(0, 3),
    st.integers(0, 3),
    st.sampled_from(STATES),
    st.integers(0, 3),
)
batches = st.lists(entries, max_size=12)


def new_table() -> MemberTable:
    return MemberTable(entry(OWN))


def merged(*peers_entries: list[MemberEntry]) -> dict[str, MemberEntry]:
    table = new_table()
    for peer_entries in peers_entries:
        table.merge(peer_entries)
    return table.others


@given(batches, batches)
def test_merge_is_commutative(
    first: list[MemberEntry], second: list[MemberEntry]
) -> None:
    assert merged(first, second) == merged(second, first)


@given(batches)
def test_merge_does_not_depend_on_the_order(items: list[MemberEntry]) -> None:
    assert merged(items) == merged(items[::-1])


@given(batches)
def test_merge_is_idempotent(items: list[MemberEntry]) -> None:
    table = new_table()
    table.merge(items)
    before = dict(table.others)
    assert table.merge(items) == []
    assert table.others == before


@given(batches)
def test_peers_change_only_the_rank_of_the_own_entry(
    items: list[MemberEntry],
) -> None:
    table = new_table()
    table.merge(items)
    without_sequence = attrs.evolve(
        table.own,
        incarnation=table.own.incarnation,
        sequence=0,
    )
    assert without_sequence == attrs.evolve(
        new_table().own, incarnation=table.own.incarnation
    )
    own_entries = [item for item in items if item.node == OWN]
    assert all(
        EntryRank.of(item) <= EntryRank.of(table.own) for item in own_entries
    )


@given(batches, batches)
def test_removed_members_do_not_return_by_old_entries(
    before: list[MemberEntry], after: list[MemberEntry]
) -> None:
    table = new_table()
    table.merge(before)
    for node in list(table.others):
        table.remove(node)
    ranks = dict(table.tombstones)
    table.merge(after)
    for node, known in table.others.items():
        assert node not in ranks or EntryRank.of(known) > ranks[node]


@given(batches)
def test_versions_never_decrease_within_an_incarnation(
    items: list[MemberEntry],
) -> None:
    table = new_table()
    highest_versions: dict[tuple[str, int], int] = {}
    for item in items:
        table.merge([item])
        for known in table.others.values():
            key = known.node, known.incarnation
            assert known.version >= highest_versions.get(key, 0)
            highest_versions[key] = known.version


@pytest.mark.parametrize(
    ("state", "new_state"),
    [
        pytest.param(DRAINING, READY, id="draining-to-ready"),
        pytest.param(DRAINING, MemberState.STARTING.value, id="to-starting"),
        pytest.param(GONE, DRAINING, id="gone-to-draining"),
    ],
)
def test_a_draining_member_needs_a_new_incarnation_to_return(
    state: str, new_state: str
) -> None:
    table = MemberTable(entry(OWN, state=state))
    with pytest.raises(ValueError, match="cannot become"):
        table.update_own(state=new_state)
    table.restart_own(2, state=new_state)
    assert (table.own.incarnation, table.own.state) == (2, new_state)


@pytest.mark.parametrize(
    ("states", "expected"),
    [
        pytest.param([READY, READY, SUSPECT], 2, id="few-suspects-left-out"),
        pytest.param([READY, SUSPECT, SUSPECT], 3, id="most-suspect-kept"),
        pytest.param([SUSPECT, SUSPECT], 2, id="all-suspect-kept"),
        pytest.param([GONE, DRAINING, READY], 1, id="leaving-left-out"),
    ],
)
def test_ready_for(states: list[str], expected: int) -> None:
    table = MemberTable(MemberEntry(node=OWN))
    table.merge(
        MemberEntry(node=f"n{index}", state=state, upstream="u")
        for index, state in enumerate(states)
    )
    assert len(table.ready_for("u")) == expected
    assert table.available_upstreams() == {"u"}
