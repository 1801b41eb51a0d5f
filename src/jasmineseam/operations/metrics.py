"""Metrics by OpenTelemetry: observable instruments over plain counters, read only on export."""

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
    """Build the provider that exports where the settings say."""
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
    # part of the "otlp" extra
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter

    return OTLPMetricExporter(endpoint=settings.endpoint)


def render_metrics() -> bytes:
    """Return all metrics as a page for scraping; for the ``prometheus`` exporter."""
    return prometheus_client.generate_latest()


def add_counter(
    provider: MeterProvider, name: str, unit: str, text: str, read: ObservationReader
) -> None:
    """Export a monotonic sum.

    :param name: without the ``jasmineseam.`` prefix.
    :param read: returns values with their attributes.
    """
    meter = provider.get_meter("jasmineseam")
    meter.create_observable_counter(
        f"jasmineseam.{name}", callbacks=[_make_callback(read)], unit=unit, description=text
    )


def add_gauge(
    provider: MeterProvider, name: str, unit: str, text: str, read: ObservationReader
) -> None:
    """Export a value that rises and falls."""
    meter = provider.get_meter("jasmineseam")
    meter.create_observable_gauge(
        f"jasmineseam.{name}", callbacks=[_make_callback(read)], unit=unit, description=text
    )


def add_histogram(
    provider: MeterProvider, name: str, unit: str, text: str, bounds: list[float]
) -> t.Callable[[float, dict[str, str]], None]:
    """Export a distribution; returns the function that records a value with its attributes.

    :param bounds: upper bounds of the buckets, in rising order.
    """
    meter = provider.get_meter("jasmineseam")
    histogram = meter.create_histogram(
        f"jasmineseam.{name}",
        unit=unit,
        description=text,
        explicit_bucket_boundaries_advisory=bounds,
    )
    return histogram.record


def _make_callback(read: ObservationReader) -> t.Callable:
    def observe(_options: metrics.CallbackOptions) -> list[metrics.Observation]:
        return [metrics.Observation(value, attributes) for value, attributes in read()]

    return observe
