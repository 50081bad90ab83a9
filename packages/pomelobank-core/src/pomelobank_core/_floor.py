"""The version below which a starting node must not serve callers."""

import attrs


@attrs.define
class VersionFloor:
    """Decides when a starting node may serve callers.

    A node keeps nothing when it stops. If it served as soon as it has any
    configuration, a caller could be routed by an older version than the same
    node used before its restart. So it first learns what the others have: from
    the end of the log, or, while the log does not answer, from its peers.

    Attributes:
        settle_ms: Time for which peers' versions are gathered while the log
            does not answer.
        heard_version: Highest version that was heard of; it never falls.
        reached_log_end: Whether the log's end was read once.
        first_peer_ms: When the first peer told its version.
        peers_read_log: Whether some peer has heard from the log.
        ready: Whether the node may serve; once set it stays.
    """

    settle_ms: int
    heard_version: int = 0
    reached_log_end: bool = False
    first_peer_ms: int | None = None
    peers_read_log: bool = False
    ready: bool = False

    def hear_peer(self, version: int, log_age_ms: int, now_ms: int) -> None:
        """Notes the highest version that a peer has heard of.

        Args:
            version: That version.
            log_age_ms: Time since the newest read of the log that the peer
                knows of; negative for none.
            now_ms: Monotonic time.
        """
        self.peers_read_log |= log_age_ms >= 0
        if self.first_peer_ms is None:
            self.first_peer_ms = now_ms
        self.hear(version)

    def hear(self, version: int) -> None:
        """Notes a version that some node has, or had, in force."""
        self.heard_version = max(self.heard_version, version)

    def read_log(self, version: int, end_offset: int) -> None:
        """Notes how far a read of the log took the node.

        Args:
            version: The node's version after the read.
            end_offset: Offset that the log's next append will get.
        """
        self.hear(end_offset)
        if version >= end_offset:
            self.reached_log_end = True

    def update(self, version: int, now_ms: int) -> bool:
        """Tells whether the node may serve.

        Args:
            version: The node's version.
            now_ms: Monotonic time.

        Returns:
            Whether it may; once it may, it may for good.
        """
        self.hear(version)
        if not self.ready:
            known = self.reached_log_end or self._peers_settled(now_ms)
            self.ready = known and version >= self.heard_version
        return self.ready

    def _peers_settled(self, now_ms: int) -> bool:
        # The first peer may be as new as this node; a few heartbeats later it
        # has passed on what it heard from the others.
        # Peers that are all new themselves know nothing; their agreement on
        # version 0 means nothing.
        if self.first_peer_ms is None:
            return False
        if not self.heard_version and not self.peers_read_log:
            return False
        return now_ms - self.first_peer_ms >= self.settle_ms
