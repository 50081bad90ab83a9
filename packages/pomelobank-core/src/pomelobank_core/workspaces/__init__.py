"""Workspaces: API keys, revocation and usage caps."""

from pomelobank_core.workspaces._freshness import (
    NEVER_KNOWN_MS,
    ConfigFreshness,
)
from pomelobank_core.workspaces._freshness_schedule import (
    FreshnessSchedule,
    QueryScope,
)
from pomelobank_core.workspaces._workspace import (
    Workspace,
    WorkspaceTable,
    key_digest,
)

__all__ = [
    "NEVER_KNOWN_MS",
    "ConfigFreshness",
    "FreshnessSchedule",
    "QueryScope",
    "Workspace",
    "WorkspaceTable",
    "key_digest",
]
