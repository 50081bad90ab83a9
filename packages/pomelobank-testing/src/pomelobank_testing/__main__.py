"""Tools for trying and measuring: `python -m pomelobank_testing demo`."""

import sys

from pomelobank_testing._convergence import main as convergence
from pomelobank_testing._core_config import main as core_config
from pomelobank_testing._demo import main as demo
from pomelobank_testing._latency import main as latency
from pomelobank_testing._light_target import main as light_target

_TOOLS = {
    "convergence": convergence,
    "core-config": core_config,
    "demo": demo,
    "latency": latency,
    "light-target": light_target,
}


def main() -> int:
    """Runs one tool; returns its exit status."""
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name not in _TOOLS:
        print(f"usage: python -m pomelobank_testing {{{','.join(_TOOLS)}}} ...")
        return 2
    return _TOOLS[name](sys.argv[2:])


if __name__ == "__main__":
    sys.exit(main())
