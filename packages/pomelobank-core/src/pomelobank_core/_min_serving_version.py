"""Minimum version at which a starting node may serve callers."""

import attrs


@attrs.define
class MinServingVersion:
    """Decides when a starting node may serve callers.

    A node stores no state when it stops. If the node served callers with the
    first configuration that it receives, requests could be routed by an older
    version than the one that the same node used before its restart. Therefore,
    the node first learns the newest version from the end of the log or, while
    the log does not respond, from peers that serve callers. Versions from peers
    that have just started are not sufficient: after a restart of all nodes, the
    peers would agree on the outdated version that one of them received first.

    Attributes:
        settle_ms: Time for which peers' versions are collected while the log
            does not respond.
        known_version: Highest known version; never decreases.
        reached_log_end: Whether the node has read the log up to its end once.
        first_ready_ms: Time of the first version from a peer that serves
            callers.
        ready: Whether the node may serve callers; never reset.
    """

    settle_ms: int
    known_version: int = 0
    reached_log_end: bool = False
    first_ready_ms: int | None = None
    ready: bool = False

    def on_peer_version(self, version: int, ready: bool, now_ms: int) -> None:
        """Records the highest version that a peer knows.

        Args:
            version: The version.
            ready: Whether the peer serves callers.
            now_ms: Monotonic time.
        """
        if ready and self.first_ready_ms is None:
            self.first_ready_ms = now_ms
        self.on_version(version)

    def on_version(self, version: int) -> None:
        """Records a version that is or was in force on any node."""
        self.known_version = max(self.known_version, version)

    def on_log_read(self, version: int, end_offset: int) -> None:
        """Records a read of the log.

        Args:
            version: The node's version after the read.
            end_offset: Offset of the next append to the log.
        """
        self.on_version(end_offset)
        if version >= end_offset:
            self.reached_log_end = True

    def update(self, version: int, now_ms: int) -> bool:
        """Returns whether the node may serve callers.

        Args:
            version: The node's version.
            now_ms: Monotonic time.

        Returns:
            Whether the node may serve; never False after True.
        """
        self.on_version(version)
        if not self.ready:
            known = self.reached_log_end or self._peers_settled(now_ms)
            self.ready = known and version >= self.known_version
        return self.ready

    def _peers_settled(self, now_ms: int) -> bool:
        # The first peer may not know the newest change. Within a few
        # heartbeats, that peer has received the newest version from other
        # members and sent it to this node.
        if self.first_ready_ms is None:
            return False
        return now_ms - self.first_ready_ms >= self.settle_ms
