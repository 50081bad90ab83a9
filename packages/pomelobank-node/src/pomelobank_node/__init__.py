"""The pomelobank node beside each target."""

from pomelobank_node._application import (
    NodeApplication,
    run_until,
)
from pomelobank_node._http_server import (
    HttpServer,
)
from pomelobank_node._instruments import (
    ALL as INSTRUMENTS,
)
from pomelobank_node._main import (
    main,
)

__all__ = [
    "INSTRUMENTS",
    "HttpServer",
    "NodeApplication",
    "main",
    "run_until",
]
