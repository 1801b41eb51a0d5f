"""OpenTelemetry metrics: observable instruments whose callbacks read the program's counters."""

from __future__ import annotations

import typing as t

import prometheus_client
from opentelemetry import metrics
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import ConsoleMetricExporter
from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader

from .settings import MetricSettings

ObservationReader = t.Callable[[], t.Iterable[tuple[float, dict[str, str]]]]


def set_up_metrics(settings: MetricSettings) -> MeterProvider:
    """Return a meter provider with the exporter in the settings."""
    readers: list[t.Any] = []
    if settings.exporter == "prometheus":
        readers.append(PrometheusMetricReader())
    elif settings.exporter != "none":
        interval_ms = settings.interval_s * 1000
        exporter = _make_exporter(settings)
        readers.append(PeriodicExportingMetricReader(exporter, export_interval_millis=interval_ms))
    return MeterProvider(metric_readers=readers)


def _make_exporter(settings: MetricSettings) -> t.Any:
    if settings.exporter == "console":
        return ConsoleMetricExporter()
    # installed with the "otlp" extra only
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter

    return OTLPMetricExporter(endpoint=settings.endpoint)


def render_metrics() -> bytes:
    """Return all metrics in the Prometheus text format; requires the ``prometheus`` exporter."""
    return prometheus_client.generate_latest()


def add_counter(
    provider: MeterProvider,
    name: str,
    unit: str,
    description: str,
    read_observations: ObservationReader,
) -> None:
    """Add a monotonic counter.

    :param name: name without the ``jasmineseam.`` prefix.
    :param read_observations: called on each export; returns the current values, each with its
        attributes.
    """
    meter = provider.get_meter("jasmineseam")
    meter.create_observable_counter(
        f"jasmineseam.{name}",
        callbacks=[_make_callback(read_observations)],
        unit=unit,
        description=description,
    )


def add_gauge(
    provider: MeterProvider,
    name: str,
    unit: str,
    description: str,
    read_observations: ObservationReader,
) -> None:
    """Add a gauge; the parameters are those of :func:`add_counter`."""
    meter = provider.get_meter("jasmineseam")
    meter.create_observable_gauge(
        f"jasmineseam.{name}",
        callbacks=[_make_callback(read_observations)],
        unit=unit,
        description=description,
    )


def add_histogram(
    provider: MeterProvider, name: str, unit: str, description: str, bucket_bounds: list[float]
) -> t.Callable[[float, dict[str, str]], None]:
    """Add a histogram; return the function that records a value with its attributes.

    :param bucket_bounds: upper bounds of the buckets, in ascending order.
    """
    meter = provider.get_meter("jasmineseam")
    histogram = meter.create_histogram(
        f"jasmineseam.{name}",
        unit=unit,
        description=description,
        explicit_bucket_boundaries_advisory=bucket_bounds,
    )
    return histogram.record


def _make_callback(read_observations: ObservationReader) -> t.Callable:
    def observe(_options: metrics.CallbackOptions) -> list[metrics.Observation]:
        return [
            metrics.Observation(value, attributes) for value, attributes in read_observations()
        ]

    return observe
