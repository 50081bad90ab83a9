"""Decides what the announcements of a target mean."""

import enum

import attrs

from pomelobank_schema.generated.records import TargetAnnouncement


class TargetChange(enum.Enum):
    """What an announcement, or the lack of one, changed.

    Attributes:
        NONE: Nothing; at most the lease was renewed.
        ACTIVATED: The target is new, back, or another than before.
        RESTARTED: A target that was leaving has started again.
        DRAINING: The target is leaving.
        LAPSED: The target fell silent.
    """

    NONE = "none"
    ACTIVATED = "taken"
    RESTARTED = "restarted"
    DRAINING = "draining"
    LAPSED = "lapsed"


@attrs.define(eq=False)
class TargetLease:
    """Follows the target beside a node by what it announces.

    Health pages lag or mislead; a target renews its lease by announcing itself
    and gets work for as long as it does. A few announcements that are missing
    in a row are no slow answer any more: the target is down, frozen or cut off.

    Attributes:
        lease_ms: Longest time between two announcements.
        announcement: The latest announcement, None before the first.
        renewed_ms: When it came.
        draining: Whether the target is leaving.
        lapsed: Whether the target is silent.
        closed: Whether the node stops, so that no target is taken any more.
        lapses: How often the target fell silent, for the metrics.
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
        """Takes an announcement."""
        old, self.announcement = self.announcement, new
        returned, self.lapsed = self.lapsed, False
        self.renewed_ms = now_ms
        if self.closed:
            return TargetChange.NONE
        if new.draining:
            return self.drain()
        if self.draining:
            return self._restart(old, new, returned)
        if returned or old != new:
            return TargetChange.ACTIVATED
        return TargetChange.NONE

    def _restart(
        self,
        old: TargetAnnouncement | None,
        new: TargetAnnouncement,
        returned: bool,
    ) -> TargetChange:
        # A target that leaves may well go on announcing itself until it ends.
        # Only another instance, or one that was silent in between, is a start.
        same = old is not None and _start_of(old) == _start_of(new)
        if same and not returned:
            return TargetChange.NONE
        self.draining = False
        return TargetChange.RESTARTED

    def drain(self) -> TargetChange:
        """Takes the target out until it starts again."""
        if self.draining:
            return TargetChange.NONE
        self.draining = True
        return TargetChange.DRAINING

    def check(self, now_ms: int) -> TargetChange:
        """Notices that the lease has run out."""
        if self.announcement is None or self.lapsed:
            return TargetChange.NONE
        if now_ms - self.renewed_ms <= self.lease_ms:
            return TargetChange.NONE
        self.lapsed = True
        self.lapses += 1
        return TargetChange.NONE if self.draining else TargetChange.LAPSED

    def close(self) -> None:
        """Takes no target any more."""
        self.closed = True
        self.draining = True


def _start_of(announcement: TargetAnnouncement) -> tuple[str, int, str]:
    return (
        announcement.instance,
        announcement.started_at_ms,
        announcement.address,
    )
