"""Checks of callers' requests where the configuration names workspaces."""

from pomelobank_node.workspaces._checks import (
    KeyFreshness,
    UncappedUsage,
    UncheckedFreshness,
    UsageCaps,
)
from pomelobank_node.workspaces._usage_caps import LeasedUsageCaps

__all__ = [
    "KeyFreshness",
    "LeasedUsageCaps",
    "UncappedUsage",
    "UncheckedFreshness",
    "UsageCaps",
]
