"""Counts of tokens and runs of workspaces with a usage cap."""

import enum
from collections import Counter

import attrs

# Maximum number of workspaces that are counted by name until the counts are
# taken; further ones are counted together.
MAX_NAMES = 1000
# Name under which the counts of all other workspaces are summed.
OTHER_NAMES = "(other)"


class CapEvent(enum.Enum):
    """What is counted; the values are the names in log lines.

    Attributes:
        GRANTED_FIRST: Tokens granted by the first member in the order.
        GRANTED_LATER: Tokens granted by another member.
        USED: Tokens used by requests.
        VOID: Tokens that no request used before the end of their lease.
        GIVEN_BACK: Tokens of requests that did not run, usable again.
        FIRST_RUN: First attempts that may have run.
        FURTHER_RUN: Further attempts of the same request that may have run.
    """

    GRANTED_FIRST = "granted_first"
    GRANTED_LATER = "granted_later"
    USED = "used"
    VOID = "void"
    GIVEN_BACK = "given_back"
    FIRST_RUN = "first_runs"
    FURTHER_RUN = "further_runs"


@attrs.define
class CapActivity:
    """Counts since the counts were last taken, and their totals.

    Attributes:
        counts: Counts by workspace.
        rates_per_s: Rate at which this node last granted, by workspace.
        totals: Counts of all workspaces since the start.
    """

    counts: dict[str, Counter[CapEvent]] = attrs.field(factory=dict)
    rates_per_s: dict[str, float] = attrs.field(factory=dict)
    totals: Counter[str] = attrs.field(factory=Counter)

    def add(self, workspace: str, event: CapEvent, count: int = 1) -> None:
        """Adds events of a workspace."""
        if not count:
            return
        counts = self.counts.get(workspace)
        if counts is None:
            if len(self.counts) >= MAX_NAMES:
                workspace = OTHER_NAMES
            counts = self.counts.setdefault(workspace, Counter())
        counts[event] += count
        self.totals[event.value] += count

    def add_grant(
        self, workspace: str, tokens: int, rate_per_s: float, is_first: bool
    ) -> None:
        """Adds granted tokens.

        Args:
            workspace: Name of the workspace.
            tokens: Number of tokens.
            rate_per_s: Rate at which the bucket filled, in tokens per second.
            is_first: Whether this node is the first in the order.
        """
        self.add(
            workspace,
            CapEvent.GRANTED_FIRST if is_first else CapEvent.GRANTED_LATER,
            tokens,
        )
        if tokens and len(self.rates_per_s) < MAX_NAMES:
            self.rates_per_s[workspace] = rate_per_s

    def add_runs(self, workspace: str, runs: int) -> None:
        """Adds the attempts of one request that may have run."""
        self.add(workspace, CapEvent.FIRST_RUN, min(runs, 1))
        self.add(workspace, CapEvent.FURTHER_RUN, max(0, runs - 1))

    def take(self) -> dict[str, dict[str, float]]:
        """Returns the counts by workspace and name, and starts anew.

        >>> activity = CapActivity()
        >>> activity.add_grant("acme", 3, 12.5, is_first=True)
        >>> activity.take()
        {'acme': {'granted_first': 3, 'rate_per_s': 12.5}}
        >>> activity.take()
        {}
        """
        taken: dict[str, dict[str, float]] = {
            name: {event.value: count for event, count in counts.items()}
            for name, counts in self.counts.items()
        }
        for name, rate_per_s in self.rates_per_s.items():
            taken.setdefault(name, {})["rate_per_s"] = round(rate_per_s, 2)
        self.counts.clear()
        self.rates_per_s.clear()
        return taken
