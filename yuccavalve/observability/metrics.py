"""Request counters, latency histograms and gauges of one daemon."""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping

import attrs
from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)

__all__ = ('Measured', 'Metrics')

_LOWEST_MS = 1
_HIGHEST_MS = 3600000
_DIGITS = 2
_QUANTILES = (50, 95, 99)

_Counters = tuple[
    tuple[str, ...],
    Callable[[], Mapping[tuple[str, ...], int]],
]


@attrs.frozen
class Measured:
    """Result code and latencies of an ended request."""

    service: str
    request_class: str
    code: int
    first_byte_ms: float | None
    between_events_ms: float | None


class Metrics:
    """Collects a daemon's metrics for Prometheus.

    Requests are counted by service, request class and result code; latencies
    are recorded by service.
    """

    def __init__(self) -> None:
        """Register an empty collector."""
        self.requests: Counter[tuple[str, str, int]] = Counter()
        self.first_byte: dict[str, HdrHistogram] = {}
        self.between: dict[str, HdrHistogram] = {}
        self._times: dict[str, dict[str, HdrHistogram]] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._gauges_by: dict[str, _Counters] = {}
        self._counters: dict[str, _Counters] = {}
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Add a gauge; ``read`` is called at each scrape."""
        self._gauges[name] = read

    def counters(
        self,
        name: str,
        labels: tuple[str, ...],
        read: Callable[[], Mapping[tuple[str, ...], int]],
    ) -> None:
        """Add labelled counters; ``read`` is called at each scrape."""
        self._counters[name] = (labels, read)

    def gauges_by(
        self,
        name: str,
        labels: tuple[str, ...],
        read: Callable[[], Mapping[tuple[str, ...], int]],
    ) -> None:
        """Add labelled gauges; ``read`` is called at each scrape."""
        self._gauges_by[name] = (labels, read)

    def observe(self, measured: Measured) -> None:
        """Count an ended request and record its latencies."""
        key = (measured.service, measured.request_class, measured.code)
        self.requests[key] += 1
        if measured.first_byte_ms is not None:
            _record(self.first_byte, measured.service, measured.first_byte_ms)
        if measured.between_events_ms is not None:
            _record(self.between, measured.service, measured.between_events_ms)

    def record_ms(self, name: str, service: str, measured_ms: float) -> None:
        """Record a duration in the histogram of a metric and service."""
        _record(self._times.setdefault(name, {}), service, measured_ms)

    def text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families for ``prometheus_client``."""
        requests = CounterMetricFamily(
            'yuccavalve_requests',
            'Requests ended, by result code',
            labels=('service', 'request_class', 'code'),
        )
        for (service, name, code), count in self.requests.items():
            requests.add_metric((service, name, str(code)), count)
        yield requests
        yield from _summaries('first_byte_ms', self.first_byte)
        yield from _summaries('between_events_ms', self.between)
        for times, histograms in self._times.items():
            yield from _summaries(times, histograms)
        yield from _families(CounterMetricFamily, self._counters)
        yield from _families(GaugeMetricFamily, self._gauges_by)
        for name, read in self._gauges.items():
            yield GaugeMetricFamily(f'yuccavalve_{name}', name, read())


def _record(
    histograms: dict[str, HdrHistogram],
    service: str,
    measured_ms: float,
) -> None:
    histogram = histograms.get(service)
    if histogram is None:
        histogram = HdrHistogram(_LOWEST_MS, _HIGHEST_MS, _DIGITS)
        histograms[service] = histogram
    histogram.record_value(max(_LOWEST_MS, round(measured_ms)))


def _families(
    kind: type[CounterMetricFamily | GaugeMetricFamily],
    readings: Mapping[str, _Counters],
) -> Iterator[Metric]:
    for name, (labels, read_all) in readings.items():
        family = kind(f'yuccavalve_{name}', name, labels=labels)
        for words, count in read_all().items():
            family.add_metric(words, count)
        yield family


def _summaries(
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
