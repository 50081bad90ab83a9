"""Workspaces: API keys, revocation and usage caps."""

from pomelobank_core.workspaces._cap_authority import (
    UNABLE,
    CapAuthority,
    Grant,
)
from pomelobank_core.workspaces._cap_members import (
    UNABLE_MS,
    UNREACHABLE_MS,
    CapMembers,
)
from pomelobank_core.workspaces._cap_reach import (
    GRANT_TIMEOUT_MS,
    REACH_INTERVAL_MS,
    CapReach,
)
from pomelobank_core.workspaces._cap_rules import CapRules
from pomelobank_core.workspaces._leased_tokens import LeasedTokens
from pomelobank_core.workspaces._workspace import (
    Workspace,
    WorkspaceTable,
    key_digest,
)

__all__ = [
    "GRANT_TIMEOUT_MS",
    "REACH_INTERVAL_MS",
    "UNABLE",
    "UNABLE_MS",
    "UNREACHABLE_MS",
    "CapAuthority",
    "CapMembers",
    "CapReach",
    "CapRules",
    "Grant",
    "LeasedTokens",
    "Workspace",
    "WorkspaceTable",
    "key_digest",
]
