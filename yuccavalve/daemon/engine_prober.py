"""Probe engines that may be dead, and record those that are dead or slow."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

import attrs
from absl import logging

from yuccavalve.clock import Clock
from yuccavalve.daemon.loop_delay import LoopDelay
from yuccavalve.exceptions import EngineNotListeningError, EngineResetError
from yuccavalve.fleet.const import UNLISTED_RETENTION_S
from yuccavalve.fleet.view import FleetView
from yuccavalve.formation.const import (
    DEAD_ENGINE_S,
    ENGINE_SILENCE_S,
    PROBE_MAX_AGE_S,
    PROBE_HEDGE_S,
    PROBES_AT_ONCE,
    SLOW_FACTOR,
    SLOW_REPORT_MAX_AGE_S,
)
from yuccavalve.formation.epochs import EpochWatch
from yuccavalve.ports.fleet import (
    EngineControlPort,
    EngineRecord,
    EngineReport,
)

__all__ = ('EngineProber', 'Suspect')

_NEVER_S = float('-inf')
_MS = 1000


def _reaches_engines() -> bool:
    """Return False, for a daemon that doesn't look for partitions."""
    return False


@attrs.frozen
class _DeadEngine:
    """An engine process that did not answer.

    Attributes
    ----------
    born_ms
        Start time of the process; a restarted engine is not dead.
    until_s
        Monotonic time until which the engine counts as dead.
    """

    born_ms: int
    until_s: float


@attrs.frozen
class Suspect:
    """An engine that may be dead.

    Attributes
    ----------
    interval_s
        Time in seconds between its probes.
    stalled_s
        For how long its replica's streams have had no event.
    """

    record: EngineRecord
    interval_s: float
    stalled_s: float = 0


@attrs.frozen
class _SilentEngine:
    """An engine process that leaves all probes unanswered.

    Attributes
    ----------
    since_s
        Monotonic time of the first sign of its silence.
    probed_at_s
        Monotonic time at which the last probe timed out.
    """

    record: EngineRecord
    since_s: float
    probed_at_s: float


