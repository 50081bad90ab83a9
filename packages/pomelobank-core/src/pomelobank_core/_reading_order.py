"""Decides which nodes read the source of configurations for the others.

Made for a source whose calls are dear and that may fail for some nodes only.
In each data centre the members are put in one order; the first one is the
relay, which keeps its neighbours informed. The relays of a few data centres are
the readers, so that the number of reads grows neither with the nodes nor with
the data centres, and no single data centre is needed. Views of the members may
differ; each difference costs a read or a message.
"""

import enum
import functools

import attrs
import xxhash

from pomelobank_core._members import MemberState, MemberTable
from pomelobank_schema.generated.peer import MemberEntry

# Nodes of the whole mesh that read. Each covers for the others while one that
# went silent is not replaced yet.
READER_COUNT = 3
# How long a node that cannot read is passed over. It tells so with every try,
# at least once a second.
UNABLE_MS = 2500


class ReadingRole(enum.Enum):
    """What a node does for the others.

    Attributes:
        READER: It reads the source and informs all relays.
        RELAY: It informs its neighbours of what readers tell.
        FOLLOWER: It is informed.
    """

    READER = "reader"
    RELAY = "relay"
    FOLLOWER = "follower"


@attrs.define(eq=False)
class ReadingOrder:
    """Knows who reads, as far as this node can tell.

    Attributes:
        members: The members that the node knows.
        unable: Until when nodes are passed over, by address.
        ranked: The nodes of each data centre in their order, the own one
            among them.
        revision: The table's revision when they were ordered.
    """

    members: MemberTable
    unable: dict[str, int] = attrs.field(factory=dict)
    ranked: dict[str, list[MemberEntry]] = attrs.field(factory=dict)
    revision: int = -1

    def note_unable(self, address: str, now_ms: int) -> None:
        """Takes note that a node cannot read."""
        self.unable[address] = now_ms + UNABLE_MS

    def note_able(self, address: str) -> None:
        """Takes note that a node has heard of a read."""
        self.unable.pop(address, None)

    def role(self, now_ms: int) -> ReadingRole:
        """Returns what this node does for the others."""
        own = self.members.own
        relays = self._relays(now_ms)
        if relays[own.data_centre] is not own:
            return ReadingRole.FOLLOWER
        return ReadingRole.READER if _reads(own, relays) else ReadingRole.RELAY

    def has_local_reader(self, now_ms: int) -> bool:
        """Tells whether a node of the own data centre reads."""
        relays = self._relays(now_ms)
        return _reads(relays[self.members.own.data_centre], relays)

    def neighbours_ahead(self, now_ms: int) -> int:
        """Returns how many neighbours come before this node."""
        own = self.members.own
        neighbours = self._ordered()[own.data_centre]
        before = neighbours[: neighbours.index(own)]
        return sum(self._is_able(entry, now_ms) for entry in before)

    def remote_relays(self, now_ms: int) -> list[MemberEntry]:
        """Returns the relays of the other data centres."""
        own = self.members.own.data_centre
        relays = self._relays(now_ms)
        return [entry for place, entry in relays.items() if place != own]

    def _relays(self, now_ms: int) -> dict[str, MemberEntry]:
        relays = {}
        for place, entries in self._ordered().items():
            for entry in entries:
                if self._is_able(entry, now_ms):
                    relays[place] = entry
                    break
        return relays

    def _is_able(self, entry: MemberEntry, now_ms: int) -> bool:
        # A node that cannot read goes on trying unless another one can.
        if entry is self.members.own:
            return True
        return self.unable.get(entry.peer_address, 0) <= now_ms

    def _ordered(self) -> dict[str, list[MemberEntry]]:
        if self.revision != self.members.revision:
            self.revision = self.members.revision
            self.ranked = self._order()
        return self.ranked

    def _order(self) -> dict[str, list[MemberEntry]]:
        suspect = MemberState.SUSPECT.value
        own = self.members.own
        ranked = {own.data_centre: [own]}
        for entry in self.members.present():
            if entry.state != suspect:
                ranked.setdefault(entry.data_centre, []).append(entry)
        for entries in ranked.values():
            entries.sort(key=_rank)
        return ranked


def _reads(relay: MemberEntry, relays: dict[str, MemberEntry]) -> bool:
    before = sum(_rank(entry) < _rank(relay) for entry in relays.values())
    return before < READER_COUNT


def _rank(entry: MemberEntry) -> tuple[int, int]:
    # Fast lines first: a reader fetches whole documents.
    return -entry.line_mbps, _hash(entry.node)


@functools.lru_cache(maxsize=8192)
def _hash(node: str) -> int:
    return xxhash.xxh3_64_intdigest(node.encode())
