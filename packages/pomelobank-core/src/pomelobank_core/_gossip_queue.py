"""Queues updates about members so that gossip reaches every member."""

from collections.abc import Iterable

import attrs

from pomelobank_core._members import MemberTable
from pomelobank_schema.generated.peer import Gossip, MemberEntry, MemberVersion

# Each member sends an entry this many times the logarithm of the fleet's size.
# With a factor of 2, gossip of an entry fails to reach a member with a
# probability below 1 in 10,000, and the comparison of tables corrects the rest.
# With a factor of 3, gossip of 63 members in five data centres took as many
# bytes between the data centres as all requests did.
_ENTRY_FACTOR = 2
# A version is sent less often than an entry. Operators who watch a roll-out
# read the version, but load balancing does not depend on it, and each change
# causes a burst of one version per member.
_VERSION_FACTOR = 1
# Upper bounds in bytes of the msgpack size of the numbers and headers of an
# entry and of a version.
_ENTRY_OVERHEAD = 64
_VERSION_OVERHEAD = 24


@attrs.define
class GossipQueue:
    """Queued updates about members, with the number of sends of each update.

    Attributes:
        entries: Number of sends of each changed entry, by node.
        versions: Number of sends of each changed version, by node.
    """

    entries: dict[str, int] = attrs.field(factory=dict)
    versions: dict[str, int] = attrs.field(factory=dict)

    def add(self, node: str) -> None:
        """Queues a member's entry; resets the count of a queued entry."""
        self.entries[node] = 0
        self.versions.pop(node, None)

    def add_version(self, node: str) -> None:
        """Queues a member's version unless its entry is queued."""
        if node not in self.entries:
            self.versions[node] = 0

    def on_received(self, node: str, members: int) -> None:
        """Counts a known entry from a peer as a send of the queued entry.

        Args:
            node: The entry's member.
            members: Number of members of the mesh.
        """
        if node in self.entries:
            _count_send(
                self.entries, node, _ENTRY_FACTOR * spread_rounds(members)
            )

    def next_gossip(
        self,
        table: MemberTable,
        limit_bytes: int,
        first: Iterable[MemberEntry] = (),
    ) -> Gossip:
        """Returns the next updates that fit, least often sent first.

        Args:
            table: The table of members that contains the entries.
            limit_bytes: Maximum size of the gossip; the node's own entry and
                `first` are included even if they exceed the limit.
            first: Entries that the receiver must learn.

        Returns:
            The node's own entry, `first` and queued updates.
        """
        members = [table.own, *first]
        left_bytes = limit_bytes - sum(
            entry_size_bytes(entry) for entry in members
        )
        rounds = spread_rounds(len(table.others) + 1)
        skip = {entry.node for entry in members}
        for node in self._ordered(self.entries, skip):
            entry = table.others.get(node)
            size = 0 if entry is None else entry_size_bytes(entry)
            if size > left_bytes:
                break
            _count_send(self.entries, node, _ENTRY_FACTOR * rounds)
            if entry is not None:
                members.append(entry)
                left_bytes -= size
        versions = self._next_versions(table, left_bytes, rounds)
        return Gossip(members=tuple(members), versions=tuple(versions))

    def _next_versions(
        self, table: MemberTable, left_bytes: int, rounds: int
    ) -> list[MemberVersion]:
        chosen = []
        for node in self._ordered(self.versions, {table.own.node}):
            left_bytes -= len(node) + _VERSION_OVERHEAD
            if left_bytes < 0:
                break
            _count_send(self.versions, node, _VERSION_FACTOR * rounds)
            entry = table.others.get(node)
            if entry is not None:
                chosen.append(version_of(entry))
        return chosen

    @staticmethod
    def _ordered(queue: dict[str, int], skip: set[str]) -> list[str]:
        return sorted(queue.keys() - skip, key=lambda node: (queue[node], node))


def version_of(entry: MemberEntry) -> MemberVersion:
    """Returns the version of an entry as a message of its own."""
    return MemberVersion(
        node=entry.node, incarnation=entry.incarnation, version=entry.version
    )


def version_size_bytes(item: MemberVersion) -> int:
    """Returns an upper bound in bytes of a version's encoded size."""
    return len(item.node) + _VERSION_OVERHEAD


def spread_rounds(members: int) -> int:
    """Returns the rounds in which an update reaches every member.

    The number of members that know the update doubles with each round.

    >>> spread_rounds(3), spread_rounds(1000)
    (2, 10)
    """
    return max(1, (members - 1).bit_length())


def entry_size_bytes(entry: MemberEntry) -> int:
    """Returns an upper bound in bytes of an entry's encoded size."""
    strings = (
        entry.node,
        entry.data_centre,
        entry.peer_address,
        entry.http_address,
        entry.upstream,
    )
    return _ENTRY_OVERHEAD + sum(len(text) for text in strings)


def _count_send(queue: dict[str, int], node: str, limit: int) -> None:
    queue[node] += 1
    if queue[node] >= limit:
        del queue[node]
