"""Runs demonstration and measurement tools by name.

Usage: `python -m pomelobank_testing TOOL`, for instance with the tool `demo`.
"""

import importlib
import sys

# The module of each tool. Its function `main` gets the tool's arguments.
_MODULES = {
    "cap-activity": "_cap_activity",
    "chaos": "_chaos",
    "claim-cost": "_claim_cost",
    "convergence": "_convergence",
    "core-config": "_core_config",
    "core-mass": "_core_mass",
    "core-members": "_core_members",
    "demo": "_demo",
    "experiment": "_experiment",
    "journal": "_journal",
    "goodput": "_goodput",
    "latency": "_latency",
    "light-target": "_light_target",
    "plots": "_plots",
    "queueing-target": "_queueing_target",
    "rest": "_rest",
    "rollout": "_rollout",
}


def main() -> int:
    """Runs one tool; returns the tool's exit status."""
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name not in _MODULES:
        print(
            f"usage: python -m pomelobank_testing {{{','.join(_MODULES)}}} ..."
        )
        return 2
    module = importlib.import_module(f"pomelobank_testing.{_MODULES[name]}")
    return int(module.main(sys.argv[2:]))


if __name__ == "__main__":
    sys.exit(main())
