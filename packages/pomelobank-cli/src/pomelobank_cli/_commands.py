"""The commands; each command calls one node."""

import argparse
import getpass
import json
import time
import uuid

from pomelobank_cli._client import POLL_PERIOD_S, Client, send
from pomelobank_cli._exit_status import ExitStatus
from pomelobank_cli._key_digests import check_key_digests
from pomelobank_cli._outcomes import (
    STATUS_EXITS,
    STATUS_NAMES,
    print_outcome,
)
from pomelobank_cli._output import (
    as_document,
    print_json,
    print_table,
    print_yaml,
)
from pomelobank_cli._plan import (
    PlannedStep,
    document_of,
    object_fields,
    object_key,
    plan,
)
from pomelobank_schema import build, read_yaml
from pomelobank_schema.generated import operator_pb2 as pb
from pomelobank_schema.generated.records import ConfigDocument

_MAX_SHOWN_NAMES = 3
_SECONDS_PER_MS = 0.001


def run_apply(client: Client, options: argparse.Namespace) -> ExitStatus:
    """Applies the changes that make the configuration match a file."""
    content = read_yaml(options.file)
    check_key_digests(content)
    document = build(ConfigDocument, content)
    current = client.stub.GetConfig(
        pb.GetConfigRequest(), timeout=client.timeout_s
    )
    steps = plan(current, document, options.prune)
    if not steps:
        return _print_unchanged(current, options)
    request = pb.ApplyRequest(
        change_id=options.change_id or uuid.uuid4().hex,
        author=options.author or document.author or getpass.getuser(),
        reason=options.reason or document.reason,
        operations=[step.operation for step in steps],
        dry_run=options.dry_run,
    )
    reply = send(client, request)
    if options.output == "json":
        print_json(_apply_document(reply, steps, options.dry_run))
    else:
        _print_steps(steps)
        print_outcome(reply, options.dry_run)
    return STATUS_EXITS[reply.status]


def _print_unchanged(
    current: pb.GetConfigReply, options: argparse.Namespace
) -> ExitStatus:
    if options.output == "json":
        print_json(
            {"status": "unchanged", "version": current.version, "steps": []}
        )
    else:
        print(
            f"unchanged: the configuration at version {current.version} already"
            " matches the document"
        )
    return ExitStatus.OK


def _apply_document(
    reply: pb.ApplyReply, steps: list[PlannedStep], dry_run: bool
) -> dict[str, object]:
    return {
        "status": STATUS_NAMES[reply.status],
        "dry_run": dry_run,
        "change_id": reply.change_id,
        "version": reply.version,
        "problems": [as_document(item) for item in reply.problems],
        "steps": [{"mark": step.mark, "object": step.key} for step in steps],
    }


def _print_steps(steps: list[PlannedStep]) -> None:
    for step in steps:
        print(f"{step.mark} {step.key}")
        for name in sorted(step.before.keys() | step.after.keys()):
            before, after = step.before.get(name), step.after.get(name)
            if before != after and name != "name":
                print(f"    {name}: {_as_text(before)} -> {_as_text(after)}")


def _as_text(value: object) -> str:
    return "(none)" if value is None else json.dumps(value)


def run_change(client: Client, options: argparse.Namespace) -> ExitStatus:
    """Prints the outcome of an earlier change."""
    reply = client.stub.GetChange(
        pb.ChangeRequest(change_id=options.change_id), timeout=client.timeout_s
    )
    if options.output == "json":
        print_json(_apply_document(reply, [], False))
    else:
        print_outcome(reply, False)
    return STATUS_EXITS[reply.status]


def run_get(client: Client, options: argparse.Namespace) -> ExitStatus:
    """Prints the configuration in force at the node."""
    reply = client.stub.GetConfig(
        pb.GetConfigRequest(), timeout=client.timeout_s
    )
    if options.output == "json":
        print_json(as_document(reply))
        return ExitStatus.OK
    if options.output == "yaml":
        print_yaml(document_of(reply))
        return ExitStatus.OK
    rows = [
        [object_key(item), str(item.revision), json.dumps(object_fields(item))]
        for item in reply.objects
    ]
    print(f"version {reply.version}")
    print_table(["OBJECT", "REVISION", "FIELDS"], rows)
    return ExitStatus.OK


def run_audit(client: Client, options: argparse.Namespace) -> ExitStatus:
    """Prints the audit trail, newest first."""
    request = pb.AuditRequest(
        limit=options.limit, author=options.author, object=options.object
    )
    reply = client.stub.GetAudit(request, timeout=client.timeout_s)
    if options.output == "json":
        print_json(as_document(reply))
        return ExitStatus.OK
    rows = [
        [
            str(entry.version),
            time.strftime(
                "%Y-%m-%d %H:%M:%S", time.gmtime(entry.at_ms * _SECONDS_PER_MS)
            ),
            entry.author,
            STATUS_NAMES[entry.status],
            _abbreviate(list(entry.objects)),
            entry.reason,
            entry.change_id,
        ]
        for entry in reply.entries
    ]
    header = [
        "VERSION",
        "UTC",
        "AUTHOR",
        "VERDICT",
        "OBJECTS",
        "REASON",
        "CHANGE",
    ]
    print_table(header, rows)
    return ExitStatus.OK


def _abbreviate(names: list[str]) -> str:
    shown = ", ".join(names[:_MAX_SHOWN_NAMES])
    hidden = len(names) - _MAX_SHOWN_NAMES
    return f"{shown} and {hidden} more" if hidden > 0 else shown


def run_status(client: Client, options: argparse.Namespace) -> ExitStatus:
    """Prints the state of all members, optionally once they have a version."""
    deadline = time.monotonic() + options.timeout
    while True:
        reply = client.stub.GetStatus(
            pb.StatusRequest(), timeout=client.timeout_s
        )
        behind = _lagging_nodes(reply, options.wait)
        if not behind or options.wait is None or time.monotonic() > deadline:
            break
        time.sleep(POLL_PERIOD_S)
    _print_status(reply, behind, options.output)
    return ExitStatus.TIMED_OUT if behind else ExitStatus.OK


def _lagging_nodes(
    reply: pb.StatusReply, awaited: int | None
) -> dict[str, str]:
    """Returns the nodes that lack a version, each with the likely reason."""
    if awaited is None:
        return {}
    return {
        member.node: _lag_reason(reply, member, awaited)
        for member in reply.members
        if member.state != "gone" and member.version < awaited
    }


def _lag_reason(
    reply: pb.StatusReply, member: pb.MemberStatus, awaited: int
) -> str:
    if member.state == "suspect":
        return "does not answer other members"
    if member.state == "starting":
        return "is still starting"
    if reply.log_state != "up" and member.node == reply.node:
        return "cannot read the log"
    if reply.version < awaited:
        return f"{reply.node} itself has not seen version {awaited}"
    return "has not received the records yet"


def _print_status(
    reply: pb.StatusReply, behind: dict[str, str], output: str
) -> None:
    if output == "json":
        print_json({**as_document(reply), "behind": behind})
        return
    print(
        f"node {reply.node} in {reply.data_centre}: version {reply.version},"
        f" log {reply.log_state}"
    )
    rows = [
        [
            member.node,
            member.data_centre,
            member.state,
            str(member.version),
            member.upstream or "-",
            behind.get(member.node, ""),
        ]
        for member in sorted(reply.members, key=lambda item: item.node)
    ]
    print_table(
        ["NODE", "DATA CENTRE", "STATE", "VERSION", "UPSTREAM", "BEHIND"], rows
    )
