"""Builds the workspace table from the objects of the configuration."""

from collections.abc import Iterable

from pomelobank_core.workspaces._workspace import Workspace, WorkspaceTable
from pomelobank_schema.generated.records import WorkspaceObject


def workspace_table(objects: Iterable[WorkspaceObject]) -> WorkspaceTable:
    """Indexes workspaces that passed the validation of the configuration.

    Args:
        objects: The workspaces; their key digests are valid, and no digest
            belongs to two of them.

    Returns:
        The table.
    """
    by_key_digest: dict[bytes, Workspace] = {}
    by_name: dict[str, Workspace] = {}
    for item in objects:
        workspace = Workspace(
            item.name, item.priority, item.rate_per_s, item.burst
        )
        by_name[item.name] = workspace
        for digest in item.key_digests:
            by_key_digest[bytes.fromhex(digest)] = workspace
    return WorkspaceTable(by_key_digest, by_name)
