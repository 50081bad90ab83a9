"""Structured logs on standard output, one JSON object per line."""

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
    """Adds node, data centre, request id and configuration version."""

    def __init__(
        self, node: str, data_centre: str, version: Callable[[], int]
    ) -> None:
        super().__init__()
        self.node = node
        self.data_centre = data_centre
        self.version = version

    def filter(self, record: logging.LogRecord) -> bool:
        """Adds the fields to a record; never drops a record."""
        record.node = self.node
        record.data_centre = self.data_centre
        record.request_id = request_id.get()
        record.config_version = self.version()
        return True


def set_up_logging(
    level: str, node: str, data_centre: str, version: Callable[[], int]
) -> BoundedOutput:
    """Writes all log records of the process to standard output as JSON.

    Args:
        level: Lowest level that is written.
        node: The node's id.
        data_centre: The node's data centre.
        version: Returns the configuration version in force.

    Returns:
        The output, which counts dropped lines.
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
