"""OpenTelemetry meter of a process, exported in Prometheus text format."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Meter
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

__all__ = ["PREFIX", "Metrics"]

PREFIX = "hickoryplank"


class Metrics:
    """The meter of one node and its Prometheus exporter.

    :param node: name of the node, a resource attribute of the metrics.
    """

    def __init__(self, node: str):
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True,
            prefix=PREFIX,
            scope_info_enabled=False,
            registry=self._registry,
        )
        resource = Resource({"service.name": PREFIX, "node": node})
        provider = MeterProvider([reader], resource, shutdown_on_exit=False)
        self.meter: Meter = provider.get_meter(PREFIX)

    def text(self) -> bytes:
        """Return all metrics in Prometheus text format."""
        return generate_latest(self._registry)
