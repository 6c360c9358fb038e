"""Requests in flight at each backend server, and which stand still."""

from collections.abc import Callable, Iterator, Mapping

import attrs

from yuccavalve.fleet.const import (
    FRESH_PROGRESS_S,
    MAX_UNREACHED_DOUBLINGS,
    STALL_AVOID_S,
    STALL_BUSY_S,
    STALL_FIRST_S,
    STALL_SINGLE_S,
    STRIKE_TRUST_S,
    UNREACHED_AVOID_S,
)
from yuccavalve.ports.fleet import EngineRecord

__all__ = ('Activity', 'EngineActivity', 'Run', 'engine_key')

_NEVER_S = float('-inf')


def engine_key(record: EngineRecord) -> str:
    """Return a key that differs for each life and replica of an engine."""
    epoch = 0 if record.membership is None else record.membership.epoch
    return f'{record.engine}/{record.born_ms}/{epoch}'


def _do_nothing() -> None:
    """End nothing; the exchange has not begun."""


def _never_movable() -> bool:
    return False


@attrs.define(eq=False)
class Run:
    """One request at one engine.

    Attributes
    ----------
    end
        Ends the exchange when the engine stands still.
    can_move
        Tells whether another engine could go on with it.
    """

    key: str
    sent_at_s: float
    streams: bool
    end: Callable[[], None] = _do_nothing
    can_move: Callable[[], bool] = _never_movable
    last_progress_at_s: float = _NEVER_S
    stalled: bool = False


@attrs.define
class EngineActivity:
    """What this daemon has under way at one engine.

    Attributes
    ----------
    last_progress_at_s
        Last event or answer of any run.
    suspect_until_s
        Until when it gets no new requests.
    strikes
        Times that it stood still or could not be reached, with no progress
        since.
    last_strike_at_s
        Reading of the clock at the last of them.
    """

    runs: set[Run] = attrs.field(factory=set)
    last_progress_at_s: float = _NEVER_S
    suspect_until_s: float = _NEVER_S
    strikes: int = 0
    last_strike_at_s: float = _NEVER_S


@attrs.define
class Activity:
    """Runs by engine, other daemons' runs, and suspicion.

    Attributes
    ----------
    others
        Runs of other daemons by engine key, from their news.
    others_strikes
        The most strikes that another daemon has seen, by engine key.
    """

    others: Mapping[str, int] = attrs.field(factory=dict)
    others_strikes: Mapping[str, int] = attrs.field(factory=dict)
    _engines: dict[str, EngineActivity] = attrs.field(factory=dict)

    def begin(self, run: Run) -> None:
        """Count a run."""
        self._engines.setdefault(run.key, EngineActivity()).runs.add(run)

    def end(self, run: Run) -> None:
        """Stop counting a run."""
        activity = self._engines.get(run.key)
        if activity is not None:
            activity.runs.discard(run)

    def hear(self, run: Run, now_s: float) -> None:
        """Note progress of a run, which clears its engine of suspicion."""
        run.last_progress_at_s = now_s
        activity = self._engines.setdefault(run.key, EngineActivity())
        activity.last_progress_at_s = now_s
        activity.strikes = 0
        activity.suspect_until_s = _NEVER_S

    def avoid(self, key: str, until_s: float) -> None:
        """Keep new requests from an engine, unless it shows progress."""
        activity = self._engines.setdefault(key, EngineActivity())
        activity.suspect_until_s = max(activity.suspect_until_s, until_s)

    def note_unreached(self, key: str, now_s: float) -> None:
        """Avoid an engine that could not be reached, longer each time.

        While its streams go on, only a packet was lost.
        """
        known = self._engines.get(key)
        if (
            known is not None
            and now_s - known.last_progress_at_s < FRESH_PROGRESS_S
        ):
            return
        activity = self._strike(key, now_s)
        doublings = min(activity.strikes - 1, MAX_UNREACHED_DOUBLINGS)
        self.avoid(key, now_s + UNREACHED_AVOID_S * 2**doublings)

    def is_suspect(self, key: str, now_s: float) -> bool:
        """Tell whether new requests should avoid an engine.

        What others have seen counts unless this daemon has just seen the
        engine go on.
        """
        activity = self._engines.get(key)
        if activity is not None:
            if now_s < activity.suspect_until_s:
                return True
            if now_s - activity.last_progress_at_s < FRESH_PROGRESS_S:
                return False
        return key in self.others_strikes

    def own(self, key: str) -> int:
        """Return this daemon's runs at an engine."""
        activity = self._engines.get(key)
        return 0 if activity is None else len(activity.runs)

    def load(self, key: str) -> int:
        """Return the runs of all daemons at an engine, as far as known."""
        return self.own(key) + self.others.get(key, 0)

    def own_loads(self) -> dict[str, int]:
        """Return this daemon's runs by engine key, without idle engines."""
        return {
            key: len(activity.runs)
            for key, activity in self._engines.items()
            if activity.runs
        }

    def strikes(self, now_s: float) -> dict[str, int]:
        """Return engine keys with strikes of late, and how many in a row."""
        return {
            key: activity.strikes
            for key, activity in self._engines.items()
            if activity.strikes
            and now_s - activity.last_strike_at_s < STRIKE_TRUST_S
        }

    def _strike(self, key: str, now_s: float) -> EngineActivity:
        activity = self._engines.setdefault(key, EngineActivity())
        activity.strikes += 1
        activity.last_strike_at_s = now_s
        return activity

    def find_stalled(self, now_s: float) -> Iterator[tuple[str, list[Run]]]:
        """Yield engines that newly stand still, with their stream runs."""
        for key, activity in self._engines.items():
            stream_runs = [run for run in activity.runs if run.streams]
            if not stream_runs or now_s < activity.suspect_until_s:
                continue
            first_sent_s = min(run.sent_at_s for run in stream_runs)
            silent_s = now_s - max(activity.last_progress_at_s, first_sent_s)
            if silent_s < _stall_timeout_s(stream_runs):
                continue
            self._strike(key, now_s)
            self.avoid(key, now_s + STALL_AVOID_S)
            yield key, stream_runs

    def forget_idle(self, keys: set[str], now_s: float) -> None:
        """Drop engines that are gone and have nothing under way."""
        for key in list(self._engines):
            activity = self._engines[key]
            idle = not activity.runs and now_s >= activity.suspect_until_s
            if idle and key not in keys:
                self._engines.pop(key)


def _stall_timeout_s(runs: list[Run]) -> float:
    """Return the silence after which an engine is taken to stand still.

    The more streams run, the less likely is it that all of them wait.
    """
    answering = sum(run.last_progress_at_s > _NEVER_S for run in runs)
    if not answering:
        return STALL_FIRST_S
    return STALL_SINGLE_S if answering == 1 else STALL_BUSY_S
