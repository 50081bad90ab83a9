"""Election of the nodes that read the configuration source."""

from collections import Counter

import attrs
import pytest

from pomelobank_core import (
    READER_COUNT,
    MemberTable,
    ReadingOrder,
    ReadingRole,
)
from pomelobank_schema.generated.peer import MemberEntry

NOW_MS = 10_000


def fleet(data_centres: int, nodes: int) -> list[MemberEntry]:
    return [
        MemberEntry(
            node=f"n-{centre}-{number}",
            state="ready",
            data_centre=f"data-centre-{centre}",
            peer_address=f"n-{centre}-{number}:1",
        )
        for centre in range(data_centres)
        for number in range(nodes)
    ]


def orders(entries: list[MemberEntry]) -> dict[str, ReadingOrder]:
    found = {}
    for entry in entries:
        table = MemberTable(entry)
        table.merge(item for item in entries if item is not entry)
        found[entry.peer_address] = ReadingOrder(table)
    return found


def roles(found: dict[str, ReadingOrder]) -> Counter[ReadingRole]:
    return Counter(order.role(NOW_MS) for order in found.values())


@pytest.mark.parametrize(
    ("data_centres", "nodes"),
    [
        pytest.param(1, 8, id="one data centre"),
        pytest.param(3, 3, id="as many as readers"),
        pytest.param(6, 32, id="large"),
        pytest.param(20, 50, id="as designed for"),
    ],
)
def test_reads_grow_neither_with_nodes_nor_with_data_centres(
    data_centres: int, nodes: int
) -> None:
    """Reads by every node or data centre would overload the source."""
    found = roles(orders(fleet(data_centres, nodes)))
    readers = min(READER_COUNT, data_centres)
    assert found[ReadingRole.READER] == readers
    assert found[ReadingRole.RELAY] == data_centres - readers


def test_a_reader_that_cannot_read_is_replaced() -> None:
    """The source refuses the reads of all readers.

    Without replacement readers, no node would get a new configuration.
    """
    found = orders(fleet(6, 4))
    refused = [
        address
        for address, order in found.items()
        if order.role(NOW_MS) is ReadingRole.READER
    ]
    for address, order in found.items():
        for other in refused:
            if other != address:
                order.note_unable(other, NOW_MS)
    others = {a: o for a, o in found.items() if a not in refused}
    assert roles(others)[ReadingRole.READER] == READER_COUNT


def test_a_suspect_member_is_no_reader() -> None:
    """The first member of a data centre is suspected of having failed.

    If the suspect member kept its role, the other members of its data centre
    would wait for configurations from a dead node.
    """
    entries = fleet(1, 2)
    found = orders(entries)
    first, second = sorted(
        found.values(), key=lambda order: order.neighbours_ahead(NOW_MS)
    )
    suspect = attrs.evolve(first.members.own, state="suspect")
    second.members.merge([suspect])
    assert second.role(NOW_MS) is ReadingRole.READER


def test_nodes_on_fast_links_read_first() -> None:
    """Guards against a reader on a slow network link.

    A reader fetches whole documents for all nodes. If a node on a slow network
    link were the reader, every node would get each new configuration late.
    """
    entries = fleet(1, 9)
    entries[4] = attrs.evolve(entries[4], line_mbps=50)
    found = orders(entries)
    assert found[entries[4].peer_address].role(NOW_MS) is ReadingRole.READER
