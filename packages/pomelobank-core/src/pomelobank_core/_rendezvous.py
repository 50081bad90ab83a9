"""Rendezvous hashing: all nodes compute the same order without messages."""

import functools
from collections.abc import Iterable

import xxhash


@functools.lru_cache(maxsize=8192)
def _weight(salt: str, node: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{salt}\0{node}".encode())


def rendezvous_order(nodes: Iterable[str], salt: str) -> list[str]:
    """Returns nodes in the order of their hashes.

    When a node joins or leaves, the relative order of the other nodes stays.

    Args:
        nodes: Ids of nodes.
        salt: Name of the purpose; different salts give independent orders.

    Returns:
        The ids, the highest hash first.

    >>> sorted(rendezvous_order({"a", "b"}, "reader"))
    ['a', 'b']
    """
    return sorted(nodes, key=lambda node: (-_weight(salt, node), node))


def rank_of(node: str, nodes: Iterable[str], salt: str) -> int:
    """Returns how many nodes precede a node in the rendezvous order."""
    own = (-_weight(salt, node), node)
    return sum((-_weight(salt, other), other) < own for other in nodes)


def is_among_first(
    node: str, nodes: Iterable[str], salt: str, count: int
) -> bool:
    """Returns whether fewer than `count` nodes precede a node.

    Most nodes are not among the first, and a few others show that. The rank of
    a node takes a look at all of them.

    >>> is_among_first("a", {"a", "b"}, "reader", 2)
    True
    """
    own = (-_weight(salt, node), node)
    for other in nodes:
        if (-_weight(salt, other), other) < own:
            count -= 1
        if count <= 0:
            return False
    return count > 0
