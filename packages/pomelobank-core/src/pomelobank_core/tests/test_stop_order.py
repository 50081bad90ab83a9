"""Tests of the order in which a data centre's nodes end together."""

import pytest

from pomelobank_core import MemberState, StopOrder
from pomelobank_schema.generated.peer import MemberEntry

NODES = [f"node-{number}" for number in range(6)]


def _entry(
    node: str, state: MemberState, data_centre: str = "a"
) -> MemberEntry:
    return MemberEntry(
        node=node,
        incarnation=1,
        state=state.value,
        data_centre=data_centre,
        peer_address="127.0.0.1:1",
    )


def _second_group() -> list[str]:
    members = [_entry(node, MemberState.READY) for node in NODES]
    return [n for n in NODES if StopOrder(n, "a").in_second_group(members)]


def test_half_of_a_data_centre_is_in_the_second_group() -> None:
    assert len(_second_group()) == len(NODES) // 2


@pytest.mark.parametrize(
    ("states", "must_wait_expected"),
    [
        pytest.param([], False, id="all ready"),
        pytest.param([MemberState.DRAINING], False, id="one of three draining"),
        pytest.param(
            [MemberState.DRAINING] * 2, True, id="two of three draining"
        ),
        pytest.param([MemberState.GONE] * 3, True, id="all gone"),
        pytest.param(
            [MemberState.STARTING] * 2, True, id="two of three starting"
        ),
    ],
)
def test_the_second_group_waits_while_half_of_the_first_is_not_ready(
    states: list[MemberState], must_wait_expected: bool
) -> None:
    """Guards against all nodes of a data centre ending at the same time."""
    second = _second_group()
    first = [node for node in NODES if node not in second]
    states_by_node = dict(zip(first, states, strict=False))
    members = [
        _entry(node, states_by_node.get(node, MemberState.READY))
        for node in NODES
    ]
    assert StopOrder(second[0], "a").must_wait(members) is must_wait_expected
    assert not StopOrder(first[0], "a").must_wait(members)


def test_other_data_centres_are_ignored() -> None:
    """Guards against a stop that is delayed by nodes of another data centre."""
    members = [_entry(node, MemberState.READY) for node in NODES]
    members += [
        _entry(f"remote-{number}", MemberState.GONE, "b") for number in range(9)
    ]
    assert not any(StopOrder(n, "a").must_wait(members) for n in NODES)
