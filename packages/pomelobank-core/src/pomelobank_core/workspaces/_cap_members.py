"""Order in which members are the authority of a workspace's usage cap."""

from collections import deque
from collections.abc import Iterable

import attrs

from pomelobank_core._members import MemberState, MemberTable
from pomelobank_core._rendezvous import rank_of, rendezvous_order
from pomelobank_schema.generated.peer import MemberEntry

# Time from which a new member counts as a possible authority. Gossip tells all
# members of a new one within about this time, so they turn to it together and
# the former authority ceases to grant.
JOIN_DELAY_MS = 700
# Time after its start in which a node grants nothing while it still learns of
# members. After a restart of all nodes, each of them knows no other one at
# first and would be the authority of every workspace.
MAX_START_DELAY_MS = 10_000
# Time for which a lost member counts among those between which the cap is
# divided. The sides of a partition each declare the other side gone after some
# seconds, and would then each grant the whole cap. A longer time would keep
# the cap low after a permanent loss of many nodes.
LOST_MEMBER_COUNTS_MS = 60_000
# Members that an entry node tries for one request.
MAX_CANDIDATES = 3
# Time for which an entry node passes over a member that did not reply. The
# member may still grant to others, so a shorter time would send more
# requests into the time-out and a longer one would delay the way back.
UNREACHABLE_MS = 1000
# Time for which an entry node passes over a member that replied that it is not
# able to grant: after its start or a pause it is able within a second or less.
UNABLE_MS = 200
# Kept changes of the members. A bucket that is older than all of them counts as
# affected, so a lower number only costs bursts.
_KEPT_CHANGES = 64
# Cached orders, about 300 bytes each.
_MAX_CACHED_ORDERS = 2048
_ELIGIBLE_STATES = (MemberState.STARTING.value, MemberState.READY.value)


@attrs.frozen
class MemberChange:
    """One change of the members that may be an authority.

    Attributes:
        number: Number of the change, counted from 1.
        node: The member that became or ceased to be eligible.
        at_ms: Time of the change.
    """

    number: int
    node: str
    at_ms: int


