"""Metrics of a node, by OpenTelemetry, read over HTTP.

Parts of the node count in plain attributes, which cost a request nothing but
an addition; the instruments here read them when the metrics page is asked for.
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
        name: Its name in OpenTelemetry; the page shows it with underscores.
        unit: Unit of its values.
        description: What it counts, one sentence.
        label: Name of the label by which it is split; empty where it is not.
        monotonic: Whether it only grows.
    """

    name: str
    unit: str
    description: str
    label: str = ""
    monotonic: bool = False


@attrs.define(eq=False)
class Metrics:
    """The node's meter and the page that shows it.

    Attributes:
        node: The node's id, a label of every metric.
        data_centre: The node's data centre, likewise.
        provider: OpenTelemetry's provider, once started.
        readers: What to read for each instrument.
    """

    node: str
    data_centre: str
    provider: MeterProvider | None = None
    readers: list[tuple[Instrument, ValueCallback]] = attrs.field(factory=list)

    def observe(self, instrument: Instrument, read: ValueCallback) -> None:
        """Adds an instrument; only before the start."""
        self.readers.append((instrument, read))

    async def start(self) -> None:
        """Registers every instrument."""
        self.provider = MeterProvider(
            metric_readers=[PrometheusMetricReader()],
            resource=Resource.create({"service.name": "pomelobankd"}),
        )
        meter = self.provider.get_meter("pomelobank")
        for instrument, read in self.readers:
            self._register(meter, instrument, read)

    def _register(
        self, meter: Meter, instrument: Instrument, read: ValueCallback
    ) -> None:
        common = {"node": self.node, "data_centre": self.data_centre}

        def callback(_: CallbackOptions) -> Iterable[Observation]:
            reading = read()
            if not isinstance(reading, Mapping):
                return [Observation(reading, common)]
            return [
                Observation(value, {**common, instrument.label: key})
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
        """Ends the provider."""
        if self.provider is not None:
            self.provider.shutdown()

    def text(self) -> bytes:
        """Returns every metric in the Prometheus text format."""
        return generate_latest(REGISTRY)

    async def handle_request(self, _: "Request") -> "Response":
        """Answers with every metric in the Prometheus text format."""
        # A node whose pages another server serves does without this library.
        from starlette.responses import Response

        return Response(self.text(), media_type=CONTENT_TYPE_LATEST)
