"""Serves a node's metrics and imports the metrics libraries on demand."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import attrs

from pomelobank_node._log_output import BoundedOutput
from pomelobank_node.callers import HttpRequest, HttpResponse

if TYPE_CHECKING:
    from pomelobank_node._metrics import Metrics
    from pomelobank_node._observations import ObservedSidecar

_CONTENT_HEADERS = (
    (b"content-type", b"text/plain; version=0.0.4; charset=utf-8"),
)


@attrs.define(eq=False)
class MetricsHandler:
    """Responds to each request with all metrics.

    The metrics libraries take 16 MB of memory, and most nodes never receive a
    request for metrics. The first request therefore imports the libraries.

    Attributes:
        node: The node whose metrics are served.
        output: The log output, which counts dropped lines.
        metrics: The metrics; None before the first request.
    """

    node: ObservedSidecar
    output: BoundedOutput
    metrics: Metrics | None = None

    async def __call__(self, _: HttpRequest) -> HttpResponse:
        """Responds to one request."""
        if self.metrics is None:
            self.metrics = await self._load()
        return HttpResponse(200, _CONTENT_HEADERS, self.metrics.text())

    async def _load(self) -> Metrics:
        if sys.modules.get("ssl", sys) is None:
            # The program keeps the TLS library out of the process. The client
            # library of the metrics imports it.
            del sys.modules["ssl"]
        from pomelobank_node._metrics import Metrics
        from pomelobank_node._observations import observe_sidecar

        settings = self.node.settings
        metrics = Metrics(settings.node, settings.data_centre)
        observe_sidecar(metrics, self.node, lambda: self.output.dropped)
        await metrics.start()
        return metrics
