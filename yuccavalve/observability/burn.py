"""Compute and render the error budget burn report.

A service-level objective allows a share of requests to miss it: the error
budget. The burn rate is the share of requests that missed the objective
divided by that allowed share; at a burn rate of 1 the budget lasts exactly
the period. An alarm needs a high burn rate in both a long and a short window,
so that neither a brief spike nor a fault that is already over raises one.

Notes
-----
Beyer et al., "The Site Reliability Workbook", 2018, chapter 5.
"""

import html
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import attrs

from yuccavalve.configuration.models import Service

__all__ = (
    'Alarm',
    'BurnRow',
    'BurnWindow',
    'Objective',
    'Sample',
    'burn_rows',
    'is_good',
    'objective_of',
    'report_json',
    'report_html',
    'report_text',
)

_MINUTE_S = 60.0
_HOUR_S = 3600.0
# Burn rates that spend 2% in 1 h and 5% in 6 h of a 30-day error budget.
_FAST_BURN_RATE = 14.4
_SLOW_BURN_RATE = 6
_FAILURE_FAMILIES = frozenset((2, 3, 5))
_CODES_PER_FAMILY = 1000


@attrs.frozen
class Objective:
    """Service-level objective of a service and request class.

    Attributes
    ----------
    good_share
        Share of requests that must meet both latency limits.
    first_byte_ms, between_events_ms
        Limits on the time to the first byte and between two events.
    """

    service: str
    request_class: str
    good_share: float = 0.99
    first_byte_ms: float = 1900
    between_events_ms: float = 74


@attrs.frozen
class BurnWindow:
    """A long and a short window and the burn rate that raises an alarm."""

    name: str
    long_s: float
    short_s: float
    alarm_threshold: float


WINDOWS = (
    BurnWindow('1 h / 5 min', _HOUR_S, 5 * _MINUTE_S, _FAST_BURN_RATE),
    BurnWindow('6 h / 30 min', 6 * _HOUR_S, _HOUR_S / 2, _SLOW_BURN_RATE),
)


@attrs.frozen
class Sample:
    """Counts of the requests that ended in one interval.

    Attributes
    ----------
    good, bad
        Numbers of requests that met and missed the objective.
    """

    at_s: float
    service: str
    request_class: str
    good: int
    bad: int


@attrs.frozen
class Alarm:
    """Burn rates of one window and whether they raise an alarm."""

    window: str
    long_rate: float
    short_rate: float
    raised: bool


@attrs.frozen
class BurnRow:
    """Report row of one objective: request counts and alarms by window."""

    objective: Objective
    good: int
    bad: int
    alarms: tuple[Alarm, ...]

    @property
    def budget_left(self) -> float:
        """Return the remaining share of the error budget."""
        total = self.good + self.bad
        allowed = total * (1 - self.objective.good_share)
        return 1 - self.bad / allowed if allowed else 1


def objective_of(service: Service, request_class: str) -> Objective:
    """Return a service's objective for a request class."""
    return Objective(
        service.name,
        request_class,
        service.good_share,
        service.first_byte_ms,
        service.between_events_ms,
    )


def is_good(
    objective: Objective,
    code: int,
    first_byte_ms: float | None,
    between_events_ms: float | None,
) -> bool | None:
    """Return whether a request met an objective; None if it is not counted.

    Requests refused because of a fault of the caller, such as an invalid
    body, don't count against the service.
    """
    family = code // _CODES_PER_FAMILY
    if family in _FAILURE_FAMILIES:
        return False
    if family != 1:
        return None
    first_ok = (first_byte_ms or 0) <= objective.first_byte_ms
    between_ok = (between_events_ms or 0) <= objective.between_events_ms
    return first_ok and between_ok


def burn_rows(
    objectives: Iterable[Objective],
    samples: Sequence[Sample],
    now_s: float,
) -> list[BurnRow]:
    """Return the report row of each objective."""
    return [_row(objective, samples, now_s) for objective in objectives]


