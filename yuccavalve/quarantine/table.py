"""Decide which parts of prompts crash engines, and refuse requests with them.

An engine that is lost soon after it began to answer a request is evidence
against all parts of its prompt. A whole answer clears them, also for other
daemons. A part under which several engines were lost, and that no whole answer
had lately although other requests were answered, is put into quarantine for a
time that doubles with each further crash; then single requests are let through
as trials. Designed for hundreds of
daemons that each see few requests with a part, and for engines that are also
lost for other reasons every few seconds.
"""

from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import TypeVar

import attrs
from absl import logging

from yuccavalve.prompts import PromptParts
from yuccavalve.quarantine.const import (
    LEARN_MARGIN_S,
    MAX_HOLDS_SENT,
    MAX_RECORDS,
    MAX_RELAYED,
    MAX_SOUND_PARTS,
    MAX_TRIAL_SPREAD_S,
    RELAY_S,
    SOUND_RENEWAL_S,
    SOUND_S,
    TRIAL_SPACING_S,
    TRIAL_TIMEOUT_S,
)
from yuccavalve.quarantine.models import (
    PartCrash,
    PartHold,
    PartRecord,
    PartSound,
    PromptCrash,
    QuarantineHit,
    QuarantineNews,
)

__all__ = ('PromptQuarantine',)

_NEVER_S = float('-inf')
_MS = 1000
_URGENT_CRASHES = 2
_News = TypeVar('_News')


def _one_daemon() -> int:
    return 1


@attrs.define
class PromptQuarantine:
    """Crashes by part of prompts, and the parts in quarantine.

    Attributes
    ----------
    daemon_count
        Returns the number of live daemons, including this one.
    relay_s
        How long new evidence is passed on to other daemons.
    crashes_recorded
        Number of crashes that counted against a part.
    has_urgent_news
        Whether other daemons should hear of new evidence at once.
    """

    random: Random = attrs.field(factory=Random)
    daemon_count: Callable[[], int] = _one_daemon
    relay_s: float = RELAY_S
    crashes_recorded: int = 0
    has_urgent_news: bool = False
    _answers: int = 0
    _records: dict[int, PartRecord] = attrs.field(factory=dict)
    _sound_at_s: dict[int, float] = attrs.field(factory=dict)
    _new_crashes: dict[PartCrash, float] = attrs.field(factory=dict)
    _new_sound: dict[int, float] = attrs.field(factory=dict)

    @property
    def held_count(self) -> int:
        """Return the number of parts in quarantine or on trial."""
        return sum(record.is_held for record in self._records.values())

    @property
    def suspect_count(self) -> int:
        """Return the number of parts with crashes that are not held."""
        return len(self._records) - self.held_count

    def admit(self, parts: PromptParts, now_s: float) -> QuarantineHit | None:
        """Return the part for which to refuse a new request, if any.

        A request that is let through after a quarantine counts as a trial.
        """
        held = self._held(parts, now_s)
        blocked = [
            each for each in held if now_s < self._records[each].blocked_until_s
        ]
        if blocked:
            return self._hit(blocked, now_s)
        for part in held:
            self._records[part].trial_until_s = now_s + TRIAL_TIMEOUT_S
            logging.info('event=prompt_part_tried part=%016x', part)
        return None

    def find(self, parts: PromptParts, now_s: float) -> QuarantineHit | None:
        """Return the part that keeps a request from being sent, if any.

        Unlike ``admit`` this begins no trial and lets one go on.
        """
        held = self._held(parts, now_s)
        blocked = [each for each in held if now_s < self._records[each].until_s]
        return self._hit(blocked, now_s) if blocked else None

    def record_crash(self, crash: PromptCrash, now_s: float) -> None:
        """Record an engine that was lost when it began to answer.

        If the prompt holds a part in quarantine, that part explains the crash.
        """
        suspects = [
            part for part in crash.parts if not self._is_sound(part, now_s)
        ]
        held = self._held(suspects, now_s)
        for part in held or suspects:
            self._add_crash(
                PartCrash(part, crash.engine, crash.request, now_s), now_s
            )

    def record_sound(self, parts: PromptParts, now_s: float) -> None:
        """Record that an engine answered a request completely."""
        self._answers += 1
        for part in parts:
            self._set_sound(part, now_s)
            if part in self._records:
                self._clear(part, now_s)

    def news(self, now_s: float) -> QuarantineNews:
        """Return the new evidence and the parts that are held."""
        self.expire(now_s)
        crashes = list(self._new_crashes)
        sound = [
            PartSound(part, self._sound_at_s[part])
            for part in self._new_sound
            if part in self._sound_at_s
        ]
        holds = [
            PartHold(part, record.crashes, record.last_at_s)
            for part, record in self._records.items()
            if record.is_held
        ]
        return QuarantineNews(crashes, sound, holds[-MAX_HOLDS_SENT:])

    def apply(self, news: QuarantineNews, now_s: float) -> None:
        """Apply what another daemon tells."""
        for sound in news.sound:
            self._apply_sound(sound, now_s)
        for crash in news.crashes:
            if self._is_sound(crash.part, crash.at_s):
                self._pass_on_sound(crash.part, now_s)
            else:
                self._add_crash(crash, now_s)
        for hold in news.holds:
            self._apply_hold(hold, now_s)

    def take_urgent_news(self) -> bool:
        """Return whether there is urgent news, and forget that there is."""
        urgent = self.has_urgent_news
        self.has_urgent_news = False
        return urgent

    def expire(self, now_s: float) -> None:
        """Hold parts whose evidence has settled; forget old evidence."""
        for part, record in list(self._records.items()):
            if now_s > record.memory_until_s:
                self._records.pop(part)
                if record.is_held:
                    logging.info('event=prompt_part_forgotten part=%016x', part)
        self._held(tuple(self._records), now_s)
        earliest_s = now_s - self.relay_s
        self._new_crashes = _since(self._new_crashes, earliest_s)
        self._new_sound = _since(self._new_sound, earliest_s)

    def _held(self, parts: Iterable[int], now_s: float) -> list[int]:
        """Return the parts that are held now."""
        return [
            part
            for part in parts
            if part in self._records and self._is_held(part, now_s)
        ]

    def _is_held(self, part: int, now_s: float) -> bool:
        record = self._records[part]
        if now_s > record.memory_until_s:
            return False
        if not record.is_held and record.is_conclusive(now_s, self._answers):
            self._hold(part, record, 'crashes')
        return record.is_held

    def _hold(self, part: int, record: PartRecord, source: str) -> None:
        record.is_held = True
        self.has_urgent_news = True
        self._draw_trial_delay(record)
        logging.warning(
            'event=prompt_part_quarantined part=%016x crashes=%d requests=%d '
            'duration_ms=%d source=%s',
            part,
            record.crashes,
            len(record.requests),
            record.duration_s * _MS,
            source,
        )

    def _draw_trial_delay(self, record: PartRecord) -> None:
        spread_s = min(
            MAX_TRIAL_SPREAD_S, self.daemon_count() * TRIAL_SPACING_S
        )
        record.trial_delay_s = self.random.uniform(0, spread_s)
        record.trial_until_s = _NEVER_S

    def _hit(self, blocked: list[int], now_s: float) -> QuarantineHit:
        part = max(blocked, key=lambda each: self._records[each].until_s)
        record = self._records[part]
        until_s = max(record.until_s, record.blocked_until_s)
        return QuarantineHit(part, record.crashes, until_s - now_s)

    def _is_sound(self, part: int, at_s: float) -> bool:
        """Return whether a whole answer vouches for a part at a time."""
        return at_s - self._sound_at_s.get(part, _NEVER_S) < SOUND_S

    def _set_sound(self, part: int, at_s: float) -> None:
        self._sound_at_s.pop(part, None)
        self._sound_at_s[part] = at_s
        if len(self._sound_at_s) > MAX_SOUND_PARTS:
            self._sound_at_s.pop(next(iter(self._sound_at_s)))

    def _clear(self, part: int, now_s: float) -> None:
        record = self._records.pop(part)
        self._pass_on_sound(part, now_s)
        if record.is_held or record.crashes >= _URGENT_CRASHES:
            self.has_urgent_news = True
        if record.is_held:
            logging.warning(
                'event=prompt_part_cleared part=%016x crashes=%d',
                part,
                record.crashes,
            )

    def _add_crash(self, crash: PartCrash, now_s: float) -> None:
        record = self._records.get(crash.part)
        if record is None or now_s > record.memory_until_s:
            self._make_room(now_s)
            record = PartRecord(
                crash.at_s, crash.at_s, answers_before=self._answers
            )
            self._records[crash.part] = record
        if crash.engine in record.engines:
            return
        self._new_crashes[crash] = now_s
        _drop_oldest(self._new_crashes)
        if not record.add(crash):
            return
        self.crashes_recorded += 1
        if record.is_held:
            self._draw_trial_delay(record)
        if record.crashes >= _URGENT_CRASHES:
            self.has_urgent_news = True
        logging.info(
            'event=prompt_part_suspected part=%016x crashes=%d requests=%d',
            crash.part,
            record.crashes,
            len(record.requests),
        )

    def _pass_on_sound(self, part: int, now_s: float) -> None:
        self._new_sound.pop(part, None)
        self._new_sound[part] = now_s
        _drop_oldest(self._new_sound)

    def _make_room(self, now_s: float) -> None:
        """Drop the oldest record, one that is not held if there is any."""
        if len(self._records) < MAX_RECORDS:
            return
        self.expire(now_s)
        if len(self._records) < MAX_RECORDS:
            return
        oldest = min(
            self._records,
            key=lambda part: (
                self._records[part].is_held,
                self._records[part].last_at_s,
            ),
        )
        self._records.pop(oldest)

    def _apply_sound(self, sound: PartSound, now_s: float) -> None:
        known_at_s = self._sound_at_s.get(sound.part, _NEVER_S)
        if sound.at_s < known_at_s + SOUND_RENEWAL_S:
            return
        self._set_sound(sound.part, sound.at_s)
        record = self._records.get(sound.part)
        if record is not None and self._is_sound(sound.part, record.last_at_s):
            self._clear(sound.part, now_s)

    def _apply_hold(self, hold: PartHold, now_s: float) -> None:
        if self._is_sound(hold.part, hold.at_s):
            self._pass_on_sound(hold.part, now_s)
            return
        record = self._records.get(hold.part)
        if record is None:
            record = PartRecord(hold.at_s, hold.at_s)
        elif record.is_held and record.crashes >= hold.crashes:
            return
        learned = attrs.evolve(
            record,
            crashes=max(record.crashes, hold.crashes),
            last_at_s=max(record.last_at_s, hold.at_s),
            is_held=True,
        )
        if now_s + LEARN_MARGIN_S > learned.memory_until_s:
            return
        if hold.part not in self._records:
            self._make_room(now_s)
        self._records[hold.part] = learned
        if not record.is_held:
            self._hold(hold.part, learned, 'peer')
        self._draw_trial_delay(learned)


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
