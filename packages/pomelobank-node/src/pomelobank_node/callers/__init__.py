"""Serves callers over HTTP/1.1: parses requests and writes responses."""

from pomelobank_node._http_conventions import HttpConventions
from pomelobank_node.callers._connection import HttpConnection
from pomelobank_node.callers._error_responses import error_response
from pomelobank_node.callers._ingress import Ingress
from pomelobank_node.callers._messages import (
    Handler,
    HttpLimits,
    HttpRequest,
    HttpResponse,
)
from pomelobank_node.callers._server import CallerServer

__all__ = [
    "CallerServer",
    "Handler",
    "HttpConnection",
    "HttpConventions",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "Ingress",
    "error_response",
]
