"""Tracks a target's state by its announcements."""

import enum

import attrs

from pomelobank_schema.generated.records import TargetAnnouncement


class TargetChange(enum.Enum):
    """Change of a target's state after an announcement or an expired lease.

    Attributes:
        NONE: No change; at most the lease was renewed.
        ACTIVATED: The target is new, or announces itself again after its lease
            expired, or its announcement differs from the previous one.
        RESTARTED: A draining target has started again.
        DRAINING: The target is draining.
        LAPSED: The target's lease expired.
    """

    NONE = "none"
    ACTIVATED = "taken"
    RESTARTED = "restarted"
    DRAINING = "draining"
    LAPSED = "lapsed"


@attrs.define(eq=False)
class TargetLease:
    """Lease of the target beside a node, renewed by the target's announcements.

    Health pages lag or report a wrong state. A target therefore renews its
    lease with each announcement and receives requests until the lease expires.
    Several missing announcements in a row cannot be explained by one slow
    response: the target is down, frozen or partitioned from the node.

    Attributes:
        lease_ms: Maximum time between two announcements.
        announcement: The latest announcement, None before the first.
        renewed_ms: When the latest announcement arrived.
        draining: Whether the target is draining.
        lapsed: Whether the lease has expired.
        closed: Whether the node is stopping and accepts no target any more.
        lapses: How often the lease expired, for the metrics.
    """

    lease_ms: int
    announcement: TargetAnnouncement | None = None
    renewed_ms: int = 0
    draining: bool = False
    lapsed: bool = False
    closed: bool = False
    lapses: int = 0

    def on_announcement(
        self, new: TargetAnnouncement, now_ms: int
    ) -> TargetChange:
        """Handles an announcement of the target and renews the lease."""
        previous, self.announcement = self.announcement, new
        was_lapsed, self.lapsed = self.lapsed, False
        self.renewed_ms = now_ms
        if self.closed:
            return TargetChange.NONE
        if new.draining:
            return self.drain()
        if self.draining:
            return self._restart(previous, new, was_lapsed)
        if was_lapsed or previous is None or _differs(previous, new):
            return TargetChange.ACTIVATED
        return TargetChange.NONE

    def _restart(
        self,
        previous: TargetAnnouncement | None,
        new: TargetAnnouncement,
        was_lapsed: bool,
    ) -> TargetChange:
        # A draining target may continue to announce itself until its process
        # ends. Only another start, or an announcement after the lease expired,
        # counts as a restart.
        same_start = previous is not None and _start_identity(
            previous
        ) == _start_identity(new)
        if same_start and not was_lapsed:
            return TargetChange.NONE
        self.draining = False
        return TargetChange.RESTARTED

    def drain(self) -> TargetChange:
        """Marks the target as draining until it starts again."""
        if self.draining:
            return TargetChange.NONE
        self.draining = True
        return TargetChange.DRAINING

    def check(self, now_ms: int) -> TargetChange:
        """Detects that the lease has expired."""
        if self.announcement is None or self.lapsed:
            return TargetChange.NONE
        if now_ms - self.renewed_ms <= self.lease_ms:
            return TargetChange.NONE
        self.lapsed = True
        self.lapses += 1
        return TargetChange.NONE if self.draining else TargetChange.LAPSED

    def close(self) -> None:
        """Rejects all targets from now on, because the node is stopping."""
        self.closed = True
        self.draining = True


def _start_identity(announcement: TargetAnnouncement) -> tuple[str, int, str]:
    return (
        announcement.instance,
        announcement.started_at_ms,
        announcement.address,
    )


def _differs(first: TargetAnnouncement, second: TargetAnnouncement) -> bool:
    # A target that has warmed up gets the same requests as before.
    return attrs.evolve(first, warming_up=second.warming_up) != second
