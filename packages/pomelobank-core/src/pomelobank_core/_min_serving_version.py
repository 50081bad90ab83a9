"""The version below which a starting node must not serve callers."""

import attrs


@attrs.define
class MinServingVersion:
    """Decides when a starting node may serve callers.

    A node keeps nothing when it stops. If it served as soon as it has any
    configuration, a caller could be routed by an older version than the same
    node used before its restart. So it first learns what the others have: from
    the end of the log, or, while the log does not answer, from peers that
    serve. Peers that have just started themselves are no witnesses: after a
    herd restart they would confirm each other in whatever old version the
    first of them came by.

    Attributes:
        settle_ms: Time for which peers' versions are gathered while the log
            does not answer.
        known_version: Highest version that was heard of; it never falls.
        reached_log_end: Whether the log's end was read once.
        first_ready_ms: When the first peer that serves told its version.
        ready: Whether the node may serve; once set it stays.
    """

    settle_ms: int
    known_version: int = 0
    reached_log_end: bool = False
    first_ready_ms: int | None = None
    ready: bool = False

    def on_peer_version(self, version: int, ready: bool, now_ms: int) -> None:
        """Notes the highest version that a peer has heard of.

        Args:
            version: That version.
            ready: Whether the peer serves callers.
            now_ms: Monotonic time.
        """
        if ready and self.first_ready_ms is None:
            self.first_ready_ms = now_ms
        self.on_version(version)

    def on_version(self, version: int) -> None:
        """Notes a version that some node has, or had, in force."""
        self.known_version = max(self.known_version, version)

    def on_log_read(self, version: int, end_offset: int) -> None:
        """Notes how far a read of the log took the node.

        Args:
            version: The node's version after the read.
            end_offset: Offset that the log's next append will get.
        """
        self.on_version(end_offset)
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
        self.on_version(version)
        if not self.ready:
            known = self.reached_log_end or self._peers_settled(now_ms)
            self.ready = known and version >= self.known_version
        return self.ready

    def _peers_settled(self, now_ms: int) -> bool:
        # The first peer may have missed the newest change; a few heartbeats
        # later it has passed on what it heard from the others.
        if self.first_ready_ms is None:
            return False
        return now_ms - self.first_ready_ms >= self.settle_ms
