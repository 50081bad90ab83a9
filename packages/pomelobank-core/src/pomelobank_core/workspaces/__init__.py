"""Workspaces: API keys, revocation and usage caps."""

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
    "Anonymous",
    "Rejected",
    "RejectionReason",
    "UsageCounts",
    "Workspace",
    "WorkspaceTable",
    "identify",
    "key_digest",
    "request_rank",
]
