"""Keep the suspects in quarantine in the table service, for daemons that start.

Daemons tell each other of these suspects. The row serves the case that all of
them stop at about the same time.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, TypeVar

import attrs
from absl import logging

from yuccavalve.clock import Clock
from yuccavalve.exceptions import StoreUnavailableError
from yuccavalve.observability import UnreadableInputs
from yuccavalve.ports import Row, TableStore, Transaction, Write
from yuccavalve.quarantine import QuarantineNews, RequestQuarantine, SuspectHold
from yuccavalve.timing import jittered

__all__ = ('QuarantineLoop',)

_KEY = 'prompts/quarantine'
_PERIOD_S = 1.0
_HEX = 16
_MAX_SUSPECT = 0xFFFFFFFFFFFFFFFF
_MAX_COUNT = 0xFFFF
# Far longer than any quarantine; ages in messages have 32 bits.
_MAX_AGE_S = 4000000

_Number = TypeVar('_Number', int, float)


def _do_nothing() -> None:
    """Do nothing; nobody waits for the row."""


@attrs.define
class QuarantineLoop:
    """Reads the row at the start; writes it while this daemon plans.

    Attributes
    ----------
    plans
        Returns whether this daemon is the planner.
    on_read
        Called after the row was read.
    unreadable
        Counts what could not be read.
    """

    quarantine: RequestQuarantine
    table: TableStore
    clock: Clock
    random: Random
    plans: Callable[[], bool]
    on_read: Callable[[], None] = _do_nothing
    unreadable: UnreadableInputs = attrs.field(factory=UnreadableInputs)
    _is_read: bool = False
    _was_planner: bool = False
    _written: dict[int, int] = attrs.field(factory=dict)

    def begin_era(self, era: int) -> None:
        """Read the row again, as a new planner does: it may have gone back."""
        self._was_planner = False

    async def async_run(self) -> None:
        """Read the row, then keep it current, until cancelled."""
        while True:
            try:
                await self.async_run_once()
            except StoreUnavailableError as error:
                logging.info('event=quarantine_unstored cause=%r', str(error))
            await asyncio.sleep(jittered(self.random, _PERIOD_S))

    async def async_run_once(self) -> None:
        """Read the row if that is due; write it if it has changed.

        A new planner reads it again, since its predecessor may have written.
        """
        plans = self.plans()
        if plans and not self._was_planner:
            self._is_read = False
        self._was_planner = plans
        if not self._is_read:
            await self._async_read()
            self.on_read()
        if plans:
            await self._async_write()

    async def _async_read(self) -> None:
        rows = await self.table.async_read([_KEY])
        self._is_read = True
        self._written = {}
        if _KEY not in rows:
            return
        now_s = self.clock.now_s()
        holds = self._decode(rows[_KEY], now_s)
        self._written = {hold.suspect: hold.crashes for hold in holds}
        self.quarantine.apply(QuarantineNews(holds=holds), now_s)

    def _decode(self, row: Row, now_s: float) -> list[SuspectHold]:
        """Return the holds of a row, without those that can't be read."""
        entries = row.fields.get('holds')
        if not isinstance(entries, list):
            self._record_unreadable(row, TypeError('holds: expected a list'))
            return []
        holds = []
        for entry in entries:
            try:
                holds.append(_decode_hold(entry, now_s))
            except (KeyError, TypeError, ValueError) as error:
                self._record_unreadable(row, error)
        return holds

    def _record_unreadable(self, row: Row, error: Exception) -> None:
        self.unreadable.record('quarantine', row.key, str(row.version), error)

    async def _async_write(self) -> None:
        now_s = self.clock.now_s()
        holds = self.quarantine.news(now_s).holds
        current = {hold.suspect: hold.crashes for hold in holds}
        if current == self._written:
            return
        fields = {'holds': [_encode(hold, now_s) for hold in holds]}
        await self.table.async_transact(Transaction((), (Write(_KEY, fields),)))
        self._written = current


def _encode(hold: SuspectHold, now_s: float) -> dict[str, Any]:
    return {
        'suspect': f'{hold.suspect:x}',
        'crashes': hold.crashes,
        'age_s': round(now_s - hold.at_s, 3),
        'failed_trials': hold.failed_trials,
    }


def _decode_hold(entry: Any, now_s: float) -> SuspectHold:
    """Return a hold, whose age counts from when the row was written."""
    return SuspectHold(
        _bounded(int(entry['suspect'], _HEX), _MAX_SUSPECT),
        _bounded(int(entry['crashes']), _MAX_COUNT),
        now_s - _bounded(max(0, entry['age_s']), _MAX_AGE_S),
        _bounded(int(entry['failed_trials']), _MAX_COUNT),
    )


def _bounded(number: _Number, highest: int) -> _Number:
    """Return a number that daemons can pass on, or raise ``ValueError``."""
    if not 0 <= number <= highest:
        raise ValueError(f'{number}: expected 0 to {highest}')
    return number
