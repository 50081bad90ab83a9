"""The `pomelobank` binary."""

import argparse
import os
import sys
from pathlib import Path

import grpc

from pomelobank_cli import _commands
from pomelobank_cli._exit_status import ExitStatus
from pomelobank_schema import SchemaError

VERSION = "0.1.0"
NODE_VARIABLE = "POMELOBANK_NODE"
_DEFAULT_TIMEOUT_S = 10.0

_EPILOG = """\
examples:
  pomelobank --node 127.0.0.1:7004 apply mesh.yaml --dry-run
  pomelobank apply mesh.yaml --reason "new shade range"
  pomelobank status --wait 12 --timeout 11
  pomelobank get --output yaml > before.yaml     # keep, to roll back with
  pomelobank apply before.yaml --prune           # roll back to it
  pomelobank audit --limit 5 --output json

exit status: 0 done, 1 rejected, 2 bad input, 3 outcome unknown (ask again
with the change id), 4 node unreachable, 5 not reached in time.
"""


def main(arguments: list[str] | None = None) -> int:
    """Runs one command; returns the exit status."""
    options = _parser().parse_args(arguments)
    if not options.node:
        return _fail(
            ExitStatus.BAD_INPUT,
            f"no node given: use --node IP:PORT or set {NODE_VARIABLE}",
        )
    client = _commands.Client.connect(options.node, options.call_timeout)
    try:
        status = int(options.run(client, options))
        # A reader such as `head` may have gone; that shows only on flushing.
        sys.stdout.flush()
    except BrokenPipeError:
        # Python flushes once more when it ends and would complain again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return int(ExitStatus.OK)
    except SchemaError as error:
        return _fail(ExitStatus.BAD_INPUT, f"{options.file}: {error}")
    except grpc.RpcError as error:
        return _fail(
            ExitStatus.UNREACHABLE,
            f"node {options.node} did not answer ({error.code().name.lower()});"
            " try another node of the mesh",
        )
    return status


def _fail(status: ExitStatus, message: str) -> int:
    print(f"pomelobank: {message}", file=sys.stderr)
    return int(status)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="pomelobank",
        description="Operates a pomelobank mesh through any of its nodes.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=VERSION)
    parser.add_argument(
        "--node",
        default=os.environ.get(NODE_VARIABLE, ""),
        help=f"operator address of a node, IP:PORT (default: ${NODE_VARIABLE})",
    )
    parser.add_argument(
        "--call-timeout",
        type=float,
        default=_DEFAULT_TIMEOUT_S,
        help="longest wait for one call, in seconds (default: %(default)s)",
    )
    parser.set_defaults(file=None)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_apply(commands)
    _add_change(commands)
    _add_get(commands)
    _add_audit(commands)
    _add_status(commands)
    return parser


_Commands = "argparse._SubParsersAction[argparse.ArgumentParser]"


def _add(commands: _Commands, name: str, text: str) -> argparse.ArgumentParser:  # type: ignore[valid-type]
    command: argparse.ArgumentParser = commands.add_parser(  # type: ignore[attr-defined]
        name, help=text, description=text
    )
    formats = ("table", "json", "yaml") if name == "get" else ("table", "json")
    command.add_argument("--output", choices=formats, default="table")
    return command


def _add_apply(commands: _Commands) -> None:  # type: ignore[valid-type]
    command = _add(commands, "apply", "make the configuration match a file")
    command.add_argument("file", type=Path, help="the document, YAML")
    command.add_argument("--author", default="", help="who asks for the change")
    command.add_argument("--reason", default="", help="why")
    command.add_argument(
        "--change-id", default="", help="id of the change; a repeat is safe"
    )
    command.add_argument(
        "--dry-run", action="store_true", help="show the difference only"
    )
    command.add_argument(
        "--prune",
        action="store_true",
        help="also delete every object that the file does not name",
    )
    command.set_defaults(run=_commands.run_apply)


def _add_change(commands: _Commands) -> None:  # type: ignore[valid-type]
    command = _add(commands, "change", "look up an earlier change")
    command.add_argument("change_id")
    command.set_defaults(run=_commands.run_change)


def _add_get(commands: _Commands) -> None:  # type: ignore[valid-type]
    command = _add(commands, "get", "print the configuration in force")
    command.set_defaults(run=_commands.run_get)


def _add_audit(commands: _Commands) -> None:  # type: ignore[valid-type]
    command = _add(commands, "audit", "print the audit trail, newest first")
    command.add_argument("--limit", type=int, default=0)
    command.add_argument("--author", default="", help="only this author's")
    command.add_argument(
        "--object", default="", help="only this object's, such as route/stock"
    )
    command.set_defaults(run=_commands.run_audit)


def _add_status(commands: _Commands) -> None:  # type: ignore[valid-type]
    command = _add(commands, "status", "print the state of the fleet")
    command.add_argument(
        "--wait", type=int, help="wait until every member has this version"
    )
    command.add_argument(
        "--timeout", type=float, default=11.0, help="longest wait, in seconds"
    )
    command.set_defaults(run=_commands.run_status)