def report_text(
    rows: Sequence[BurnRow],
    downtime_by_cause_s: Mapping[str, float],
    stranded_host_s: float,
) -> str:
    """Return the report as plain text."""
    lines = ['service        class      good     bad   budget left  windows']
    for row in rows:
        alarms = ', '.join(
            f'{alarm.window}: {alarm.long_rate:.1f}/{alarm.short_rate:.1f}'
            f'{" ALARM" if alarm.raised else ""}'
            for alarm in row.alarms
        )
        lines.append(
            f'{row.objective.service:<14} {row.objective.request_class:<9} '
            f'{row.good:>6} {row.bad:>7} {row.budget_left:>11.0%}   {alarms}',
        )
    lines.append('')
    lines.append('group downtime by cause, replica-seconds')
    lines.extend(
        f'  {cause:<12} {seconds:.0f}'
        for cause, seconds in sorted(downtime_by_cause_s.items())
    )
    lines.append(f'stranded, host-seconds: {stranded_host_s:.0f}')
    return '\n'.join(lines)


def report_json(
    rows: Sequence[BurnRow],
    downtime_by_cause_s: Mapping[str, float],
    stranded_host_s: float,
) -> dict[str, Any]:
    """Return the report as JSON types."""
    return {
        'objectives': [
            {**attrs.asdict(row), 'budget_left': row.budget_left}
            for row in rows
        ],
        'downtime_by_cause_s': dict(downtime_by_cause_s),
        'stranded_host_s': stranded_host_s,
    }


def report_html(
    rows: Sequence[BurnRow],
    downtime_by_cause_s: Mapping[str, float],
    stranded_host_s: float,
) -> str:
    """Return the report as one self-contained HTML page."""
    budget = ''.join(
        _bar_html(
            f'{row.objective.service} {row.objective.request_class}',
            max(0, row.budget_left),
            1,
            f'{row.budget_left:.0%} of the budget left',
        )
        for row in rows
    )
    largest = max(downtime_by_cause_s.values(), default=1) or 1
    causes = ''.join(
        _bar_html(cause, seconds, largest, f'{seconds:.0f} s')
        for cause, seconds in sorted(downtime_by_cause_s.items())
    )
    text = html.escape(
        report_text(rows, downtime_by_cause_s, stranded_host_s),
    )
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        '<title>Service-level burn</title>'
        '<body style="font-family:sans-serif;max-width:60em;margin:2em">'
        f'<h1>Service-level burn</h1><h2>Error budget</h2>{budget}'
        f'<h2>Group downtime by cause</h2>{causes}'
        f'<h2>Figures</h2><pre>{text}</pre></body></html>\n'
    )


def _bar_html(label: str, amount: float, largest: float, text: str) -> str:
    width = 100 * amount / largest
    return (
        '<div style="margin:4px 0">'
        f'<span style="display:inline-block;width:14em">{html.escape(label)}'
        '</span><svg width="300" height="14" role="img">'
        '<rect width="300" height="14" fill="#eee"/>'
        f'<rect width="{3 * width:.1f}" height="14" fill="#369"/></svg> '
        f'{html.escape(text)}</div>'
    )


def _row(
    objective: Objective,
    samples: Sequence[Sample],
    now_s: float,
) -> BurnRow:
    matching = [
        sample
        for sample in samples
        if sample.service == objective.service
        and sample.request_class == objective.request_class
    ]
    return BurnRow(
        objective,
        sum(sample.good for sample in matching),
        sum(sample.bad for sample in matching),
        tuple(_alarm(objective, matching, window, now_s) for window in WINDOWS),
    )


def _alarm(
    objective: Objective,
    samples: Sequence[Sample],
    window: BurnWindow,
    now_s: float,
) -> Alarm:
    long_rate = _burn_rate(objective, samples, now_s - window.long_s)
    short_rate = _burn_rate(objective, samples, now_s - window.short_s)
    raised = min(long_rate, short_rate) >= window.alarm_threshold
    return Alarm(window.name, long_rate, short_rate, raised)


def _burn_rate(
    objective: Objective,
    samples: Sequence[Sample],
    since_s: float,
) -> float:
    recent = [sample for sample in samples if sample.at_s >= since_s]
    bad = sum(sample.bad for sample in recent)
    total = bad + sum(sample.good for sample in recent)
    if total == 0:
        return 0
    return bad / total / (1 - objective.good_share)
