"""Counts the requests of workspaces for the metrics."""

from collections import Counter

import attrs

from pomelobank_core.workspaces import RejectionReason, UsageCounts

# Label of requests with an unknown key on a node that lacks a newer version.
_NEWER_VERSION = "newer_version"


@attrs.define(eq=False)
class WorkspaceUsage:
    """Numbers of requests by workspace and by reason of a rejection.

    Attributes:
        accepted: Accepted requests by workspace.
        rejected: Requests with a known key that were rejected, by workspace.
        rejected_keys: Requests rejected for want of a known key, by reason.
    """

    accepted: UsageCounts = attrs.field(factory=UsageCounts)
    rejected: UsageCounts = attrs.field(factory=UsageCounts)
    rejected_keys: Counter[str] = attrs.field(factory=Counter)

    def on_accepted(self, name: str) -> None:
        """Counts an accepted request."""
        self.accepted.add(name)

    def on_rejected(self, name: str) -> None:
        """Counts a request rejected by its usage cap or for stale keys."""
        self.rejected.add(name)
        self.rejected.report(name)
        self.accepted.report(name)

    def on_unknown_in_old_version(self) -> None:
        """Counts an unknown key that a newer version may contain."""
        self.rejected_keys[_NEWER_VERSION] += 1

    def on_unauthenticated(self, reason: RejectionReason) -> None:
        """Counts a request without a valid key."""
        self.rejected_keys[reason.value] += 1
