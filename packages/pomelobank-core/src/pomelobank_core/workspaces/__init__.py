"""Workspaces: API keys, revocation and usage caps."""

from pomelobank_core.workspaces._cap_activity import CapActivity, CapEvent
from pomelobank_core.workspaces._cap_authority import (
    UNABLE,
    CapAuthority,
    Grant,
)
from pomelobank_core.workspaces._cap_members import (
    SHARDS,
    UNABLE_MS,
    UNREACHABLE_MS,
    CapMembers,
    shard_of,
)
from pomelobank_core.workspaces._cap_rules import CapRules
from pomelobank_core.workspaces._cap_support import ShardSupport
from pomelobank_core.workspaces._cap_voters import (
    VOTERS_VALID_MS,
    CapVoters,
    VotersReview,
    choose_successor,
    choose_voters,
    first_editor,
)
from pomelobank_core.workspaces._cap_votes import (
    MAX_VOTE_MS,
    VOTE_MS,
    VOTES_OVER_MS,
    VoteBook,
    VoteClaim,
)
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
from pomelobank_core.workspaces._leased_tokens import LeasedTokens
from pomelobank_core.workspaces._rank import LOTTERY_FRACTION, request_rank
from pomelobank_core.workspaces._usage_counts import UsageCounts
from pomelobank_core.workspaces._workspace import (
    Workspace,
    WorkspaceTable,
    key_digest,
)

__all__ = [
    "LOTTERY_FRACTION",
    "MAX_VOTE_MS",
    "NEVER_KNOWN_MS",
    "SHARDS",
    "UNABLE",
    "UNABLE_MS",
    "UNREACHABLE_MS",
    "VOTERS_VALID_MS",
    "VOTES_OVER_MS",
    "VOTE_MS",
    "Anonymous",
    "CapActivity",
    "CapAuthority",
    "CapEvent",
    "CapMembers",
    "CapRules",
    "CapVoters",
    "ConfigFreshness",
    "FreshnessSchedule",
    "Grant",
    "LeasedTokens",
    "QueryScope",
    "Rejected",
    "RejectionReason",
    "ShardSupport",
    "UsageCounts",
    "VoteBook",
    "VoteClaim",
    "VotersReview",
    "Workspace",
    "WorkspaceTable",
    "choose_successor",
    "choose_voters",
    "first_editor",
    "identify",
    "key_digest",
    "request_rank",
    "shard_of",
    "workspace_table",
]
