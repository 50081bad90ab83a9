"""Metrics of a node, collected with OpenTelemetry and read over HTTP.

The node's components count in plain attributes, which costs a request one
addition per counter. The instruments read these attributes when a client
requests the metrics page.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING

import attrs
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Meter, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.responses import Response

Reading = int | float | Mapping[str, int]
ValueCallback = Callable[[], Reading]


@attrs.frozen
class Instrument:
    """One metric.

    Attributes:
        name: Name in OpenTelemetry; the metrics page replaces dots with
            underscores.
        unit: Unit of the values.
        description: One sentence on what the values count.
        label: Name of the metric's own label; empty if the metric has none.
        monotonic: Whether the values only grow, as those of a counter do.
    """

    name: str
    unit: str
    description: str
    label: str = ""
    monotonic: bool = False


@attrs.define(eq=False)
class Metrics:
    """The node's instruments and the page that exposes them.

    Attributes:
        node: The node's id, a label of every metric.
        data_centre: The node's data centre, also a label of every metric.
        provider: OpenTelemetry's meter provider; None before the start.
        observed: Each instrument with the callback that reads its value.
    """

    node: str
    data_centre: str
    provider: MeterProvider | None = None
    observed: list[tuple[Instrument, ValueCallback]] = attrs.field(factory=list)

    def observe(self, instrument: Instrument, read: ValueCallback) -> None:
        """Adds an instrument; must be called before `start`."""
        self.observed.append((instrument, read))

    async def start(self) -> None:
        """Registers all instruments with OpenTelemetry."""
        self.provider = MeterProvider(
            metric_readers=[PrometheusMetricReader()],
            resource=Resource.create({"service.name": "pomelobankd"}),
        )
        meter = self.provider.get_meter("pomelobank")
        for instrument, read in self.observed:
            self._register(meter, instrument, read)

    def _register(
        self, meter: Meter, instrument: Instrument, read: ValueCallback
    ) -> None:
        common_labels = {"node": self.node, "data_centre": self.data_centre}

        def callback(_: CallbackOptions) -> Iterable[Observation]:
            reading = read()
            if not isinstance(reading, Mapping):
                return [Observation(reading, common_labels)]
            return [
                Observation(value, {**common_labels, instrument.label: key})
                for key, value in reading.items()
            ]

        create = (
            meter.create_observable_counter
            if instrument.monotonic
            else meter.create_observable_gauge
        )
        create(
            instrument.name,
            [callback],
            unit=instrument.unit,
            description=instrument.description,
        )

    async def stop(self) -> None:
        """Shuts the meter provider down."""
        if self.provider is not None:
            self.provider.shutdown()

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)

    async def handle_request(self, _: "Request") -> "Response":
        """Responds with all metrics in the Prometheus text format."""
        # The import is local because a node that serves its metrics through
        # `MetricsHandler` does not need Starlette.
        from starlette.responses import Response

        return Response(self.text(), media_type=CONTENT_TYPE_LATEST)
