"""Rendezvous hashing: an order of nodes on which all agree without asking."""

import functools
from collections.abc import Iterable

import xxhash


@functools.lru_cache(maxsize=8192)
def _weight(salt: str, node: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{salt}\0{node}".encode())


def rendezvous_order(nodes: Iterable[str], salt: str) -> list[str]:
    """Returns nodes in the order of their hashes.

    When a node comes or goes, the others keep their order among each other.

    Args:
        nodes: Ids of nodes.
        salt: What the order is for; different salts give unrelated orders.

    Returns:
        The ids, the highest hash first.

    >>> sorted(rendezvous_order({"a", "b"}, "reader"))
    ['a', 'b']
    """
    return sorted(nodes, key=lambda node: (-_weight(salt, node), node))


def rank_of(node: str, nodes: Iterable[str], salt: str) -> int:
    """Returns the number of nodes that come before a node."""
    own = (-_weight(salt, node), node)
    return sum((-_weight(salt, other), other) < own for other in nodes)
