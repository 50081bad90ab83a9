"""Runs the command line: `python -m pomelobank_cli`."""

import sys

from pomelobank_cli._main import main

if __name__ == "__main__":
    sys.exit(main())
