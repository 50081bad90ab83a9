"""Serves the metrics of a node without loading their libraries before."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from pomelobank_node._log_output import BoundedOutput
from pomelobank_node.callers import HttpRequest, HttpResponse

if TYPE_CHECKING:
    from pomelobank_node._metrics import Metrics
    from pomelobank_node._observations import ObservedSidecar

_CONTENT = ((b"content-type", b"text/plain; version=0.0.4; charset=utf-8"),)


@attrs.define(eq=False)
class MetricsHandler:
    """Answers with every metric.

    The metrics' libraries take 16 MB; on most nodes nobody ever asks, so they
    are loaded with the first question.

    Attributes:
        node: Whose metrics they are.
        output: Where the node's lines go.
        metrics: The metrics, once somebody has asked.
    """

    node: ObservedSidecar
    output: BoundedOutput
    metrics: Metrics | None = None

    async def __call__(self, _: HttpRequest) -> HttpResponse:
        """Answers one request."""
        if self.metrics is None:
            self.metrics = await self._load()
        return HttpResponse(200, _CONTENT, self.metrics.text())

    async def _load(self) -> Metrics:
        from pomelobank_node._metrics import Metrics
        from pomelobank_node._observations import observe_sidecar

        settings = self.node.settings
        metrics = Metrics(settings.node, settings.data_centre)
        observe_sidecar(metrics, self.node, lambda: self.output.dropped)
        await metrics.start()
        return metrics
