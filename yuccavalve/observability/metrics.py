"""Request counters, latency histograms and gauges of one daemon."""

import importlib
from collections import Counter
from collections.abc import Callable, Mapping

import attrs
from hdrh.histogram import HdrHistogram

from yuccavalve.memory import HeldBytes
from yuccavalve.clock import Clock
from yuccavalve.quarantine import RequestQuarantine
from yuccavalve.ratelimit import PermitGrantor, RateLimiter
from yuccavalve.memory import ReceivedBytes

__all__ = (
    'LabelledSeries',
    'Metrics',
    'RequestMeasurement',
    'add_held_gauges',
    'add_limit_gauges',
    'add_quarantine_gauges',
    'add_received_gauges',
)

_LOWEST_MS = 1
_HIGHEST_MS = 3600000
_SIGNIFICANT_DIGITS = 2
_EXPOSITION = 'yuccavalve.observability.exposition'

LabelledSeries = tuple[
    tuple[str, ...],
    Callable[[], Mapping[tuple[str, ...], float]],
]


@attrs.frozen
class RequestMeasurement:
    """Result code and latencies of an ended request."""

    service: str
    request_class: str
    code: int
    first_byte_ms: float | None
    between_events_ms: float | None


class Metrics:
    """Collects a daemon's metrics.

    Attributes
    ----------
    requests
        Ended requests by service, request class and result code.
    broken_off
        Answers that were broken off, by service and cause.
    first_byte, between_events
        Latencies in milliseconds by service.
    histograms
        Further durations in milliseconds by metric and service.
    gauges, gauges_by_label, counters_by_label
        Series that are read at each scrape, by name.
    """

    def __init__(self) -> None:
        """Start without measurements."""
        self.requests: Counter[tuple[str, str, int]] = Counter()
        self.broken_off: Counter[tuple[str, ...]] = Counter()
        self.first_byte: dict[str, HdrHistogram] = {}
        self.between_events: dict[str, HdrHistogram] = {}
        self.histograms: dict[str, dict[str, HdrHistogram]] = {}
        self.gauges: dict[str, Callable[[], float]] = {}
        self.gauges_by_label: dict[str, LabelledSeries] = {}
        self.counters_by_label: dict[str, LabelledSeries] = {}
        self.labelled_counters(
            'answers_broken_off',
            ('service', 'cause'),
            lambda: self.broken_off,
        )

    def record_broken_off(self, service: str, cause: str) -> None:
        """Count a connection that is closed inside an answer."""
        self.broken_off[service, cause] += 1

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Add a gauge; ``read`` is called at each scrape."""
        self.gauges[name] = read

    def labelled_counters(
        self,
        name: str,
        labels: tuple[str, ...],
        read: Callable[[], Mapping[tuple[str, ...], int]],
    ) -> None:
        """Add labelled counters; ``read`` is called at each scrape."""
        self.counters_by_label[name] = (labels, read)

    def labelled_gauges(
        self,
        name: str,
        labels: tuple[str, ...],
        read: Callable[[], Mapping[tuple[str, ...], float]],
    ) -> None:
        """Add labelled gauges; ``read`` is called at each scrape."""
        self.gauges_by_label[name] = (labels, read)

    def observe(self, measured: RequestMeasurement) -> None:
        """Count an ended request and record its latencies."""
        key = (measured.service, measured.request_class, measured.code)
        self.requests[key] += 1
        if measured.first_byte_ms is not None:
            _record(self.first_byte, measured.service, measured.first_byte_ms)
        if measured.between_events_ms is not None:
            _record(
                self.between_events,
                measured.service,
                measured.between_events_ms,
            )

    def record_ms(self, name: str, service: str, duration_ms: float) -> None:
        """Record a duration in the histogram of a metric and service."""
        _record(self.histograms.setdefault(name, {}), service, duration_ms)

    def text(self) -> bytes:
        """Return the metrics in the Prometheus text format.

        The library is imported at the first call: it takes a tenth of the
        import time of a daemon.
        """
        exposition = importlib.import_module(_EXPOSITION)
        return exposition.metrics_text(self)


def add_limit_gauges(
    metrics: Metrics,
    limiter: RateLimiter,
    grantor: PermitGrantor,
    clock: Clock,
) -> None:
    """Add gauges and counters of the limits that engines name."""
    metrics.gauge('engines_limited', lambda: len(limiter.table.in_force()))
    metrics.gauge('permits_held', lambda: limiter.permits_held(clock.now_s()))
    metrics.gauge('permits_granted', lambda: grantor.granted)
    metrics.gauge('limits_passed_over', lambda: limiter.passed_over)
    metrics.labelled_counters(
        'permits_used',
        ('source',),
        lambda: {(source,): count for source, count in limiter.used.items()},
    )


def add_held_gauges(metrics: Metrics, held: HeldBytes) -> None:
    """Add gauges of the bytes of answers that are held for callers."""
    metrics.gauge('answer_bytes_held', lambda: held.held_bytes)
    metrics.gauge('answer_bytes_held_peak', lambda: held.peak_bytes)
    metrics.gauge('answer_waits_for_room', lambda: held.waits)


def add_received_gauges(metrics: Metrics, received: ReceivedBytes) -> None:
    """Add gauges of what callers have sent, and of their connections."""
    metrics.gauge('request_bytes_held', lambda: received.held_bytes)
    metrics.gauge('request_bytes_held_peak', lambda: received.peak_bytes)
    metrics.gauge('caller_connections', lambda: received.connections)
    metrics.labelled_counters(
        'connections_shed',
        ('reason',),
        lambda: {(reason,): count for reason, count in received.shed.items()},
    )


def add_quarantine_gauges(
    metrics: Metrics, quarantine: RequestQuarantine
) -> None:
    """Add gauges of prompts' parts and of whole requests that crash engines."""
    parts = quarantine.parts
    metrics.gauge('prompt_parts_quarantined', lambda: parts.held_count)
    metrics.gauge('prompt_parts_suspected', lambda: parts.suspect_count)
    metrics.gauge('prompt_part_crashes', lambda: parts.crashes_recorded)
    requests = quarantine.requests
    metrics.gauge('whole_requests_quarantined', lambda: requests.held_count)
    metrics.gauge('whole_requests_suspected', lambda: requests.suspect_count)
    metrics.gauge('whole_request_crashes', lambda: requests.crashes_recorded)


def _record(
    histograms: dict[str, HdrHistogram],
    service: str,
    duration_ms: float,
) -> None:
    histogram = histograms.get(service)
    if histogram is None:
        histogram = HdrHistogram(_LOWEST_MS, _HIGHEST_MS, _SIGNIFICANT_DIGITS)
        histograms[service] = histogram
    histogram.record_value(max(_LOWEST_MS, round(duration_ms)))
