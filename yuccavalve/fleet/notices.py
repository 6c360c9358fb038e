"""What engines say of themselves in the answers that a daemon receives."""

from random import Random

import attrs
from absl import logging

from yuccavalve.clock import Clock
from yuccavalve.fleet.activity import Activity, process_hash
from yuccavalve.fleet.view import FleetView
from yuccavalve.load import requested_backoff
from yuccavalve.ports.fleet import EngineNotice, EngineRecord, NoticeSink
from yuccavalve.ratelimit import LimitTable, parse_limit
from yuccavalve.warmup.tracker import WarmupTracker

__all__ = ('EngineNotices', 'NoticeRelay')

_MS = 1000


@attrs.define
class NoticeRelay:
    """Passes notices on to a daemon that is built after the ports."""

    sink: NoticeSink | None = None

    def record(self, engine: EngineRecord, notice: EngineNotice) -> None:
        """Pass a notice on; without a daemon it is dropped."""
        if self.sink is not None:
            self.sink.record(engine, notice)


@attrs.frozen
class EngineNotices:
    """Applies notices to the state of a daemon."""

    view: FleetView
    activity: Activity
    limits: LimitTable
    clock: Clock
    random: Random
    warmups: WarmupTracker | None = None

    def record(self, engine: EngineRecord, notice: EngineNotice) -> None:
        """Record that an engine leaves, is cold or asks to be left alone."""
        if notice.warmup_left_s and self.warmups is not None:
            self.warmups.record_answer(
                engine, notice.warmup_left_s, self.clock.now_s()
            )
        if notice.leaving and self.view.mark_leaving(engine):
            self.activity.record_leaving(engine, self.clock.now_s())
            logging.info(
                'event=engine_draining engine=%s source=answer',
                engine.engine,
            )
        if notice.retry_after is not None:
            self._back_off(engine, notice.retry_after)
        if notice.limit is not None:
            self._record_limit(engine, notice.limit)
        elif notice.asked_at_s is not None:
            self.limits.record_unnamed(
                process_hash(engine), notice.asked_at_s, self.clock.now_s()
            )

    def _record_limit(self, engine: EngineRecord, asked: str) -> None:
        per_s = parse_limit(asked)
        now_s = self.clock.now_s()
        if per_s is not None:
            self.limits.record_named(process_hash(engine), per_s, now_s)
            return
        if self.limits.record_unreadable(process_hash(engine), now_s):
            logging.info(
                'event=engine_limit_unreadable engine=%s asked=%r',
                engine.engine,
                asked,
            )

    def _back_off(self, engine: EngineRecord, asked: str) -> None:
        backoff = requested_backoff(asked, self.random)
        until_s = self.clock.now_s() + backoff.duration_s
        if self.activity.back_off(engine, until_s) or backoff.is_bounded:
            logging.info(
                'event=engine_backoff engine=%s backoff_ms=%d bounded=%s '
                'asked=%r',
                engine.engine,
                backoff.duration_s * _MS,
                backoff.is_bounded,
                asked,
            )
