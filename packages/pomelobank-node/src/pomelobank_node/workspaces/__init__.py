"""Checks of callers' requests where the configuration names workspaces."""

from pomelobank_node.workspaces._checks import (
    KeyFreshness,
    UncappedUsage,
    UncheckedFreshness,
    UsageCaps,
)

__all__ = [
    "KeyFreshness",
    "UncappedUsage",
    "UncheckedFreshness",
    "UsageCaps",
]
