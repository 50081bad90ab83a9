"""Callers' requests: from the bytes of a connection to a route and back."""

from pomelobank_node._dialect import Dialect
from pomelobank_node.callers._answers import error_answer
from pomelobank_node.callers._connection import HttpConnection
from pomelobank_node.callers._ingress import Ingress
from pomelobank_node.callers._messages import (
    Handler,
    HttpAnswer,
    HttpLimits,
    HttpRequest,
)
from pomelobank_node.callers._server import CallerServer

__all__ = [
    "CallerServer",
    "Dialect",
    "Handler",
    "HttpAnswer",
    "HttpConnection",
    "HttpLimits",
    "HttpRequest",
    "Ingress",
    "error_answer",
]
