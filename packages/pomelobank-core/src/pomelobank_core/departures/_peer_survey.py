"""Decides when the replies of peers contain every acknowledged departure."""

import attrs

from pomelobank_core._members import MemberTable
from pomelobank_core._rendezvous import rendezvous_order
from pomelobank_schema.generated.peer import MemberEntry

# Pause before a peer that has not given a complete reply is queried again. It
# doubles with each query up to `_MAX_QUERY_INTERVAL_MS`.
QUERY_INTERVAL_MS = 200
_MAX_QUERY_INTERVAL_MS = 2000
# Longest wait for the remaining replies after the first complete one. A peer
# that is silent for longer has most likely ended, and the target of the node
# would get no requests until the mesh notices that.
MAX_REPLY_WAIT_MS = 1000
# Maximum number of peers to query. A departure is acknowledged once the members
# present have it, so each of these peers alone is likely to know it.
MAX_QUERIED_PEERS = 16
# Number of peers to query if this node knows the departures already and only
# checks that it has missed none. With two peers, the loss of one does not
# matter.
REFRESH_PEERS = 2


@attrs.define(eq=False)
class PeerSurvey:
    """A node's queries to its peers for the departures that they know.

    The replies together are complete if one of them comes from a peer that
    knows every departure acknowledged before its own start, and if every other
    peer has replied as well: a peer that was unreachable for a moment may have
    missed a departure that others have.

    Attributes:
        members: The node's table of members.
        max_peers: Maximum number of peers to query.
        queries: Number of queries and the time of the last one, by peer.
        replied: Peers that have replied.
        complete: Those of them whose reply was complete.
        first_complete_ms: Time of the first complete reply; None before.
        known_members: Highest number of peers that a reply reported.
    """

    members: MemberTable
    max_peers: int = MAX_QUERIED_PEERS
    queries: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    replied: set[str] = attrs.field(factory=set)
    complete: set[str] = attrs.field(factory=set)
    first_complete_ms: int | None = None
    known_members: int = 0

    def peers(self) -> list[MemberEntry]:
        """Returns the peers whose replies the survey waits for."""
        present = {
            entry.node: entry
            for entry in self.members.present()
            if entry.peer_address
        }
        order = rendezvous_order(present, self.members.own.node)
        return [present[node] for node in order[: self.max_peers]]

    def due_queries(self, now_ms: int) -> list[MemberEntry]:
        """Returns the peers to query now."""
        return [entry for entry in self.peers() if self._is_due(entry, now_ms)]

    def _is_due(self, entry: MemberEntry, now_ms: int) -> bool:
        if entry.node in self.complete:
            return False
        count, last_ms = self.queries.get(entry.node, (0, 0))
        if count:
            interval_ms = QUERY_INTERVAL_MS * 2 ** (count - 1)
            if now_ms - last_ms < min(interval_ms, _MAX_QUERY_INTERVAL_MS):
                return False
        self.queries[entry.node] = count + 1, now_ms
        return True

    def on_reply(
        self, node: str, complete: bool, members: int, now_ms: int
    ) -> None:
        """Handles the reply of a peer.

        Args:
            node: The peer.
            complete: Whether the peer knows every departure that was
                acknowledged before its start.
            members: Number of members that the peer knows, without this node.
            now_ms: Current time.
        """
        self.replied.add(node)
        self.known_members = max(self.known_members, members)
        if not complete:
            return
        self.complete.add(node)
        if self.first_complete_ms is None:
            self.first_complete_ms = now_ms

    def is_finished(self, now_ms: int) -> bool:
        """Returns whether the node has to wait for no further reply."""
        if self.first_complete_ms is None:
            return False
        if now_ms - self.first_complete_ms >= MAX_REPLY_WAIT_MS:
            return True
        peers = self.peers()
        expected = min(self.known_members, self.max_peers)
        return len(peers) >= expected and all(
            entry.node in self.replied for entry in peers
        )
