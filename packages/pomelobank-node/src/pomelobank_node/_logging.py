"""Structured logs: one JSON object a line on standard output."""

import contextvars
import logging
import sys
from collections.abc import Callable

from pythonjsonlogger.json import JsonFormatter

from pomelobank_node._log_output import BoundedOutput

request_id: contextvars.ContextVar[str] = contextvars.ContextVar(
    "request_id", default=""
)


class _ContextFilter(logging.Filter):
    """Adds what every line carries: node, data centre, request, version."""

    def __init__(
        self, node: str, data_centre: str, version: Callable[[], int]
    ) -> None:
        super().__init__()
        self.node = node
        self.data_centre = data_centre
        self.version = version

    def filter(self, record: logging.LogRecord) -> bool:
        """Adds the fields and keeps every record."""
        record.node = self.node
        record.data_centre = self.data_centre
        record.request_id = request_id.get()
        record.config_version = self.version()
        return True


def set_up_logging(
    level: str, node: str, data_centre: str, version: Callable[[], int]
) -> BoundedOutput:
    """Sends all logs of the process to standard output as JSON.

    Args:
        level: Least severe level that is written.
        node: The node's id.
        data_centre: The node's data centre.
        version: Tells the configuration version in force.

    Returns:
        Where the lines go.
    """
    output = BoundedOutput(sys.stdout.fileno())
    handler = logging.StreamHandler(output)
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level"},
    )
    handler.setFormatter(formatter)
    handler.addFilter(_ContextFilter(node, data_centre, version))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    logging.getLogger("uvicorn").setLevel(logging.WARNING)
    return output
