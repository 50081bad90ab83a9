"""The interface for assembling a node on another platform."""

from pomelobank_node._event_loop import (
    end_process,
    run_program,
    tune_garbage_collector,
)
from pomelobank_node._http_conventions import HttpConventions
from pomelobank_node._http_messages import find_header
from pomelobank_node._log import Log, LogError, LogErrorKind, LogPage
from pomelobank_node._log_era import LogEra
from pomelobank_node._log_output import BoundedOutput
from pomelobank_node._logging import set_up_logging
from pomelobank_node._long_lived import start_long_lived
from pomelobank_node._requests import RequestError
from pomelobank_node._sidecar import PlatformAdapter, SidecarNode
from pomelobank_node._upstream_client import (
    UpstreamPool,
    UpstreamResponse,
    encode_request,
)
from pomelobank_node.callers import (
    Handler,
    HttpLimits,
    HttpRequest,
    HttpResponse,
)
from pomelobank_node.departures import DepartureNotKeptError
from pomelobank_node.published import (
    Document,
    PublishedConfig,
    PublishedSource,
    SourceError,
)
from pomelobank_node.rollouts import StoredStatuses
from pomelobank_node.workspaces import StoredVoters

__all__ = [
    "BoundedOutput",
    "DepartureNotKeptError",
    "Document",
    "Handler",
    "HttpConventions",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "Log",
    "LogEra",
    "LogError",
    "LogErrorKind",
    "LogPage",
    "PlatformAdapter",
    "PublishedConfig",
    "PublishedSource",
    "RequestError",
    "SidecarNode",
    "SourceError",
    "StoredStatuses",
    "StoredVoters",
    "UpstreamPool",
    "UpstreamResponse",
    "encode_request",
    "end_process",
    "find_header",
    "run_program",
    "set_up_logging",
    "start_long_lived",
    "tune_garbage_collector",
]
