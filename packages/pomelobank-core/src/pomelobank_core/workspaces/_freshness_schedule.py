"""Decides when a node queries peers or reads the source for its keys."""

import enum

import attrs

from pomelobank_core._reading_order import ReadingRole
from pomelobank_core.workspaces._freshness import ConfigFreshness

# Interval between the queries of a follower. A reader's knowledge is up to
# 1,450 ms old, because a long poll of 700 ms is dated by its beginning until
# the next one ends. With 300 ms for a relay that does not read, a follower's
# knowledge is up to 2,750 ms old, and followers read the source from 3,000 ms
# on.
FOLLOWER_INTERVAL_MS = 1000
# Part by which the intervals of followers differ. All of them begin to query
# when the first configuration with workspaces comes into force.
_INTERVAL_SPREAD = 0.2
# Interval between the queries of a relay that does not read. There is at most
# one such relay in each data centre.
RELAY_INTERVAL_MS = 300
# Time after which an unanswered query is repeated to more peers.
REPLY_TIMEOUT_MS = 500
# The same while the node rejects keys; it doubles up to the maximum with each
# query, because an outage of the source may last long.
STALE_TIMEOUT_MS = 200
_MAX_STALE_TIMEOUT_MS = 1000
_MAX_DOUBLINGS = 3
# Minimum interval between the reads that a node requests for its keys.
READ_INTERVAL_MS = 1000
# Ages at which a node acts, as parts of `revoke_ms`. A reader queries peers
# when its own reads have failed for a while. A reply that leaves the node with
# older knowledge than `_USEFUL_PART` does not count as an answer, because the
# peer may be cut off too. A relay reads the source before its followers do, so
# that one read serves all of them. The reads of followers are spread.
_READER_QUERY_PART = 0.4
_USEFUL_PART = 0.5
_RELAY_READ_PART = 0.5
_FOLLOWER_READ_PART = 0.6
_READ_SPREAD = 0.1


class QueryScope(enum.Enum):
    """Peers that a node queries.

    Attributes:
        NONE: No query is due.
        NEXT: The next node towards the source: a follower's relay, or a reader.
        WIDE: The next node and two more peers, because it may not respond.
    """

    NONE = "none"
    NEXT = "next"
    WIDE = "wide"


@attrs.define(eq=False)
class FreshnessSchedule:
    """Schedules queries and reads of one node.

    Attributes:
        freshness: What the node knows.
        spread: Position of this node in the spread of intervals, from 0 to 1.
        started_ms: Time in ms at which the node began to need fresh keys.
        queried_ms: Time in ms of the last query; None before the first.
        known_at_query_ms: The time that was known when the query was sent.
        answered: Whether a reply to the last query was counted.
        unanswered: Number of queries in a row without a useful reply.
        read_requested_ms: Time in ms of the last requested read; None before
            the first.
    """

    freshness: ConfigFreshness
    spread: float
    started_ms: int
    queried_ms: int | None = None
    known_at_query_ms: int | None = None
    answered: bool = False
    unanswered: int = 0
    read_requested_ms: int | None = None

    def on_reply(self) -> None:
        """Records that a reply to the last query was counted."""
        self.answered = True

    def next_query(self, role: ReadingRole, now_ms: int) -> QueryScope:
        """Returns the peers to query now; the caller then sends the query."""
        if now_ms < self._query_due_ms(role, now_ms):
            return QueryScope.NONE
        if self.queried_ms is None or self._was_useful(now_ms):
            self.unanswered = 0
        else:
            self.unanswered += 1
        self.queried_ms = now_ms
        self.known_at_query_ms = self.freshness.known_as_of_ms
        self.answered = False
        if self.known_at_query_ms is None or self.unanswered:
            return QueryScope.WIDE
        return QueryScope.NEXT

    def _was_useful(self, now_ms: int) -> bool:
        known_ms = self.freshness.known_as_of_ms
        if known_ms is None:
            return False
        if now_ms - known_ms >= _USEFUL_PART * self.freshness.revoke_ms:
            return False
        return self.answered or known_ms != self.known_at_query_ms

    def _query_due_ms(self, role: ReadingRole, now_ms: int) -> float:
        due_ms: float = self.started_ms
        if self.queried_ms is not None:
            useful = self._was_useful(now_ms)
            due_ms = self.queried_ms + (
                self._interval_ms(role) if useful else self._timeout_ms(now_ms)
            )
        known_ms = self.freshness.known_as_of_ms
        if role is ReadingRole.READER and known_ms is not None:
            part_ms = _READER_QUERY_PART * self.freshness.revoke_ms
            due_ms = max(due_ms, known_ms + part_ms)
        return due_ms

    def _interval_ms(self, role: ReadingRole) -> float:
        if role is ReadingRole.FOLLOWER:
            return FOLLOWER_INTERVAL_MS * (1 - _INTERVAL_SPREAD * self.spread)
        return RELAY_INTERVAL_MS

    def _timeout_ms(self, now_ms: int) -> int:
        if self.freshness.accepts_keys(now_ms):
            return REPLY_TIMEOUT_MS
        doublings = min(self.unanswered, _MAX_DOUBLINGS)
        return min(STALE_TIMEOUT_MS << doublings, _MAX_STALE_TIMEOUT_MS)

    def must_read(self, role: ReadingRole, now_ms: int) -> bool:
        """Returns whether the node has to read the source itself now."""
        if now_ms < self._read_due_ms(role):
            return False
        self.read_requested_ms = now_ms
        return True

    def _read_due_ms(self, role: ReadingRole) -> float:
        due_ms = self._stale_soon_ms(role)
        if self.read_requested_ms is None:
            return due_ms
        return max(due_ms, self.read_requested_ms + READ_INTERVAL_MS)

    def _stale_soon_ms(self, role: ReadingRole) -> float:
        revoke_ms = self.freshness.revoke_ms
        spread_ms = self.spread * _READ_SPREAD * revoke_ms
        known_ms = self.freshness.known_as_of_ms
        if known_ms is None:
            # The peers of a node that has just started reply within a query's
            # interval.
            return self.started_ms + FOLLOWER_INTERVAL_MS + spread_ms
        if role is not ReadingRole.FOLLOWER:
            return known_ms + _RELAY_READ_PART * revoke_ms
        return known_ms + _FOLLOWER_READ_PART * revoke_ms + spread_ms

    def due_ms(self, role: ReadingRole, now_ms: int) -> float:
        """Returns the time in ms at which a query or a read is due."""
        return min(self._query_due_ms(role, now_ms), self._read_due_ms(role))
