"""Order in which members are the authority of a workspace's usage cap."""

from collections.abc import Iterable

import attrs
import xxhash

from pomelobank_core._members import MemberState, MemberTable
from pomelobank_core._rendezvous import rendezvous_order
from pomelobank_schema.generated.peer import MemberEntry

# Number of shards. All workspaces of a shard have the same authority, which
# needs the votes of the voters for it; fewer shards need fewer votes, more of
# them spread the requests for tokens over more members.
SHARDS = 8
# Time from which a new member counts as a possible authority. Gossip tells all
# members of a new one within about this time, so they turn to it together.
JOIN_DELAY_MS = 700
# Minimum number of members that are preferred as authorities.
_MIN_PREFERRED = 4
# Members that an entry node tries for one request.
MAX_CANDIDATES = 3
# Time for which a member that did not reply is passed over. One that paused
# keeps its votes for longer; one that ended is no longer asked once another
# member has them.
UNREACHABLE_MS = 250
# Time for which an entry node passes over a member that replied that it is not
# able to grant. It may be about to get the votes for that.
UNABLE_MS = 200
_ELIGIBLE_STATES = (
    MemberState.STARTING.value,
    MemberState.READY.value,
    # The target leaves; its node may stay.
    MemberState.DRAINING.value,
)


def shard_of(workspace: str) -> int:
    """Returns the number of a workspace's shard.

    >>> shard_of("acme") == shard_of("acme") < SHARDS
    True
    """
    return xxhash.xxh3_64_intdigest(workspace.encode()) % SHARDS


def shard_salt(shard: int) -> str:
    """Returns the salt of the order of a shard's authorities."""
    return f"caps {shard}"


@attrs.define
class CapMembers:
    """Members that may be the authority of a shard.

    Nothing that a node grants depends on its view of the members; it only
    decides whom the node asks and whose requests for votes it prefers.

    Attributes:
        table: The node's table of members.
        started_ms: Time of the node's start.
        eligible: Members that may be an authority, by node id.
        joined_ms: Time at which this node first knew of each member.
        newest_join_ms: Time at which the newest member became known.
        unreachable_until_ms: Time until which members are passed over.
        orders: Cached orders by shard.
        seen_revision: Revision of the table at the last refresh.
        next_join_ms: Time at which the next known member becomes eligible; None
            if all are.
        resigned: Whether this node is about to end and is no authority.
        authorities: Other node that was last known as the authority of a shard.
    """

    table: MemberTable
    started_ms: int
    eligible: dict[str, MemberEntry] = attrs.field(factory=dict)
    joined_ms: dict[str, int] = attrs.field(factory=dict)
    newest_join_ms: int = attrs.field(init=False)
    unreachable_until_ms: dict[str, int] = attrs.field(factory=dict)
    orders: dict[int, list[str]] = attrs.field(factory=dict)
    seen_revision: int = -1
    next_join_ms: int | None = None
    resigned: bool = False
    authorities: dict[int, str] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.newest_join_ms = self.started_ms

    @property
    def own(self) -> str:
        """Id of this node."""
        return self.table.own.node

    def refresh(self, now_ms: int) -> None:
        """Takes over changes of the table of members."""
        is_join_due = (
            self.next_join_ms is not None and now_ms >= self.next_join_ms
        )
        if self.table.revision == self.seen_revision and not is_join_due:
            return
        self.seen_revision = self.table.revision
        present = self.table.present()
        self._note_joins(present, now_ms)
        eligible = {
            entry.node: entry
            for entry in (self.table.own, *present)
            if self._is_eligible(entry, now_ms)
        }
        if eligible.keys() != self.eligible.keys():
            self.orders.clear()
        self.eligible = eligible

    def _note_joins(self, present: Iterable[MemberEntry], now_ms: int) -> None:
        for entry in present:
            if entry.node not in self.joined_ms:
                self.newest_join_ms = self.joined_ms[entry.node] = now_ms
        for node in self.joined_ms.keys() - self.table.others.keys():
            del self.joined_ms[node]
        waits = [
            at_ms + JOIN_DELAY_MS
            for at_ms in self.joined_ms.values()
            if at_ms + JOIN_DELAY_MS > now_ms
        ]
        self.next_join_ms = min(waits, default=None)

    def _is_eligible(self, entry: MemberEntry, now_ms: int) -> bool:
        if entry.node == self.own:
            return not self.resigned
        if entry.state not in _ELIGIBLE_STATES or not entry.peer_address:
            return False
        return now_ms >= self.joined_ms[entry.node] + JOIN_DELAY_MS

    def resign(self, now_ms: int) -> None:
        """Leaves this node out of the order, because it is about to end."""
        self.resigned = True
        self.seen_revision = -1
        self.refresh(now_ms)

    def count(self) -> int:
        """Returns the number of members that may be an authority."""
        return len(self.eligible)

    def is_settled(self, for_ms: int, now_ms: int) -> bool:
        """Tells whether this node has learnt of no new member for a time."""
        return now_ms >= self.newest_join_ms + for_ms

    def order(self, shard: int) -> list[str]:
        """Returns the eligible members, the first authority first."""
        order = self.orders.get(shard)
        if order is None:
            salt = shard_salt(shard)
            fast = self._with_fast_links()
            others = self.eligible.keys() - fast
            order = rendezvous_order(fast, salt)
            order += rendezvous_order(others, salt)
            self.orders[shard] = order
        return order

    def _with_fast_links(self) -> set[str]:
        """Returns the members that are preferred as authorities.

        A grant that waits on the link of its sender behind responses of 100 KB
        is late, and the grants for a flooding workspace all come from one node.
        """
        links = sorted(
            (entry.line_mbps for entry in self.eligible.values()), reverse=True
        )
        slowest = links[:_MIN_PREFERRED][-1:] or [0]
        # Links within a factor of two count as equally fast.
        return {
            node
            for node, entry in self.eligible.items()
            if 2 * entry.line_mbps >= slowest[0]
        }

    def candidates(self, shard: int, now_ms: int) -> list[str]:
        """Returns the members to ask for tokens, in this order."""
        reachable = []
        known = self.authorities.get(shard, "")
        if known in self.eligible and self._is_reachable(known, now_ms):
            reachable.append(known)
        for node in self.order(shard):
            if len(reachable) >= MAX_CANDIDATES:
                break
            if node != known and self._is_reachable(node, now_ms):
                reachable.append(node)
        return reachable

    def _is_reachable(self, node: str, now_ms: int) -> bool:
        return self.unreachable_until_ms.get(node, 0) <= now_ms

    def set_authority(self, shard: int, node: str) -> None:
        """Notes that a node is the authority of a shard."""
        if node == self.own:
            self.authorities.pop(shard, None)
        else:
            self.authorities[shard] = node

    def pass_over(self, node: str, until_ms: int, now_ms: int) -> None:
        """Leaves a member out of the candidates until a time."""
        self.unreachable_until_ms = {
            other: until_ms
            for other, until_ms in self.unreachable_until_ms.items()
            if until_ms > now_ms
        }
        self.unreachable_until_ms[node] = until_ms
        for shard, authority in list(self.authorities.items()):
            if authority == node:
                del self.authorities[shard]

    def is_first(self, shard: int) -> bool:
        """Tells whether this node is the first in a shard's order."""
        order = self.order(shard)
        return bool(order) and order[0] == self.own
