"""What engines say of themselves in the answers that a daemon receives."""

from random import Random

import attrs
from absl import logging

from yuccavalve.clock import Clock
from yuccavalve.fleet.activity import Activity
from yuccavalve.fleet.view import FleetView
from yuccavalve.load import requested_pause
from yuccavalve.ports.fleet import EngineNotice, EngineRecord, NoticeSink

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
    """Applies notices to the view and the activity of a daemon."""

    view: FleetView
    activity: Activity
    clock: Clock
    random: Random

    def record(self, engine: EngineRecord, notice: EngineNotice) -> None:
        """Record that an engine leaves, or asks for a pause."""
        if notice.leaving and self.view.mark_leaving(engine):
            self.activity.record_leaving(engine, self.clock.now_s())
            logging.info(
                'event=engine_draining engine=%s source=answer',
                engine.engine,
            )
        if notice.pause_text is not None:
            self._pause(engine, notice.pause_text)

    def _pause(self, engine: EngineRecord, asked: str) -> None:
        pause = requested_pause(asked, self.random)
        until_s = self.clock.now_s() + pause.duration_s
        if self.activity.pause(engine, until_s) or pause.is_bounded:
            logging.info(
                'event=engine_paused engine=%s pause_ms=%d bounded=%s asked=%r',
                engine.engine,
                pause.duration_s * _MS,
                pause.is_bounded,
                asked,
            )
