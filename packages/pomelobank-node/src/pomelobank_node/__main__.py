"""Runs a node with `python -m pomelobank_node`."""

import sys

from pomelobank_node._main import main

if __name__ == "__main__":
    sys.exit(main())
