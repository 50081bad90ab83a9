"""Checks of callers' requests where the configuration names workspaces."""

from pomelobank_node.workspaces._checks import (
    KeyFreshness,
    UncappedUsage,
    UncheckedFreshness,
    UsageCaps,
)
from pomelobank_node.workspaces._freshness_queries import FreshnessQueries

__all__ = [
    "FreshnessQueries",
    "KeyFreshness",
    "UncappedUsage",
    "UncheckedFreshness",
    "UsageCaps",
]
