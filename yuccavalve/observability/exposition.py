"""Metrics in the text format of Prometheus."""

from collections.abc import Iterator, Mapping

import attrs
from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)

from yuccavalve.observability.metrics import LabelledSeries, Metrics

__all__ = ('metrics_text',)

_QUANTILES = (50, 95, 99)


def metrics_text(metrics: Metrics) -> bytes:
    """Return metrics in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(_Collector(metrics))
    return generate_latest(registry)


@attrs.frozen
class _Collector:
    """Collects metric families for ``prometheus_client``."""

    metrics: Metrics

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families."""
        metrics = self.metrics
        requests = CounterMetricFamily(
            'yuccavalve_requests',
            'Requests ended, by result code',
            labels=('service', 'request_class', 'code'),
        )
        for (service, request_class, code), count in metrics.requests.items():
            requests.add_metric((service, request_class, str(code)), count)
        yield requests
        yield from _histogram_families('first_byte_ms', metrics.first_byte)
        yield from _histogram_families(
            'between_events_ms', metrics.between_events
        )
        for metric_name, histograms in metrics.histograms.items():
            yield from _histogram_families(metric_name, histograms)
        yield from _labelled_families(
            CounterMetricFamily, metrics.counters_by_label
        )
        yield from _labelled_families(
            GaugeMetricFamily, metrics.gauges_by_label
        )
        for name, read in metrics.gauges.items():
            yield GaugeMetricFamily(f'yuccavalve_{name}', name, read())


def _labelled_families(
    kind: type[CounterMetricFamily | GaugeMetricFamily],
    series: Mapping[str, LabelledSeries],
) -> Iterator[Metric]:
    for name, (labels, read_counts) in series.items():
        family = kind(f'yuccavalve_{name}', name, labels=labels)
        for label_values, count in read_counts().items():
            family.add_metric(label_values, count)
        yield family


def _histogram_families(
    name: str,
    histograms: dict[str, HdrHistogram],
) -> Iterator[Metric]:
    family = GaugeMetricFamily(
        f'yuccavalve_{name}',
        f'Quantiles of {name}',
        labels=('service', 'quantile'),
    )
    count = SummaryMetricFamily(
        f'yuccavalve_{name}_total',
        f'Count of {name}',
        labels=('service',),
    )
    for service, histogram in histograms.items():
        for quantile in _QUANTILES:
            family.add_metric(
                (service, str(quantile / 100)),
                histogram.get_value_at_percentile(quantile),
            )
        count.add_metric(
            (service,),
            histogram.get_total_count(),
            histogram.get_mean_value() * histogram.get_total_count(),
        )
    yield family
    yield count
