"""Commands that show workspaces."""

import argparse

from pomelobank_cli._client import Client, InputError
from pomelobank_cli._exit_status import ExitStatus
from pomelobank_cli._output import print_json, print_table
from pomelobank_cli._plan import object_fields
from pomelobank_schema.generated import operator_pb2 as pb


def find_workspace(client: Client, name: str) -> pb.ConfigObject:
    """Returns a workspace of the configuration in force at the node.

    Raises:
        InputError: If there is no workspace of this name.
    """
    for item in _workspaces(client):
        if item.workspace.name == name:
            return item
    raise InputError(f"workspace {name!r} does not exist")


def _workspaces(client: Client) -> list[pb.ConfigObject]:
    reply = client.stub.GetConfig(
        pb.GetConfigRequest(), timeout=client.timeout_s
    )
    return [item for item in reply.objects if item.HasField("workspace")]


def run_list(client: Client, options: argparse.Namespace) -> ExitStatus:
    """Prints all workspaces."""
    found = _workspaces(client)
    if options.output == "json":
        print_json([_document(item) for item in found])
        return ExitStatus.OK
    rows = [
        [
            item.workspace.name,
            str(item.workspace.priority),
            _rate_text(item.workspace),
            str(len(item.workspace.key_digests)),
            str(item.revision),
        ]
        for item in found
    ]
    print_table(["WORKSPACE", "PRIORITY", "RATE/S", "KEYS", "REVISION"], rows)
    return ExitStatus.OK


def run_show(client: Client, options: argparse.Namespace) -> ExitStatus:
    """Prints one workspace with the digests of its keys."""
    item = find_workspace(client, options.workspace)
    if options.output == "json":
        print_json(_document(item))
        return ExitStatus.OK
    workspace = item.workspace
    print(f"workspace {workspace.name}, revision {item.revision}")
    print(f"priority {workspace.priority}")
    print(f"rate {_rate_text(workspace)}/s, burst {workspace.burst}")
    for digest in workspace.key_digests:
        print(f"key {digest}")
    return ExitStatus.OK


def _document(item: pb.ConfigObject) -> dict[str, object]:
    return {**object_fields(item), "revision": item.revision}


def _rate_text(workspace: pb.Workspace) -> str:
    return f"{workspace.rate_per_s:g}" if workspace.rate_per_s else "unlimited"
