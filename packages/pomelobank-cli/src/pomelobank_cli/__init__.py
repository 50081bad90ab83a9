"""Command line by which operators manage a pomelobank mesh."""

from pomelobank_cli._exit_status import ExitStatus
from pomelobank_cli._main import main

__all__ = ["ExitStatus", "main"]
