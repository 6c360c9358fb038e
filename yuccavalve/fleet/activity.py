"""Track requests in flight by engine, and detect stalled engines."""

import contextlib
import math
from collections.abc import Callable, Iterator, Mapping
from functools import lru_cache

import attrs

from yuccavalve.clock import Clock
from yuccavalve.fleet.const import (
    FRESH_PROGRESS_S,
    LEAVING_TELL_S,
    MAX_UNREACHED_DOUBLINGS,
    STALL_AVOID_S,
    STALL_BUSY_S,
    STALL_FIRST_S,
    STALL_SINGLE_S,
    STRIKE_MAX_AGE_S,
    UNREACHED_AVOID_S,
)
from yuccavalve.hashing import hash32
from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.quarantine.const import BEGIN_MAX_S

__all__ = (
    'Activity',
    'EngineActivity',
    'EngineRun',
    'engine_key',
    'engine_key_hash',
    'process_hash',
    'process_key',
)

_MAX_CACHED_KEYS = 8192

_NEVER_S = float('-inf')


def engine_key(record: EngineRecord) -> str:
    """Return a key that is unique to a start and a replica of an engine."""
    epoch = 0 if record.membership is None else record.membership.epoch
    return f'{record.engine}/{record.born_ms}/{epoch}'


@lru_cache(_MAX_CACHED_KEYS)
def engine_key_hash(key: str) -> int:
    """Return the 32-bit id by which daemons tell each other of a key.

    Engines with the same id are counted together, which makes two of them
    look busier than they are.
    """
    return hash32(key)


def _always_s() -> float:
    return math.inf


def _do_nothing() -> None:
    """Do nothing; the exchange has not begun."""


def _ignore_end(run: 'EngineRun') -> None:
    """Do nothing; no request waits for the end of a run."""


def _cannot_retry() -> bool:
    return False


@attrs.define(eq=False)
class EngineRun:
    """One request in flight at one engine.

    Attributes
    ----------
    streams
        Whether the answer is a stream of events.
    expected_wait_s
        Time that the request is expected to wait for a slot, without events.
    cancel
        Interrupts the exchange when the engine has stalled.
    can_retry_elsewhere
        Returns whether another engine could take over the request.
    suspects
        What of the request may crash engines.
    first_progress_at_s
        Monotonic time of the first event; minus infinity before it.
    waits_for_caller
        Whether the caller has to read before the engine is read again.
    read_since_s
        Monotonic time since when the engine is read again after that.
    stalled
        Whether the exchange was cancelled because of a stall.
    quarantined
        Whether it was cancelled because of a suspect.
    """

    key: str
    sent_at_s: float
    streams: bool
    cancel: Callable[[], None] = _do_nothing
    can_retry_elsewhere: Callable[[], bool] = _cannot_retry
    expected_wait_s: float = 0
    suspects: tuple[int, ...] = ()
    first_progress_at_s: float = _NEVER_S
    last_progress_at_s: float = _NEVER_S
    waits_for_caller: bool = False
    read_since_s: float = _NEVER_S
    stalled: bool = False
    quarantined: bool = False

    @property
    def cancel_reason(self) -> str:
        """Return why the exchange was cancelled; empty if it was not."""
        if self.stalled:
            return 'stalled'
        return 'quarantined' if self.quarantined else ''

    @property
    def can_stall(self) -> bool:
        """Return whether events of the engine are waited for."""
        return self.streams and not self.waits_for_caller

    @property
    def silent_since_s(self) -> float:
        """Return since when events are waited for."""
        return max(self.sent_at_s + self.expected_wait_s, self.read_since_s)

    @contextlib.contextmanager
    def waiting_for_caller(self, clock: Clock) -> Iterator[None]:
        """Take the time in which the caller doesn't read for no stall."""
        self.waits_for_caller = True
        try:
            yield
        finally:
            self.waits_for_caller = False
            self.read_since_s = clock.now_s()

    def is_beginning(self, now_s: float) -> bool:
        """Return whether the answer has not begun or has just begun."""
        if self.first_progress_at_s == _NEVER_S:
            return True
        return now_s - self.first_progress_at_s <= BEGIN_MAX_S


