"""Counts by workspace, reported for a bounded number of names."""

from collections import Counter

import attrs

# Name under which the sum of all other workspaces is reported. The count of a
# workspace of this name is part of the sum.
OTHER = "(other)"
# A workspace with at least this fraction of all counts is reported by name.
MIN_NAMED_FRACTION = 1 / 32
# Most names that are reported, so that the metrics page of a node stays small
# with thousands of workspaces.
MAX_NAMES = 64


@attrs.define
class UsageCounts:
    """Counts by workspace that stay monotonic while names are added.

    A workspace is reported by name from the time at which its count is large;
    its earlier counts remain in the aggregate.

    Attributes:
        totals: All counts by workspace.
        unreported: For each name that is reported, its count before.
    """

    totals: Counter[str] = attrs.field(factory=Counter)
    unreported: dict[str, int] = attrs.field(factory=dict)

    def add(self, name: str) -> None:
        """Adds one to the count of a workspace."""
        self.totals[name] += 1

    def report(self, name: str) -> None:
        """Reports a workspace by name from now on, if a name is left."""
        if name not in self.unreported and len(self.unreported) < MAX_NAMES:
            self.unreported[name] = self.totals[name]

    def reading(self) -> dict[str, int]:
        """Returns the counts by reported name, and the sum of the others."""
        total = self.totals.total()
        for name, count in self.totals.most_common(MAX_NAMES):
            if count < total * MIN_NAMED_FRACTION:
                break
            self.report(name)
        counts = {
            name: self.totals[name] - before
            for name, before in self.unreported.items()
        }
        if total:
            counts[OTHER] = total - sum(counts.values()) + counts.get(OTHER, 0)
        return counts
