"""Checks of callers' requests where the configuration names workspaces."""

from pomelobank_node.workspaces._checks import (
    KeyFreshness,
    UncappedUsage,
    UncheckedFreshness,
    UsageCaps,
)
from pomelobank_node.workspaces._freshness_queries import FreshnessQueries
from pomelobank_node.workspaces._gate import WorkspaceGate, WorkspacesInForce
from pomelobank_node.workspaces._usage import WorkspaceUsage
from pomelobank_node.workspaces._usage_caps import LeasedUsageCaps
from pomelobank_node.workspaces._voter_log import StoredVoters, VoterStore

__all__ = [
    "FreshnessQueries",
    "KeyFreshness",
    "LeasedUsageCaps",
    "StoredVoters",
    "UncappedUsage",
    "UncheckedFreshness",
    "UsageCaps",
    "VoterStore",
    "WorkspaceGate",
    "WorkspaceUsage",
    "WorkspacesInForce",
]
