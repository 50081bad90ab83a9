"""The pomelobank node, the proxy process beside each target.

The package imports the modules of its public names on first use. A program that
assembles a node from other components would otherwise hold all these modules in
memory.
"""

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pomelobank_node._application import NodeApplication, run_until
    from pomelobank_node._http_server import HttpServer
    from pomelobank_node._instruments import ALL as INSTRUMENTS
    from pomelobank_node._instruments import SIDECAR_ONLY
    from pomelobank_node._main import main

__all__ = [
    "INSTRUMENTS",
    "SIDECAR_ONLY",
    "HttpServer",
    "NodeApplication",
    "main",
    "run_until",
]

_MODULES = {
    "INSTRUMENTS": ("_instruments", "ALL"),
    "HttpServer": ("_http_server", "HttpServer"),
    "SIDECAR_ONLY": ("_instruments", "SIDECAR_ONLY"),
    "NodeApplication": ("_application", "NodeApplication"),
    "main": ("_main", "main"),
    "run_until": ("_application", "run_until"),
}


def __getattr__(name: str) -> Any:
    """Imports the module of a public name on first use."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module, attribute = _MODULES[name]
    return getattr(importlib.import_module(f"{__name__}.{module}"), attribute)
