"""The pomelobank node beside each target.

The names below are loaded when they are first used: a start-up that assembles
a node from other parts would otherwise pay for all of them in memory.
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
    """Loads one of the package's names."""
    if name not in _MODULES:
        raise AttributeError(f"{__name__} has no {name}")
    module, attribute = _MODULES[name]
    return getattr(importlib.import_module(f"{__name__}.{module}"), attribute)
