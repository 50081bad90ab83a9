"""Bounds the time for which a node accepts the keys of its configuration.

A node that is out of touch with the source cannot learn that a key was removed.
It therefore accepts keys only while it knows the source's state as of a recent
time. That time is the beginning of the read, or of the chain of queries, that
brought the knowledge. It never is the arrival of a response, because a response
may be under way for any time.
"""

import attrs

# Part of `revoke_ms` that is left as a margin, as its reciprocal. The dating
# itself needs none: an accepted request was sent before the check, so the read
# began less than `revoke_ms` before the request was sent, and a read that
# begins after a removal was acknowledged contains the removal. The margin
# covers the rates of the clocks that measure the age, which differ by 0.06%
# (500 ppm of slewing, 100 ppm of the oscillator), and their rounding to 1 ms.
_MARGIN_DIVISOR = 100
# Added to a replied age, because the two readings of the clock that the age is
# the difference of are rounded down. Otherwise nodes that query each other in
# turn could make their knowledge younger by up to 1 ms with each reply.
_ROUNDING_MS = 1
# Age that a node replies if it never knew the source's state.
NEVER_KNOWN_MS = -1
# Bounds of the delay after which a caller should try again. The node queries
# its peers several times a second while it rejects keys; after a long time
# without a useful reply, an early retry is rejected again.
_MIN_RETRY_MS = 200
_MAX_RETRY_MS = 2000
# Maximum number of queries that wait for a reply; the oldest are dropped.
_MAX_PENDING = 64


@attrs.define(eq=False)
class ConfigFreshness:
    """The newest time as of which the node knows the source's state.

    Attributes:
        revoke_ms: Time after a key's removal from which no node may accept the
            key, in ms; 0 if revocation is not strict.
        known_as_of_ms: The newest time at which the source's state is known to
            be contained in the configuration in force; None if unknown. It
            never decreases.
        pending: Times at which the unanswered queries were sent, by query id.
        uncounted: Version of the newest reply that named a version newer than
            the one in force, and the time that it dates; None if there is none.
    """

    revoke_ms: int
    known_as_of_ms: int | None = None
    pending: dict[int, int] = attrs.field(factory=dict)
    uncounted: tuple[int, int] | None = None

    @property
    def max_age_ms(self) -> int:
        """Highest age of the node's knowledge at which it accepts keys."""
        return self.revoke_ms - max(1, self.revoke_ms // _MARGIN_DIVISOR)

    def on_read(self, began_ms: int) -> None:
        """Counts a read of the source by this node.

        The caller must have put the document of the read into force before.

        Args:
            began_ms: Time before the read was sent, in ms.
        """
        self._advance(began_ms)

    def on_query(self, query_id: int, sent_ms: int) -> None:
        """Records a query to a peer.

        Args:
            query_id: Number of the query. Numbers must not be used again by a
                later process of the node, because a reply to an earlier process
                may still arrive.
            sent_ms: Time before the query was sent, in ms.
        """
        self.pending[query_id] = sent_ms
        if len(self.pending) > _MAX_PENDING:
            del self.pending[next(iter(self.pending))]

    def on_reply(
        self, query_id: int, version: int, age_ms: int, in_force: int
    ) -> bool:
        """Counts a peer's reply if it belongs to a pending query.

        A reply with a newer version than the one in force counts once that
        version is in force.

        Args:
            query_id: Number of the query.
            version: Version in force at the peer.
            age_ms: Age in ms that the peer replied.
            in_force: Version in force at this node.

        Returns:
            Whether the reply was counted.
        """
        sent_ms = self.pending.pop(query_id, None)
        if sent_ms is None or age_ms < 0:
            return False
        as_of_ms = sent_ms - age_ms
        if version > in_force:
            self.uncounted = (version, as_of_ms)
            return False
        self._advance(as_of_ms)
        return True

    def on_version(self, in_force: int) -> None:
        """Counts an earlier reply whose version has come into force."""
        if self.uncounted is not None and self.uncounted[0] <= in_force:
            self._advance(self.uncounted[1])
            self.uncounted = None

    def _advance(self, as_of_ms: int) -> None:
        known_ms = self.known_as_of_ms
        if known_ms is None or as_of_ms > known_ms:
            self.known_as_of_ms = as_of_ms

    def age_ms(self, now_ms: int) -> int | None:
        """Returns the age of the node's knowledge in ms; None if unknown."""
        if self.known_as_of_ms is None:
            return None
        return now_ms - self.known_as_of_ms

    def reply_age_ms(self, now_ms: int) -> int:
        """Returns the age in ms to reply; `NEVER_KNOWN_MS` if unknown."""
        age_ms = self.age_ms(now_ms)
        return NEVER_KNOWN_MS if age_ms is None else age_ms + _ROUNDING_MS

    def accepts_keys(self, now_ms: int) -> bool:
        """Returns whether a request with a valid key may run.

        Args:
            now_ms: Time in ms, read after the request arrived.
        """
        if not self.revoke_ms:
            return True
        age_ms = self.age_ms(now_ms)
        return age_ms is not None and age_ms <= self.max_age_ms

    def retry_after_ms(self, now_ms: int) -> int:
        """Returns the delay in ms after which keys are probably accepted.

        The end of an outage is not known. Half of its length so far is a delay
        of which most end before the caller has waited as long again.
        """
        if self.accepts_keys(now_ms):
            return 0
        age_ms = self.age_ms(now_ms)
        if age_ms is None:
            return _MIN_RETRY_MS
        stale_ms = age_ms - self.max_age_ms
        return min(max(stale_ms // 2, _MIN_RETRY_MS), _MAX_RETRY_MS)
