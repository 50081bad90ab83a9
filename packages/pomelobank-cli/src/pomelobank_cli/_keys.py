"""Commands that change the API keys of workspaces.

Standard output contains nothing but a generated key, so that a script can read
it; outcomes go to standard error.
"""

import argparse
import contextlib
import getpass
import hashlib
import secrets
import sys
import time
import uuid
from collections.abc import Iterable

import attrs
import grpc

from pomelobank_cli._client import (
    POLL_PERIOD_S,
    Client,
    InputError,
    send,
)
from pomelobank_cli._exit_status import ExitStatus
from pomelobank_cli._outcomes import STATUS_EXITS, print_outcome
from pomelobank_cli._workspaces import find_workspace
from pomelobank_schema import is_key_digest
from pomelobank_schema.generated import operator_pb2 as pb

# 256 bits cannot be guessed. The text has 43 characters, so a generated key is
# never taken for a digest, which has 64.
_KEY_BYTES = 32
# States of members that do not respond to other members.
_SILENT_STATES = frozenset({"gone", "suspect"})


@attrs.frozen
class _NewKey:
    """A key to add.

    Attributes:
        shown: The key, to print once; empty if the operator supplied it.
        digest: Digest of the key.
    """

    shown: str = attrs.field(repr=False)
    digest: str


def run_add(client: Client, options: argparse.Namespace) -> ExitStatus:
    """Adds a generated key, or a key from standard input, to a workspace."""
    if options.arguments:
        raise InputError("a key is never an argument; use --stdin")
    found = find_workspace(client, options.workspace)
    return _add(client, options, found)


def run_remove(client: Client, options: argparse.Namespace) -> ExitStatus:
    """Removes a key from a workspace, by its digest or from standard input."""
    if options.stdin == bool(options.arguments) or len(options.arguments) > 1:
        raise InputError("name one digest, or use --stdin to pass the key")
    if options.stdin:
        digest = _digest(_read_key())
    else:
        digest = _parse_digest(options.arguments[0])
    found = find_workspace(client, options.workspace)
    return _remove(client, options, found, digest)


def run_rotate(client: Client, options: argparse.Namespace) -> ExitStatus:
    """Adds a key and then, in a second change, removes an old one."""
    if options.arguments:
        raise InputError("a key is never an argument; use --stdin")
    old = _parse_digest(options.remove) if options.remove else ""
    found = find_workspace(client, options.workspace)
    if old:
        _require_key(found, old)
    status = _add(client, options, found)
    if not old:
        return status
    if status is not ExitStatus.OK:
        _note(f"the key {old} was not removed")
        return status
    return _remove(
        client, options, find_workspace(client, options.workspace), old
    )


def _add(
    client: Client, options: argparse.Namespace, found: pb.ConfigObject
) -> ExitStatus:
    new = _supplied_key() if options.stdin else _generated_key()
    digests = _digests(found)
    if new.digest in digests:
        raise InputError("the workspace has this key already")
    reply = _put(client, options, found, (*digests, new.digest))
    if reply.status != pb.CHANGE_REJECTED:
        # With an unknown outcome the key may be in force, and the operator
        # needs it if the change turns out to be accepted.
        if new.shown:
            print(new.shown, flush=True)
        _note(f"digest of the new key: {new.digest}")
    return _finish(client, options, reply)


def _remove(
    client: Client,
    options: argparse.Namespace,
    found: pb.ConfigObject,
    digest: str,
) -> ExitStatus:
    _require_key(found, digest)
    kept = [item for item in _digests(found) if item != digest]
    return _finish(client, options, _put(client, options, found, kept))


def _put(
    client: Client,
    options: argparse.Namespace,
    found: pb.ConfigObject,
    digests: Iterable[str],
) -> pb.ApplyReply:
    changed = pb.ConfigObject()
    changed.CopyFrom(found)
    changed.workspace.key_digests[:] = digests
    operation = pb.Operation(
        kind=pb.Operation.PUT,
        object=changed,
        expected_revision=found.revision,
    )
    request = pb.ApplyRequest(
        change_id=uuid.uuid4().hex,
        author=options.author or getpass.getuser(),
        reason=options.reason,
        operations=[operation],
    )
    return send(client, request)


def _finish(
    client: Client, options: argparse.Namespace, reply: pb.ApplyReply
) -> ExitStatus:
    print_outcome(reply, dry_run=False, file=sys.stderr)
    if reply.status != pb.CHANGE_ACCEPTED or not options.wait:
        return STATUS_EXITS[reply.status]
    return _wait(client, reply.version, options.timeout)


def _wait(client: Client, version: int, timeout_s: float) -> ExitStatus:
    """Waits until every node that responds has a version in force."""
    deadline = time.monotonic() + timeout_s
    behind = "the node that was asked"
    while True:
        with contextlib.suppress(grpc.RpcError):
            reply = client.stub.GetStatus(
                pb.StatusRequest(), timeout=client.timeout_s
            )
            behind = _names_behind(reply, version)
            if not behind:
                _report_silent_nodes(reply)
                return ExitStatus.OK
        if time.monotonic() > deadline:
            _note(f"version {version} is not in force at: {behind}")
            return ExitStatus.NOT_IN_FORCE
        time.sleep(POLL_PERIOD_S)


def _names_behind(reply: pb.StatusReply, version: int) -> str:
    return ", ".join(
        member.node
        for member in reply.members
        if member.state not in _SILENT_STATES and member.version < version
    )


def _report_silent_nodes(reply: pb.StatusReply) -> None:
    silent = [item.node for item in reply.members if item.state == "suspect"]
    if silent:
        _note(
            "nodes that do not respond and may have an older version:"
            f" {', '.join(silent)}"
        )


def _generated_key() -> _NewKey:
    key = secrets.token_urlsafe(_KEY_BYTES)
    return _NewKey(key, _digest(key.encode()))


def _supplied_key() -> _NewKey:
    return _NewKey("", _digest(_read_key()))


def _read_key() -> bytes:
    """Reads a key from standard input, with or without a line break at its end.

    Raises:
        InputError: If a header could not transmit the key unchanged.
    """
    key = sys.stdin.buffer.read().removesuffix(b"\n").removesuffix(b"\r")
    if not key or key != key.strip() or any(byte < ord(" ") for byte in key):
        raise InputError(
            "standard input must contain one key, without spaces at its ends"
        )
    return key


def _digest(key: bytes) -> str:
    return hashlib.sha256(key).hexdigest()


def _parse_digest(text: str) -> str:
    if not is_key_digest(text):
        # The text may be a key, so the message does not repeat it.
        raise InputError(
            "the argument is not a SHA-256 digest of 64 hexadecimal"
            " characters; 'pomelobank workspaces show' prints the digests"
        )
    return text.lower()


def _digests(found: pb.ConfigObject) -> list[str]:
    return [digest.lower() for digest in found.workspace.key_digests]


def _require_key(found: pb.ConfigObject, digest: str) -> None:
    if digest not in _digests(found):
        raise InputError(
            f"workspace {found.workspace.name!r} has no key with the digest"
            f" {digest}"
        )


def _note(text: str) -> None:
    print(text, file=sys.stderr)
