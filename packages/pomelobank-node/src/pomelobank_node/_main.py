"""The `pomelobankd` program."""

import argparse
import asyncio
import signal
import sys
from pathlib import Path

from pomelobank_node._application import NodeApplication, run_until
from pomelobank_node._event_loop import run_program, tune_garbage_collector
from pomelobank_node._logging import set_up_logging
from pomelobank_schema import SchemaError, build, read_yaml
from pomelobank_schema.generated.settings import NodeSettings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
VERSION = "0.1.0"


def main(arguments: list[str] | None = None) -> int:
    """Runs a node and returns the exit status of the process."""
    options = _parser().parse_args(arguments)
    try:
        settings = build(NodeSettings, read_yaml(options.settings))
    except SchemaError as error:
        print(f"pomelobankd: {options.settings}: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if options.check_settings:
        print(f"{options.settings}: settings are valid")
        return EXIT_OK
    return run_program(_run(settings))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="pomelobankd",
        description="The pomelobank node that runs beside each target.",
        epilog="Example: pomelobankd node.yaml",
    )
    parser.add_argument(
        "settings", type=Path, help="settings of the node, YAML"
    )
    parser.add_argument(
        "--check-settings",
        action="store_true",
        help="check the settings and exit: 0 where they are valid, 2 where not",
    )
    parser.add_argument("--version", action="version", version=VERSION)
    return parser


async def _run(settings: NodeSettings) -> int:
    application = NodeApplication(settings)
    set_up_logging(
        settings.log_level,
        settings.node,
        settings.data_centre,
        lambda: application.store.version,
    )
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, ended.set)
    try:
        await run_until(application, ended, tune_garbage_collector)
    except OSError as error:
        print(f"pomelobankd: {error}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK
