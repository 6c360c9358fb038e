"""Crashes, whole answers and quarantine of one kind of suspect."""

from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import TypeVar

import attrs
from absl import logging

from yuccavalve.quarantine.const import (
    EXPIRE_PERIOD_S,
    LEARN_MARGIN_S,
    MAX_HOLDS_SENT,
    MAX_RELAYED,
    MAX_TRIAL_SPREAD_S,
    RELAY_S,
    TRIAL_SPACING_S,
    TRIAL_TIMEOUT_S,
)
from yuccavalve.quarantine.models import (
    QuarantineHit,
    QuarantineNews,
    SuspectCrash,
    SuspectHold,
    SuspectRecord,
    SuspectSound,
)
from yuccavalve.quarantine.rules import EvidenceRules

__all__ = ('SuspectTable',)

_NEVER_S = float('-inf')
_MS = 1000
_URGENT_CRASHES = 2
_News = TypeVar('_News')


def _nothing_explained() -> Mapping[int, int]:
    return {}


def _one_daemon() -> int:
    return 1


@attrs.define
class SuspectTable:
    """Evidence on suspects of one kind, and those in quarantine.

    Attributes
    ----------
    daemon_count
        Returns the number of live daemons, including this one.
    explained
        Returns the most crashes of a held suspect by engine that it crashed.
    relay_s
        How long new evidence is passed on to other daemons.
    crashes_recorded
        Number of crashes that counted against a suspect.
    has_urgent_news
        Whether other daemons should hear of new evidence at once.
    answers
        Number of whole answers of this daemon.
    """

    rules: EvidenceRules
    random: Random = attrs.field(factory=Random)
    daemon_count: Callable[[], int] = _one_daemon
    explained: Callable[[], Mapping[int, int]] = _nothing_explained
    relay_s: float = RELAY_S
    crashes_recorded: int = 0
    has_urgent_news: bool = False
    answers: int = 0
    _records: dict[int, SuspectRecord] = attrs.field(factory=dict)
    _sound_at_s: dict[int, float] = attrs.field(factory=dict)
    _new_crashes: dict[SuspectCrash, float] = attrs.field(factory=dict)
    _new_sound: dict[int, float] = attrs.field(factory=dict)
    _expired_at_s: float = _NEVER_S

    @property
    def held_count(self) -> int:
        """Return the number of suspects in quarantine or on trial."""
        return sum(record.is_held for record in self._records.values())

    @property
    def suspect_count(self) -> int:
        """Return the number of suspects with crashes that are not held."""
        return len(self._records) - self.held_count

    def held_records(self) -> list[SuspectRecord]:
        """Return the records of suspects in quarantine or on trial."""
        return [each for each in self._records.values() if each.is_held]

    def held(self, suspects: Iterable[int], now_s: float) -> list[int]:
        """Return the suspects that are held now."""
        return [
            suspect
            for suspect in suspects
            if suspect in self._records and self._is_held(suspect, now_s)
        ]

    def refuse_new(
        self, suspects: Iterable[int], now_s: float
    ) -> QuarantineHit | None:
        """Return the suspect for which to refuse a new request, if any."""
        blocked = [
            each
            for each in self.held(suspects, now_s)
            if now_s < self._records[each].blocked_until_s
        ]
        return self._hit(blocked, now_s)

    def begin_trials(self, suspects: Iterable[int], now_s: float) -> None:
        """Count a request that is let through as a trial."""
        for suspect in self.held(suspects, now_s):
            self._records[suspect].trial_until_s = now_s + TRIAL_TIMEOUT_S
            self._log(logging.INFO, 'tried', suspect)

    def find(
        self, suspects: Iterable[int], now_s: float
    ) -> QuarantineHit | None:
        """Return the suspect that keeps a request from being sent, if any."""
        blocked = [
            each
            for each in self.held(suspects, now_s)
            if now_s < self._records[each].until_s
        ]
        return self._hit(blocked, now_s)

    def is_vouched(self, suspect: int, at_s: float) -> bool:
        """Return whether a whole answer vouches for a suspect at a time."""
        sound_at_s = self._sound_at_s.get(suspect, _NEVER_S)
        return at_s - sound_at_s < self.rules.vouched_s

    def add_crash(self, crash: SuspectCrash, now_s: float) -> None:
        """Add a crash of which this daemon did not know."""
        record = self._records.get(crash.suspect)
        if record is None or now_s > record.memory_until_s:
            self._make_room(now_s)
            record = SuspectRecord(
                crash.at_s, crash.at_s, answers_before=self.answers
            )
            self._records[crash.suspect] = record
        if crash.engine in record.engines:
            return
        if not record.add(crash, self.rules):
            return
        self._new_crashes[crash] = now_s
        _drop_oldest(self._new_crashes)
        self.crashes_recorded += 1
        if record.is_held:
            self._draw_trial_delay(record)
        if record.crashes >= _URGENT_CRASHES:
            self.has_urgent_news = True
        self._log(
            logging.INFO,
            'suspected',
            crash.suspect,
            f'crashes={record.crashes} requests={len(record.requests)}',
        )

    def record_sound(self, suspect: int, now_s: float) -> None:
        """Record that an engine answered a request with a suspect."""
        self._set_sound(suspect, now_s)
        if suspect in self._records:
            self._clear(suspect, now_s)

    def news(self, now_s: float) -> QuarantineNews:
        """Return the new evidence and the suspects that are held."""
        self.expire(now_s)
        sound = [
            SuspectSound(suspect, self._sound_at_s[suspect])
            for suspect in self._new_sound
            if suspect in self._sound_at_s
        ]
        holds = [
            SuspectHold(
                suspect,
                record.crashes,
                record.last_at_s,
                record.failed_trials,
            )
            for suspect, record in self._records.items()
            if record.is_held
        ]
        return QuarantineNews(
            list(self._new_crashes), sound, holds[-MAX_HOLDS_SENT:]
        )

    def expire(self, now_s: float) -> None:
        """Hold suspects whose evidence has settled; forget old evidence."""
        if now_s - self._expired_at_s < EXPIRE_PERIOD_S:
            return
        self._expired_at_s = now_s
        for suspect, record in list(self._records.items()):
            if now_s > record.memory_until_s:
                self._records.pop(suspect)
                if record.is_held:
                    self._log(logging.INFO, 'forgotten', suspect)
        self.held(tuple(self._records), now_s)
        self._forget_sound(now_s - self.rules.sound_memory_s)
        earliest_s = now_s - self.relay_s
        self._new_crashes = _since(self._new_crashes, earliest_s)
        self._new_sound = _since(self._new_sound, earliest_s)

    def apply_crash(self, crash: SuspectCrash, now_s: float) -> None:
        """Apply a crash that another daemon tells of."""
        if self.is_vouched(crash.suspect, crash.at_s):
            self._pass_on_sound(crash.suspect, now_s)
            return
        self.add_crash(attrs.evolve(crash, ran_s=None), now_s)

    def apply_sound(self, sound: SuspectSound, now_s: float) -> None:
        """Apply a whole answer that another daemon tells of."""
        known_at_s = self._sound_at_s.get(sound.suspect, _NEVER_S)
        if sound.at_s < known_at_s + self.rules.sound_renewal_s:
            return
        self._set_sound(sound.suspect, sound.at_s)
        record = self._records.get(sound.suspect)
        if record is not None and self.is_vouched(
            sound.suspect, record.last_at_s
        ):
            self._clear(sound.suspect, now_s)

    def apply_hold(self, hold: SuspectHold, now_s: float) -> None:
        """Apply that another daemon holds a suspect."""
        if self.is_vouched(hold.suspect, hold.at_s):
            self._pass_on_sound(hold.suspect, now_s)
            return
        record = self._records.get(hold.suspect)
        if record is None:
            record = SuspectRecord(hold.at_s, hold.at_s)
        elif record.is_held and _severity(record) >= _severity(hold):
            return
        learned = attrs.evolve(
            record,
            crashes=max(record.crashes, hold.crashes),
            failed_trials=max(record.failed_trials, hold.failed_trials),
            last_at_s=max(record.last_at_s, hold.at_s),
            is_held=True,
        )
        if now_s + LEARN_MARGIN_S > learned.memory_until_s:
            return
        if hold.suspect not in self._records:
            self._make_room(now_s)
        self._records[hold.suspect] = learned
        if not record.is_held:
            self._hold(hold.suspect, learned, 'peer')
        self._draw_trial_delay(learned)

    def _is_held(self, suspect: int, now_s: float) -> bool:
        record = self._records[suspect]
        if now_s > record.memory_until_s:
            return False
        if record.is_held:
            return True
        if not record.is_conclusive(self.rules, now_s, self.answers):
            return False
        if not record.has_unexplained_crashes(self.explained()):
            return False
        self._hold(suspect, record, 'crashes')
        return True

    def _hold(self, suspect: int, record: SuspectRecord, source: str) -> None:
        record.is_held = True
        self.has_urgent_news = True
        self._draw_trial_delay(record)
        self._log(
            logging.WARNING,
            'quarantined',
            suspect,
            f'crashes={record.crashes} requests={len(record.requests)} '
            f'duration_ms={record.duration_s * _MS:.0f} source={source}',
        )

    def _draw_trial_delay(self, record: SuspectRecord) -> None:
        spread_s = min(
            MAX_TRIAL_SPREAD_S, self.daemon_count() * TRIAL_SPACING_S
        )
        record.trial_delay_s = self.random.uniform(0, spread_s)
        record.trial_until_s = _NEVER_S

    def _hit(self, blocked: list[int], now_s: float) -> QuarantineHit | None:
        if not blocked:
            return None
        suspect = max(blocked, key=lambda each: self._records[each].until_s)
        record = self._records[suspect]
        until_s = max(record.until_s, record.blocked_until_s)
        return QuarantineHit(
            suspect, self.rules.label, record.crashes, until_s - now_s
        )

    def _set_sound(self, suspect: int, at_s: float) -> None:
        self._sound_at_s.pop(suspect, None)
        self._sound_at_s[suspect] = at_s
        if len(self._sound_at_s) > self.rules.max_sound:
            self._sound_at_s.pop(next(iter(self._sound_at_s)))

    def _forget_sound(self, earliest_s: float) -> None:
        """Forget old whole answers, which are first in order."""
        for suspect, at_s in list(self._sound_at_s.items()):
            if at_s >= earliest_s:
                return
            self._sound_at_s.pop(suspect)

    def _clear(self, suspect: int, now_s: float) -> None:
        record = self._records.pop(suspect)
        self._pass_on_sound(suspect, now_s)
        if record.is_held or record.crashes >= _URGENT_CRASHES:
            self.has_urgent_news = True
        if record.is_held:
            self._log(
                logging.WARNING,
                'cleared',
                suspect,
                f'crashes={record.crashes}',
            )

    def _pass_on_sound(self, suspect: int, now_s: float) -> None:
        self._new_sound.pop(suspect, None)
        self._new_sound[suspect] = now_s
        _drop_oldest(self._new_sound)

    def _make_room(self, now_s: float) -> None:
        """Drop the oldest of the records with the fewest crashes."""
        if len(self._records) < self.rules.max_records:
            return
        self.expire(now_s)
        if len(self._records) < self.rules.max_records:
            return
        weakest = min(
            self._records,
            key=lambda suspect: _strength(self._records[suspect]),
        )
        self._records.pop(weakest)

    def _log(
        self, level: int, step: str, suspect: int, details: str = ''
    ) -> None:
        logging.log(
            level,
            'event=%s_%s %s=%016x %s',
            self.rules.event,
            step,
            self.rules.field,
            suspect,
            details,
        )


def _severity(held: SuspectRecord | SuspectHold) -> tuple[int, int]:
    return held.failed_trials, held.crashes


def _strength(record: SuspectRecord) -> tuple[bool, int, float]:
    return record.is_held, record.crashes, record.last_at_s


def _since(
    heard_at_s: Mapping[_News, float], earliest_s: float
) -> dict[_News, float]:
    """Return the entries that were heard since a time."""
    return {
        each: at_s for each, at_s in heard_at_s.items() if at_s > earliest_s
    }


def _drop_oldest(heard_at_s: dict[_News, float]) -> None:
    """Keep the number of entries that are passed on bounded."""
    if len(heard_at_s) > MAX_RELAYED:
        heard_at_s.pop(next(iter(heard_at_s)))
