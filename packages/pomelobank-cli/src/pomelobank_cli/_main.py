"""Entry point of the `pomelobank` command: arguments and exit status."""

import argparse
import os
import sys
from pathlib import Path

import grpc

from pomelobank_cli import _commands, _keys, _workspaces
from pomelobank_cli._client import Client, InputError
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
  pomelobank get --output yaml > before.yaml     # backup for a roll-back
  pomelobank apply before.yaml --prune           # roll back
  pomelobank audit --limit 5 --output json
  pomelobank workspaces show acme                # digests of its keys
  pomelobank keys add acme --wait                # prints the new key once

exit status: 0 success, 1 change rejected, 2 invalid input, 3 outcome unknown
(query the outcome with 'pomelobank change ID'), 4 node unreachable, 5 the
awaited version did not reach all members before --timeout. The commands for
keys exit with 1 for that too.
"""


def main(arguments: list[str] | None = None) -> int:
    """Runs one command.

    Args:
        arguments: Command-line arguments; None to use `sys.argv`.

    Returns:
        The exit status.
    """
    options = _parse(arguments)
    if not options.node:
        return _fail(
            ExitStatus.BAD_INPUT,
            f"no node given: use --node IP:PORT or set {NODE_VARIABLE}",
        )
    client = Client.connect(options.node, options.call_timeout)
    try:
        status = int(options.run(client, options))
        # Output to a pipe is buffered, so short output is written only by this
        # flush. If the reader, such as `head`, has closed the pipe, the
        # BrokenPipeError must be raised inside this `try`.
        sys.stdout.flush()
    except BrokenPipeError:
        # The interpreter flushes the output again at its exit; writing to the
        # null device keeps that flush from printing a second error.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return int(ExitStatus.OK)
    except SchemaError as error:
        return _fail(ExitStatus.BAD_INPUT, f"{options.file}: {error}")
    except InputError as error:
        return _fail(ExitStatus.BAD_INPUT, str(error))
    except grpc.RpcError as error:
        return _fail(
            ExitStatus.UNREACHABLE,
            f"node {options.node} did not respond"
            f" ({error.code().name.lower()}); try another node of the mesh",
        )
    return status


def _parse(arguments: list[str] | None) -> argparse.Namespace:
    parser = _parser()
    options, unexpected = parser.parse_known_args(arguments)
    if not unexpected:
        return options
    if "arguments" not in options:
        parser.error(f"unrecognized arguments: {' '.join(unexpected)}")
    # Arguments after an option of a command for keys. The message of argparse
    # would print a key that was passed by mistake.
    options.arguments = [*options.arguments, *unexpected]
    return options


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
        help="time-out of one call, in seconds (default: %(default)s)",
    )
    parser.set_defaults(file=None)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_apply(commands)
    _add_change(commands)
    _add_get(commands)
    _add_audit(commands)
    _add_status(commands)
    _add_workspaces(commands)
    _add_keys(commands)
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
    command.add_argument("file", type=Path, help="configuration document, YAML")
    command.add_argument("--author", default="", help="author of the change")
    command.add_argument("--reason", default="", help="reason for the change")
    command.add_argument(
        "--change-id",
        default="",
        help="id of the change; a repeat is applied once",
    )
    command.add_argument(
        "--dry-run",
        action="store_true",
        help="show the difference without a change",
    )
    command.add_argument(
        "--prune",
        action="store_true",
        help="also delete every object that the file does not contain",
    )
    command.set_defaults(run=_commands.run_apply)


def _add_change(commands: _Commands) -> None:  # type: ignore[valid-type]
    command = _add(commands, "change", "print the outcome of an earlier change")
    command.add_argument("change_id")
    command.set_defaults(run=_commands.run_change)


def _add_get(commands: _Commands) -> None:  # type: ignore[valid-type]
    command = _add(commands, "get", "print the configuration in force")
    command.set_defaults(run=_commands.run_get)


def _add_audit(commands: _Commands) -> None:  # type: ignore[valid-type]
    command = _add(commands, "audit", "print the audit trail, newest first")
    command.add_argument("--limit", type=int, default=0)
    command.add_argument(
        "--author", default="", help="only changes by this author"
    )
    command.add_argument(
        "--object",
        default="",
        help="only changes of this object, such as route/stock",
    )
    command.set_defaults(run=_commands.run_audit)


def _add_status(commands: _Commands) -> None:  # type: ignore[valid-type]
    command = _add(commands, "status", "print the state of all members")
    command.add_argument(
        "--wait",
        type=int,
        help="wait until every present member has this version",
    )
    command.add_argument(
        "--timeout", type=float, default=11.0, help="longest wait, in seconds"
    )
    command.set_defaults(run=_commands.run_status)


def _add_group(commands: _Commands, name: str, text: str) -> _Commands:  # type: ignore[valid-type]
    group = commands.add_parser(name, help=text, description=text)  # type: ignore[attr-defined]
    added: _Commands = group.add_subparsers(required=True, metavar="COMMAND")  # type: ignore[valid-type]
    return added


def _add_workspaces(commands: _Commands) -> None:  # type: ignore[valid-type]
    group = _add_group(commands, "workspaces", "print workspaces")
    command = _add(group, "list", "print all workspaces")
    command.set_defaults(run=_workspaces.run_list)
    command = _add(group, "show", "print a workspace and its key digests")
    command.add_argument("workspace")
    command.set_defaults(run=_workspaces.run_show)


def _add_keys(commands: _Commands) -> None:  # type: ignore[valid-type]
    group = _add_group(commands, "keys", "change API keys of a workspace")
    command = _add_key_command(group, "add", "add a key and print it once")
    command.set_defaults(run=_keys.run_add)
    command = _add_key_command(group, "remove", "remove a key by its digest")
    command.set_defaults(run=_keys.run_remove)
    command = _add_key_command(group, "rotate", "add a key, remove an old one")
    command.add_argument(
        "--remove",
        metavar="DIGEST",
        default="",
        help="digest of the old key, which a second change removes",
    )
    command.set_defaults(run=_keys.run_rotate)


def _add_key_command(
    commands: _Commands,  # type: ignore[valid-type]
    name: str,
    text: str,
) -> argparse.ArgumentParser:
    command: argparse.ArgumentParser = commands.add_parser(  # type: ignore[attr-defined]
        name, help=text, description=text
    )
    command.add_argument("workspace")
    # Accepts any number of arguments; see `_parse`.
    command.add_argument(
        "arguments",
        nargs="*",
        metavar="DIGEST",
        help="digest of the key" if name == "remove" else argparse.SUPPRESS,
    )
    command.add_argument(
        "--stdin", action="store_true", help="read the key from standard input"
    )
    command.add_argument("--author", default="", help="author of the change")
    command.add_argument("--reason", default="", help="reason for the change")
    command.add_argument(
        "--wait",
        action="store_true",
        help="wait until every node that responds has the change in force",
    )
    command.add_argument(
        "--timeout", type=float, default=11.0, help="longest wait, in seconds"
    )
    return command