@attrs.define
class CapMembers:
    """Members that may be the authority of a workspace.

    Attributes:
        table: The node's table of members.
        started_ms: Time of the node's start.
        eligible: Members that may be an authority, by node id.
        joined_ms: Incarnation of each known member and the time at which this
            node first knew of it.
        last_known_ms: Time at which each member was last present.
        newest_join_ms: Time at which the newest member became known.
        changes: The newest changes of `eligible`.
        change_count: Number of all changes.
        unreachable_until_ms: Time until which members are passed over.
        orders: Cached first members by workspace.
        seen_revision: Revision of the table at the last refresh.
        next_join_ms: Time at which the next known member becomes eligible; None
            if all are.
    """

    table: MemberTable
    started_ms: int
    eligible: dict[str, MemberEntry] = attrs.field(factory=dict)
    joined_ms: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    last_known_ms: dict[str, int] = attrs.field(factory=dict)
    newest_join_ms: int = attrs.field(init=False)
    changes: deque[MemberChange] = attrs.field(
        factory=lambda: deque(maxlen=_KEPT_CHANGES)
    )
    change_count: int = 0
    unreachable_until_ms: dict[str, int] = attrs.field(factory=dict)
    orders: dict[str, list[str]] = attrs.field(factory=dict)
    seen_revision: int = -1
    next_join_ms: int | None = None

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
        self._note_known(now_ms)
        eligible = {
            entry.node: entry
            for entry in (self.table.own, *present)
            if self._is_eligible(entry, now_ms)
        }
        changed = eligible.keys() ^ self.eligible.keys()
        self.eligible = eligible
        for node in sorted(changed):
            self.change_count += 1
            self.changes.append(MemberChange(self.change_count, node, now_ms))
        if changed:
            self.orders.clear()

    def _note_joins(self, present: Iterable[MemberEntry], now_ms: int) -> None:
        for entry in present:
            known = self.joined_ms.get(entry.node)
            if known is None:
                self.newest_join_ms = now_ms
            if known is None or known[0] != entry.incarnation:
                self.joined_ms[entry.node] = (entry.incarnation, now_ms)
        for node in self.joined_ms.keys() - self.table.others.keys():
            del self.joined_ms[node]
        waits = [
            at_ms + JOIN_DELAY_MS
            for _, at_ms in self.joined_ms.values()
            if at_ms + JOIN_DELAY_MS > now_ms
        ]
        self.next_join_ms = min(waits, default=None)

    def _note_known(self, now_ms: int) -> None:
        for entry in self.table.others.values():
            if entry.state == MemberState.DRAINING.value:
                # A planned leave; the node takes no more requests.
                self.last_known_ms.pop(entry.node, None)
            elif entry.state != MemberState.GONE.value:
                self.last_known_ms[entry.node] = now_ms

    def _is_eligible(self, entry: MemberEntry, now_ms: int) -> bool:
        if entry.state not in _ELIGIBLE_STATES:
            return False
        if entry.node == self.own:
            return True
        _, joined_ms = self.joined_ms[entry.node]
        return bool(entry.peer_address) and now_ms >= joined_ms + JOIN_DELAY_MS

    def is_eligible_address(self, address: str) -> bool:
        """Tells whether a peer's address is that of a possible authority."""
        return any(
            entry.peer_address == address for entry in self.eligible.values()
        )

    def may_grant(self, now_ms: int) -> bool:
        """Tells whether this node knows the members well enough to grant."""
        if not self.table.others:
            return False
        if now_ms >= self.started_ms + MAX_START_DELAY_MS:
            return True
        return now_ms >= self.newest_join_ms + JOIN_DELAY_MS

    def settles_in_ms(self, now_ms: int) -> int:
        """Returns the time until members that start together may grant.

        Returns:
            The time in ms; 0 if this node's start is over.
        """
        started = now_ms >= self.started_ms + MAX_START_DELAY_MS
        settled_ms = self.newest_join_ms + JOIN_DELAY_MS
        return 0 if started else max(0, settled_ms - now_ms)

    def count(self, now_ms: int) -> int:
        """Returns the number of members between which the cap is divided.

        It includes this node and the members lost in the last minute.
        """
        since_ms = now_ms - LOST_MEMBER_COUNTS_MS
        present = {entry.node for entry in self.table.present()}
        for node, at_ms in list(self.last_known_ms.items()):
            if node not in present and at_ms < since_ms:
                del self.last_known_ms[node]
        return len(self.last_known_ms) + 1

    def order(self, workspace: str) -> list[str]:
        """Returns the eligible members, the authority first."""
        order = self.orders.get(workspace)
        if order is None:
            if len(self.orders) >= _MAX_CACHED_ORDERS:
                self.orders.clear()
            # An entry node passes over at most those that it could not reach
            # lately, so a part of the order would do for small partitions only.
            order = rendezvous_order(self.eligible, workspace)
            self.orders[workspace] = order
        return order

    def candidates(self, workspace: str, now_ms: int) -> list[str]:
        """Returns the members to ask for tokens, in this order."""
        reachable = []
        for node in self.order(workspace):
            if self.unreachable_until_ms.get(node, 0) <= now_ms:
                reachable.append(node)
                if len(reachable) == MAX_CANDIDATES:
                    break
        return reachable

    def pass_over(self, node: str, until_ms: int, now_ms: int) -> None:
        """Leaves a member out of the candidates until a time."""
        self.unreachable_until_ms = {
            other: until_ms
            for other, until_ms in self.unreachable_until_ms.items()
            if until_ms > now_ms
        }
        self.unreachable_until_ms[node] = until_ms

    def is_first(self, workspace: str) -> bool:
        """Tells whether this node is the first in a workspace's order."""
        order = self.order(workspace)
        return bool(order) and order[0] == self.own

    def last_takeover_ms(self, workspace: str, since_change: int) -> int | None:
        """Returns when another member may last have been the authority.

        Args:
            workspace: Name of the workspace.
            since_change: Number of changes that were taken into account before.

        Returns:
            Time of the newest change of a member that comes before this node in
            the workspace's order; None if there was none.
        """
        for change in reversed(self.changes):
            if change.number <= since_change:
                return None
            if change.node == self.own or rank_of(
                self.own, (change.node,), workspace
            ):
                return change.at_ms
        if self.change_count - since_change > len(self.changes):
            return self.changes[0].at_ms
        return None
