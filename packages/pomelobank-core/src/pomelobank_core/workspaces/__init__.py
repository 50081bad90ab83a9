"""Workspaces: API keys, revocation and usage caps."""

from pomelobank_core.workspaces._workspace import (
    Workspace,
    WorkspaceTable,
    key_digest,
)

__all__ = [
    "Workspace",
    "WorkspaceTable",
    "key_digest",
]