@attrs.define
class EngineProber:
    """Probes engines for the planner.

    Attributes
    ----------
    changed
        Set when an engine leaves a probe unanswered or is found dead.
    unanswered
        Engines that left an order or a probe unanswered.
    is_doubtful_reach
        Returns whether this daemon may reach no engine at all; failures are
        no evidence then.
    epochs
        Epochs that engines have shown, by service.
    """

    orders: EngineControlPort
    view: FleetView
    clock: Clock
    loop_delay: LoopDelay
    changed: asyncio.Event
    unanswered: set[str] = attrs.field(factory=set)
    is_doubtful_reach: Callable[[], bool] = _reaches_engines
    epochs: dict[str, EpochWatch] = attrs.field(factory=dict)
    _dead: dict[str, _DeadEngine] = attrs.field(factory=dict)
    _silent: dict[str, _SilentEngine] = attrs.field(factory=dict)
    _slow_until_s: dict[str, float] = attrs.field(factory=dict)
    _probed_at_s: dict[str, float] = attrs.field(factory=dict)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    _slots: asyncio.Semaphore = attrs.field(
        factory=lambda: asyncio.Semaphore(PROBES_AT_ONCE),
    )

    def is_doubtful(self, engine: str) -> bool:
        """Return whether an engine is dead, silent or left a call open."""
        known = (self.unanswered, self._dead, self._silent)
        return any(engine in each for each in known)

    def is_silent(self, engine: str) -> bool:
        """Return whether an engine has left all recent probes unanswered."""
        return engine in self._silent

    def dead(
        self,
        listed: Mapping[str, EngineRecord],
        now_s: float,
    ) -> frozenset[str]:
        """Return engines whose last known process did not answer."""
        self._dead = {
            engine: entry
            for engine, entry in self._dead.items()
            if now_s < entry.until_s
        }
        self._find_dead(now_s)
        return frozenset(
            engine
            for engine, entry in self._dead.items()
            if engine not in listed or listed[engine].born_ms == entry.born_ms
        )

    def _find_dead(self, now_s: float) -> None:
        """Record the engines as dead that have been silent for too long."""
        self._silent = {
            engine: silent
            for engine, silent in self._silent.items()
            if now_s - silent.since_s < UNLISTED_RETENTION_S
        }
        for engine, silent in self._silent.items():
            silent_s = now_s - silent.since_s
            is_proved = now_s - silent.probed_at_s <= PROBE_MAX_AGE_S
            if silent_s >= ENGINE_SILENCE_S and is_proved:
                self._forget_member(silent.record)
                self.record_dead(
                    silent.record, f'no answer to probes for {silent_s:.1f} s'
                )

    def _forget_member(self, record: EngineRecord) -> None:
        """Forget an engine that is no longer listed, unless it is a head.

        The record of a head engine is needed to order it to leave: it may be
        cut off from this daemon only.
        """
        if record.membership is None or record.membership.rank:
            self.view.forget(record.engine)

    def slow(self, now_s: float) -> frozenset[str]:
        """Return the engines that reported a short time ago to be slow."""
        return frozenset(
            engine
            for engine, until_s in self._slow_until_s.items()
            if now_s < until_s
        )

    def start_probes(
        self,
        suspects: Iterable[Suspect],
        now_s: float,
    ) -> None:
        """Probe engines, each at its interval."""
        for suspect in suspects:
            engine = suspect.record.engine
            probed_at_s = self._probed_at_s.get(engine, _NEVER_S)
            if now_s - probed_at_s >= suspect.interval_s:
                self._probed_at_s[engine] = now_s
                self.unanswered.discard(engine)
                task = asyncio.create_task(
                    self.async_probe(suspect.record, suspect.stalled_s)
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def async_probe(
        self, record: EngineRecord, stalled_s: float = 0
    ) -> None:
        """Probe an engine, and record whether it is silent or slow.

        A probe that timed out while this daemon was slow proves nothing; it is
        repeated. An engine that resets connections is not silent. One that
        refuses them is dead at once if its replica's streams have stalled at
        some daemon, and otherwise silent.
        """
        async with self._slots:
            sent_at_s = self.clock.now_s()
            try:
                report = await self._async_report(record)
            except EngineResetError:
                self._dead.pop(record.engine, None)
                self._silent.pop(record.engine, None)
                return
            except EngineNotListeningError:
                report = None
                if stalled_s:
                    self.record_dead(record, 'connection refused')
                    return
        now_s = self.clock.now_s()
        if report is not None:
            self._dead.pop(record.engine, None)
            self._silent.pop(record.engine, None)
            self._record_slowness(record.engine, report.slowness, now_s)
            if report.membership is not None and record.service in self.epochs:
                watch = self.epochs[record.service]
                watch.record_report(report.membership.epoch)
            return
        was_delayed = self.loop_delay.was_delayed_since(sent_at_s)
        if was_delayed or self.is_doubtful_reach():
            logging.info(
                'event=probe_inconclusive engine=%s took_ms=%d',
                record.engine,
                (now_s - sent_at_s) * _MS,
            )
            self.unanswered.add(record.engine)
            return
        since_s = sent_at_s - stalled_s
        silent = self._silent.get(record.engine)
        if silent is not None and silent.record.born_ms == record.born_ms:
            since_s = silent.since_s
        self._silent[record.engine] = _SilentEngine(record, since_s, now_s)
        self.changed.set()

    def record_dead(self, record: EngineRecord, cause: str) -> None:
        """Record an engine that does not answer, for ``DEAD_ENGINE_S``."""
        if self.is_doubtful_reach():
            self.unanswered.add(record.engine)
            return
        if record.engine not in self._dead:
            logging.warning(
                'event=engine_unresponsive engine=%s cause=%r',
                record.engine,
                cause,
            )
        self._dead[record.engine] = _DeadEngine(
            record.born_ms, self.clock.now_s() + DEAD_ENGINE_S
        )
        self.changed.set()

    def _record_slowness(
        self,
        engine: str,
        slowness: float,
        now_s: float,
    ) -> None:
        if slowness < SLOW_FACTOR:
            self._slow_until_s.pop(engine, None)
            return
        if engine not in self._slow_until_s:
            logging.warning(
                'event=engine_slow engine=%s slowness=%.1f',
                engine,
                slowness,
            )
        self._slow_until_s[engine] = now_s + SLOW_REPORT_MAX_AGE_S

    async def _async_report(self, record: EngineRecord) -> EngineReport | None:
        """Return an engine's report, with a hedge if the first call is slow."""
        first = asyncio.create_task(self.orders.async_report(record))
        await asyncio.wait((first,), timeout=PROBE_HEDGE_S)
        if first.done():
            return first.result()
        second = asyncio.create_task(self.orders.async_report(record))
        reports = await asyncio.gather(first, second, return_exceptions=True)
        for report in reports:
            if isinstance(report, EngineReport):
                return report
        for failure in reports:
            if isinstance(failure, BaseException):
                raise failure
        return None
