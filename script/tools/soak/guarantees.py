"""Checks of the gateway's guarantees from what callers and engines saw."""

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from tests.platform.standin import EngineStandin
from tests.support.arrivals import allowed_in_window, most_in_window

__all__ = (
    'RequestOutcome',
    'find_evacuation_violations',
    'find_limit_violations',
    'find_violations',
)

_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_OK = 200
_EVENT_END = b'\n\n'


@attrs.frozen
class RequestOutcome:
    """The outcome of one request, as its caller saw it.

    Attributes
    ----------
    kind
        ``once``, ``repeatable`` or ``stream``.
    status
        HTTP status; 0 without an answer.
    whole
        Whether the answer was received to its end.
    signature
        Signature of the engine's answer; empty without one.
    late_s
        Seconds by which the answer came after the request's deadline.
    kept
        Whether it was sent on a connection that had been used before, which
        the daemon may have been closing.
    """

    request_id: str
    kind: str
    status: int
    whole: bool
    body: bytes = b''
    signature: str = ''
    late_s: float = 0
    kept: bool = False


def find_violations(
    seen: Iterable[RequestOutcome],
    runs: Mapping[str, int],
    unsent: Iterable[str],
    reported: Iterable[str],
    events: int,
    *,
    calm: bool = False,
) -> list[str]:
    """Return a message for each violated guarantee.

    Parameters
    ----------
    seen
        Outcomes of all requests.
    runs
        How often engines ran each request, by request id.
    unsent
        Ids of requests that engines ran but no caller sent.
    reported
        Violations that engines and daemon processes showed directly.
    events
        Number of events of a complete stream.
    calm
        Whether nothing happened that excuses a request that gets neither a
        whole answer nor a refusal.
    """
    broken = list(reported)
    broken.extend(f'{name}: ran, but no caller sent it' for name in unsent)
    for each in seen:
        broken.extend(
            f'{each.request_id}: {text}'
            for text in _violations(each, runs, events)
        )
        if calm and not _is_ended_properly(each, runs):
            broken.append(f'{each.request_id}: lost, status {each.status}')
    return broken


def find_limit_violations(
    engine: str, arrivals_s: Iterable[float], limit_per_s: float
) -> list[str]:
    """Return a message if an engine got more requests than its limit.

    Parameters
    ----------
    engine
        Name of the engine.
    arrivals_s
        Times of the requests since daemons have to know the limit.
    limit_per_s
        The limit that it named, in requests a second.
    """
    most = most_in_window(arrivals_s)
    allowed = allowed_in_window(limit_per_s)
    if most <= allowed:
        return []
    return [f'{engine}: {most} requests in a window, {allowed:.0f} allowed']


def find_evacuation_violations(
    zone: str, from_s: float, engines: Iterable[EngineStandin]
) -> list[str]:
    """Return a message for each engine that was used in an evacuated zone.

    Parameters
    ----------
    zone
        The zone, which is not taken back.
    from_s
        Monotonic time from which no request may reach its engines.
    engines
        All engines, with the times at which requests began to run.
    """
    found = []
    for engine in engines:
        late_s = [at_s - from_s for at_s in engine.requests_s if at_s > from_s]
        if late_s and engine.options.availability_zone == zone:
            found.append(
                f'{engine.options.engine}: {len(late_s)} requests in {zone}, '
                f'the last one {max(late_s):.1f} s too late'
            )
    return found


def _is_ended_properly(each: RequestOutcome, runs: Mapping[str, int]) -> bool:
    if each.kept and not each.status and not runs.get(each.request_id, 0):
        return True
    return each.whole and each.status in {_OK, *_NOT_RUN_STATUSES}


def _violations(
    each: RequestOutcome, runs: Mapping[str, int], events: int
) -> list[str]:
    run_count = runs.get(each.request_id, 0)
    found = []
    if each.kind == 'once' and run_count > 1:
        found.append(f'ran {run_count} times')
    if each.kind == 'once' and run_count and each.status in _NOT_RUN_STATUSES:
        found.append(f'answered {each.status}, but it ran')
    if each.status == _OK and each.whole:
        found.extend(_answer_violations(each, events))
    if each.status >= 300 and each.signature:
        found.append('an error answer carries an engine signature')
    if each.late_s > 1:
        found.append(f'answered {each.late_s:.1f} s after its deadline')
    return found


def _answer_violations(each: RequestOutcome, events: int) -> list[str]:
    found = []
    if not each.signature.startswith(f'{each.request_id}.'):
        found.append(f'signature {each.signature!r} of another request')
    if each.kind != 'stream':
        if each.body != f'answer to {each.request_id}'.encode():
            found.append(f'body {each.body!r} is not the full answer')
        return found
    ids = [
        int(line[4:])
        for line in each.body.decode().splitlines()
        if line.startswith('id: ')
    ]
    if ids != list(range(1, events + 1)):
        duplicates = [name for name, count in Counter(ids).items() if count > 1]
        found.append(f'events {ids}, duplicates {duplicates}')
    if not each.body.endswith(_EVENT_END):
        found.append('the last event is incomplete')
    return found