@attrs.define
class EngineActivity:
    """This daemon's runs at one engine, and its strikes.

    Attributes
    ----------
    last_progress_at_s
        Monotonic time of the last event of any run.
    suspect_until_s
        Monotonic time until which the engine gets no new requests.
    strikes
        Number of stalls and failed connections since the last progress.
    last_strike_at_s
        Monotonic time of the last strike.
    unreached_at_s
        Monotonic time of the last failed connection.
    """

    runs: set[EngineRun] = attrs.field(factory=set)
    last_progress_at_s: float = _NEVER_S
    suspect_until_s: float = _NEVER_S
    strikes: int = 0
    last_strike_at_s: float = _NEVER_S
    unreached_at_s: float = _NEVER_S


@attrs.define
class Activity:
    """Load of all engines, and which of them are suspected.

    Attributes
    ----------
    remote_runs
        Number of other daemons' runs by ``engine_key_hash``, from their
        updates.
    remote_strikes
        Largest number of strikes that another daemon reports, by
        ``engine_key_hash``.
    remote_leaving
        Engines that have told another daemon that they are about to stop, by
        ``engine_key_hash``.
    replaced, remote_replaced
        Keys of head engines whose replica this daemon replaces as the planner,
        and by ``engine_key_hash`` those that the planner tells of.
    partitioned
        Whether this daemon reaches no engine; failures are no evidence then.
    certain_until_s
        Returns the monotonic time of the newest failed connection that can't
        be due to a partition of this daemon; later ones are not told yet.
    on_end
        Called with each run that ends.
    """

    remote_runs: Mapping[int, int] = attrs.field(factory=dict)
    remote_strikes: Mapping[int, int] = attrs.field(factory=dict)
    remote_leaving: frozenset[int] = frozenset()
    replaced: frozenset[str] = frozenset()
    remote_replaced: frozenset[int] = frozenset()
    partitioned: bool = False
    certain_until_s: Callable[[], float] = _always_s
    on_end: Callable[[EngineRun], None] = _ignore_end
    _engines: dict[str, EngineActivity] = attrs.field(factory=dict)
    _backoff_until_s: dict[str, float] = attrs.field(factory=dict)
    _leaving_at_s: dict[str, float] = attrs.field(factory=dict)

    def begin(self, run: EngineRun) -> None:
        """Add a run."""
        self._engines.setdefault(run.key, EngineActivity()).runs.add(run)

    def end(self, run: EngineRun) -> None:
        """Remove a run unless it has been removed."""
        activity = self._engines.get(run.key)
        if activity is not None and run in activity.runs:
            activity.runs.discard(run)
            self.on_end(run)

    def record_progress(self, run: EngineRun, now_s: float) -> None:
        """Record an event of a run, which clears its engine's strikes."""
        if run.first_progress_at_s == _NEVER_S:
            run.first_progress_at_s = now_s
        run.last_progress_at_s = now_s
        activity = self._engines.setdefault(run.key, EngineActivity())
        activity.last_progress_at_s = now_s
        activity.strikes = 0
        activity.suspect_until_s = _NEVER_S

    def record_partition(self, partitioned: bool) -> None:
        """Drop strikes and suspicions as a partition begins or ends."""
        self.partitioned = partitioned
        for activity in self._engines.values():
            activity.strikes = 0
            activity.suspect_until_s = _NEVER_S

    def avoid(self, key: str, until_s: float) -> None:
        """Suspect an engine until a given time or its next progress."""
        activity = self._engines.setdefault(key, EngineActivity())
        activity.suspect_until_s = max(activity.suspect_until_s, until_s)

    def back_off(self, record: EngineRecord, until_s: float) -> bool:
        """Leave an engine alone until a time, whatever its streams do.

        Returns
        -------
        bool
            Whether the engine was not left alone for as long before.
        """
        key = process_key(engine_key(record))
        is_longer = until_s > self._backoff_until_s.get(key, _NEVER_S)
        if is_longer:
            self._backoff_until_s[key] = until_s
        return is_longer

    def backoff_until_s(self, record: EngineRecord) -> float:
        """Return until when an engine wants nothing."""
        key = process_key(engine_key(record))
        return self._backoff_until_s.get(key, _NEVER_S)

    def record_leaving(self, record: EngineRecord, now_s: float) -> None:
        """Record that an engine has told this daemon that it leaves."""
        self._leaving_at_s[engine_key(record)] = now_s

    def leaving(self) -> frozenset[str]:
        """Return the keys of leaving engines that others may not know of.

        These are told for as long as they are listed, since daemons that
        start read from the store that such an engine takes requests.
        """
        return frozenset(self._leaving_at_s)

    def record_unreached(self, key: str, now_s: float) -> None:
        """Record a failed connection, and avoid the engine longer each time.

        While its streams still make progress, only a packet was lost, and
        the failure does not count.
        """
        previous = self._engines.get(key)
        if (
            previous is not None
            and now_s - previous.last_progress_at_s < FRESH_PROGRESS_S
        ):
            return
        activity = self._strike(key, now_s)
        activity.unreached_at_s = now_s
        doublings = min(max(0, activity.strikes - 1), MAX_UNREACHED_DOUBLINGS)
        self.avoid(key, now_s + UNREACHED_AVOID_S * 2**doublings)

    def is_suspect(self, key: str, now_s: float) -> bool:
        """Return whether new requests should avoid an engine.

        They always avoid one whose replica is being replaced. Strikes that
        other daemons report count unless this daemon has just seen the engine
        make progress.
        """
        if now_s < self._backoff_until_s.get(process_key(key), _NEVER_S):
            return True
        if self.is_replaced(key):
            return True
        activity = self._engines.get(key)
        if activity is not None:
            if now_s < activity.suspect_until_s:
                return True
            if now_s - activity.last_progress_at_s < FRESH_PROGRESS_S:
                return False
        if not self.remote_strikes:
            return False
        return engine_key_hash(key) in self.remote_strikes

    def is_replaced(self, key: str) -> bool:
        """Return whether the planner replaces an engine's replica."""
        if key in self.replaced:
            return True
        if not self.remote_replaced:
            return False
        return engine_key_hash(key) in self.remote_replaced

    def suspect_until_s(self, key: str) -> float:
        """Return until when this daemon itself suspects an engine."""
        backoff_s = self._backoff_until_s.get(process_key(key), _NEVER_S)
        activity = self._engines.get(key)
        if activity is None:
            return backoff_s
        return max(backoff_s, activity.suspect_until_s)

    def is_on_trial(self, key: str, now_s: float) -> bool:
        """Return whether a run shows if an engine with strikes has recovered.

        Until it does, further requests would only share its failure.
        """
        activity = self._engines.get(key)
        if activity is None or not activity.strikes or not activity.runs:
            return False
        return now_s - activity.last_strike_at_s < STRIKE_MAX_AGE_S

    def local_load(self, key: str) -> int:
        """Return the number of this daemon's runs at an engine."""
        activity = self._engines.get(key)
        return 0 if activity is None else len(activity.runs)

    def load(self, key: str) -> int:
        """Return all daemons' runs at an engine; others' as last reported."""
        remote_load = self.remote_runs.get(engine_key_hash(key), 0)
        return self.local_load(key) + remote_load

    def local_loads(self) -> dict[str, int]:
        """Return this daemon's number of runs by engine key, if not 0."""
        return {
            key: len(activity.runs)
            for key, activity in self._engines.items()
            if activity.runs
        }

    def strikes(self, now_s: float) -> dict[str, int]:
        """Return consecutive strikes by engine key, if the last is recent."""
        certain_until_s = self.certain_until_s()
        return {
            key: activity.strikes
            for key, activity in self._engines.items()
            if activity.strikes
            and activity.unreached_at_s <= certain_until_s
            and now_s - activity.last_strike_at_s < STRIKE_MAX_AGE_S
        }

    def _strike(self, key: str, now_s: float) -> EngineActivity:
        activity = self._engines.setdefault(key, EngineActivity())
        if self.partitioned:
            return activity
        activity.strikes += 1
        activity.last_strike_at_s = now_s
        return activity

    def find_stalled(
        self, now_s: float
    ) -> Iterator[tuple[str, list[EngineRun]]]:
        """Record a strike for each newly stalled engine, and yield it.

        Yields
        ------
        tuple
            Key of the engine, and its streams that wait for events.
        """
        for key, activity in self._engines.items():
            stream_runs = [run for run in activity.runs if run.can_stall]
            if not stream_runs or now_s < activity.suspect_until_s:
                continue
            first_start_s = min(run.silent_since_s for run in stream_runs)
            silent_s = now_s - max(activity.last_progress_at_s, first_start_s)
            if silent_s < _stall_timeout_s(stream_runs):
                continue
            self._strike(key, now_s)
            self.avoid(key, now_s + STALL_AVOID_S)
            yield key, stream_runs

    def silent(self, now_s: float, silent_s: float) -> list[str]:
        """Return the keys of engines whose streams had no event for a time."""
        return [
            key
            for key, activity in self._engines.items()
            if now_s - _last_sign_s(activity) >= silent_s
        ]

    def beginning(self, now_s: float) -> Iterator[EngineRun]:
        """Yield the runs whose answer has not begun or has just begun."""
        for activity in self._engines.values():
            for run in activity.runs:
                if run.is_beginning(now_s):
                    yield run

    def has_streams(self) -> bool:
        """Return whether this daemon has streams in flight."""
        return any(
            run.streams
            for activity in self._engines.values()
            for run in activity.runs
        )

    def forget_idle(self, keys: set[str], now_s: float) -> None:
        """Drop engines without runs or suspicion that are not in ``keys``."""
        for key in list(self._engines):
            activity = self._engines[key]
            idle = not activity.runs and now_s >= activity.suspect_until_s
            if idle and key not in keys:
                self._engines.pop(key)
        self._leaving_at_s = {
            each: at_s
            for each, at_s in self._leaving_at_s.items()
            if each in keys or now_s - at_s < LEAVING_TELL_S
        }
        self._backoff_until_s = {
            process: until_s
            for process, until_s in self._backoff_until_s.items()
            if now_s < until_s
        }


def process_key(key: str) -> str:
    """Return the part of an engine key that is unique to a start."""
    return key.rpartition('/')[0]


def process_hash(record: EngineRecord) -> int:
    """Return the 32-bit id by which daemons tell of a start of an engine."""
    return engine_key_hash(process_key(engine_key(record)))


def _last_sign_s(activity: EngineActivity) -> float:
    """Return since when streams may be silent; infinity without streams."""
    starts_s = [run.silent_since_s for run in activity.runs if run.can_stall]
    if not starts_s:
        return math.inf
    return max(activity.last_progress_at_s, min(starts_s))


def _stall_timeout_s(runs: list[EngineRun]) -> float:
    """Return the time without events after which an engine has stalled.

    The more streams there are, the less likely it is that all of them are
    idle although the engine works.
    """
    answering = sum(run.last_progress_at_s > _NEVER_S for run in runs)
    if not answering:
        return STALL_FIRST_S
    return STALL_SINGLE_S if answering == 1 else STALL_BUSY_S
