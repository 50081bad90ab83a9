"""Workspaces: API keys, revocation and usage caps."""

from pomelobank_core.workspaces._configured import workspace_table
from pomelobank_core.workspaces._freshness import (
    NEVER_KNOWN_MS,
    ConfigFreshness,
)
from pomelobank_core.workspaces._freshness_schedule import (
    FreshnessSchedule,
    QueryScope,
)
from pomelobank_core.workspaces._identity import (
    Anonymous,
    Rejected,
    RejectionReason,
    identify,
)
from pomelobank_core.workspaces._rank import LOTTERY_FRACTION, request_rank
from pomelobank_core.workspaces._usage_counts import UsageCounts
from pomelobank_core.workspaces._workspace import (
    Workspace,
    WorkspaceTable,
    key_digest,
)

__all__ = [
    "LOTTERY_FRACTION",
    "NEVER_KNOWN_MS",
    "Anonymous",
    "ConfigFreshness",
    "FreshnessSchedule",
    "QueryScope",
    "Rejected",
    "RejectionReason",
    "UsageCounts",
    "Workspace",
    "WorkspaceTable",
    "identify",
    "key_digest",
    "request_rank",
    "workspace_table",
]
