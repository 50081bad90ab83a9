"""Elects the nodes that read the configuration source for all other nodes.

The source's calls are expensive, and reads may fail for some nodes only. In
each data centre, members are sorted; the first member is the relay, which
notifies its neighbours. The relays of a few data centres are the readers.
Therefore, the number of reads grows neither with the nodes nor with the data
centres, and no single data centre is required. The nodes' member lists may
differ; each difference costs an additional read or message.
"""

import enum
import functools

import attrs
import xxhash

from pomelobank_core._members import MemberState, MemberTable
from pomelobank_schema.generated.peer import MemberEntry

# Number of readers in the whole mesh. While an unresponsive reader is not
# replaced yet, the other readers provide the configuration.
READER_COUNT = 3
# Time for which a node that cannot read is skipped. Such a node announces its
# failure with every attempt, at least once a second, so it is still skipped if
# one announcement is lost.
UNABLE_HOLD_MS = 2500


class ReadingRole(enum.Enum):
    """Role of a node in the distribution of configurations.

    Attributes:
        READER: The node reads the source and notifies all relays.
        RELAY: The node forwards notifications of readers to its neighbours.
        FOLLOWER: The node only receives notifications.
    """

    READER = "reader"
    RELAY = "relay"
    FOLLOWER = "follower"


@attrs.define(eq=False)
class ReadingOrder:
    """Computes the roles of the nodes from this node's member table.

    Attributes:
        members: The members that the node knows.
        unable_until_ms: Time until which a node is skipped, by address.
        ranked: Sorted nodes of each data centre, including this node.
        revision: Revision of the member table at the last sort.
    """

    members: MemberTable
    unable_until_ms: dict[str, int] = attrs.field(factory=dict)
    ranked: dict[str, list[MemberEntry]] = attrs.field(factory=dict)
    revision: int = -1

    def note_unable(self, address: str, now_ms: int) -> None:
        """Records that a node cannot read the source."""
        self.unable_until_ms[address] = now_ms + UNABLE_HOLD_MS

    def note_able(self, address: str) -> None:
        """Records that a node knows of a successful read."""
        self.unable_until_ms.pop(address, None)

    def role(self, now_ms: int) -> ReadingRole:
        """Returns the role of this node."""
        own = self.members.own
        relays = self._relays(now_ms)
        if relays[own.data_centre] is not own:
            return ReadingRole.FOLLOWER
        return (
            ReadingRole.READER if _is_reader(own, relays) else ReadingRole.RELAY
        )

    def has_local_reader(self, now_ms: int) -> bool:
        """Returns whether this node's data centre has a reader."""
        relays = self._relays(now_ms)
        return _is_reader(relays[self.members.own.data_centre], relays)

    def neighbours_ahead(self, now_ms: int) -> int:
        """Returns how many able neighbours precede this node in the order."""
        own = self.members.own
        neighbours = self._ranked_by_centre()[own.data_centre]
        before = neighbours[: neighbours.index(own)]
        return sum(self._is_able(entry, now_ms) for entry in before)

    def remote_relays(self, now_ms: int) -> list[MemberEntry]:
        """Returns the relays of the other data centres."""
        own = self.members.own.data_centre
        relays = self._relays(now_ms)
        return [entry for centre, entry in relays.items() if centre != own]

    def local_relay(self, now_ms: int) -> MemberEntry:
        """Returns the relay of this node's data centre."""
        return self._relays(now_ms)[self.members.own.data_centre]

    def readers(self, now_ms: int) -> list[MemberEntry]:
        """Returns the nodes that read the source."""
        relays = self._relays(now_ms)
        return [entry for entry in relays.values() if _is_reader(entry, relays)]

    def _relays(self, now_ms: int) -> dict[str, MemberEntry]:
        relays = {}
        for centre, entries in self._ranked_by_centre().items():
            for entry in entries:
                if self._is_able(entry, now_ms):
                    relays[centre] = entry
                    break
        return relays

    def _is_able(self, entry: MemberEntry, now_ms: int) -> bool:
        # A node never skips itself. A node whose reads fail continues to try
        # unless another node can read.
        if entry is self.members.own:
            return True
        return self.unable_until_ms.get(entry.peer_address, 0) <= now_ms

    def _ranked_by_centre(self) -> dict[str, list[MemberEntry]]:
        if self.revision != self.members.revision:
            self.revision = self.members.revision
            self.ranked = self._sort_members()
        return self.ranked

    def _sort_members(self) -> dict[str, list[MemberEntry]]:
        suspect = MemberState.SUSPECT.value
        own = self.members.own
        ranked = {own.data_centre: [own]}
        for entry in self.members.present():
            if entry.state != suspect:
                ranked.setdefault(entry.data_centre, []).append(entry)
        for entries in ranked.values():
            entries.sort(key=_rank)
        return ranked


def _is_reader(relay: MemberEntry, relays: dict[str, MemberEntry]) -> bool:
    before = sum(_rank(entry) < _rank(relay) for entry in relays.values())
    return before < READER_COUNT


def _rank(entry: MemberEntry) -> tuple[int, int]:
    # Nodes on fast network links come first, because readers fetch whole
    # documents.
    return -entry.line_mbps, _hash(entry.node)


@functools.lru_cache(maxsize=8192)
def _hash(node: str) -> int:
    return xxhash.xxh3_64_intdigest(node.encode())
