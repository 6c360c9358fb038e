"""Generate traces of one day with failures and planned restarts."""

from collections.abc import Iterable
from random import Random

from yuccavalve.replicas.traces import TraceEvent, TraceHead

__all__ = ('day_trace',)

_HOUR_S = 3600.0
_NOTICE_S = (120.0, 600.0)
_RESTART_S = (180.0, 900.0)
_REPAIR_S = 30.0
_OUTAGE_SPAN = (0.2, 0.8)


def day_trace(
    random: Random,
    head: TraceHead,
    *,
    failures: int,
    restarts: int,
    domain_outage: bool = False,
    preset: dict[str, int] | None = None,
) -> list[TraceEvent]:
    """Return the events of one day, in order of time.

    Parameters
    ----------
    random
        Source of times and hosts.
    head
        Hosts and length of the day.
    failures
        Number of hosts that fail without warning and are down for hours.
    restarts
        Number of hosts that leave on schedule and return within minutes.
    domain_outage
        Whether all hosts of one fabric domain are down for half an hour.
    preset
        Replica count of each group from the middle of the day. It changes
        while the failure of a host is being repaired.
    """
    names = sorted(head.domains)
    events: list[TraceEvent] = []
    for _ in range(failures):
        at_s = random.uniform(0, head.until_s)
        host = (random.choice(names),)
        up_at_s = at_s + random.uniform(2, 6) * _HOUR_S
        events.append(TraceEvent(at_s, 'down', host))
        events.append(TraceEvent(up_at_s, 'up', host))
    for _ in range(restarts):
        at_s = random.uniform(0, head.until_s)
        host = (random.choice(names),)
        down_at_s = at_s + random.uniform(*_NOTICE_S)
        events.append(TraceEvent(at_s, 'leaving', host))
        events.append(TraceEvent(down_at_s, 'down', host))
        events.append(
            TraceEvent(down_at_s + random.uniform(*_RESTART_S), 'up', host),
        )
    if domain_outage:
        events.extend(_domain_outage(random, head))
    if preset is not None:
        middle_s = head.until_s / 2
        events.append(TraceEvent(middle_s - _REPAIR_S, 'down', (names[0],)))
        events.append(TraceEvent(middle_s, 'preset', wanted=preset))
        events.append(TraceEvent(middle_s + _HOUR_S, 'up', (names[0],)))
    return sorted(events, key=lambda event: event.at_s)


def _domain_outage(random: Random, head: TraceHead) -> Iterable[TraceEvent]:
    domain = random.choice(sorted(set(head.domains.values())))
    hosts = tuple(
        name
        for name, host_domain in head.domains.items()
        if host_domain == domain
    )
    at_s = random.uniform(*_OUTAGE_SPAN) * head.until_s
    yield TraceEvent(at_s, 'down', hosts)
    yield TraceEvent(at_s + _HOUR_S / 2, 'up', hosts)
