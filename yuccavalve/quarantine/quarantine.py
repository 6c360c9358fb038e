"""Decide what of requests crashes engines, and refuse requests with it.

Whatever of a request can be repeated or shared is a suspect: the whole request
by its fingerprint, and the parts of its prompt. An engine that is lost soon
after it began to answer is evidence against all suspects of the request; a
whole answer clears them, also for other daemons. A suspect under which several
engines were lost, and that no whole answer had lately, is put into quarantine;
then single requests are let through as trials, and the quarantine doubles with
each trial that crashes an engine. Designed for hundreds of daemons that each
see few requests with a suspect, for services with few servers and little
traffic, and for engines that are also lost for other reasons every few seconds.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from random import Random

import attrs

from yuccavalve.fingerprints import is_fingerprint
from yuccavalve.quarantine.const import RELAY_S
from yuccavalve.quarantine.models import (
    QuarantineHit,
    QuarantineNews,
    RequestCrash,
    SuspectCrash,
)
from yuccavalve.quarantine.rules import PART_RULES, REQUEST_RULES
from yuccavalve.quarantine.table import SuspectTable

__all__ = ('RequestQuarantine',)


def _one_daemon() -> int:
    return 1


@attrs.define
class RequestQuarantine:
    """Prompts' parts and whole requests that crash engines.

    Attributes
    ----------
    daemon_count
        Returns the number of live daemons, including this one.
    relay_s
        How long new evidence is passed on to other daemons.
    """

    random: Random = attrs.field(factory=Random)
    daemon_count: Callable[[], int] = _one_daemon
    relay_s: float = RELAY_S
    parts: SuspectTable = attrs.field(init=False)
    requests: SuspectTable = attrs.field(init=False)

    @parts.default
    def _table_of_parts(self) -> SuspectTable:
        return SuspectTable(
            PART_RULES,
            self.random,
            self.daemon_count,
            relay_s=self.relay_s,
        )

    @requests.default
    def _table_of_requests(self) -> SuspectTable:
        return SuspectTable(
            REQUEST_RULES,
            self.random,
            self.daemon_count,
            self._explained_engines,
            self.relay_s,
        )

    @property
    def tables(self) -> tuple[SuspectTable, SuspectTable]:
        """Return the tables of both kinds of suspects."""
        return self.parts, self.requests

    @property
    def held_count(self) -> int:
        """Return the number of suspects in quarantine or on trial."""
        return sum(table.held_count for table in self.tables)

    @property
    def suspect_count(self) -> int:
        """Return the number of suspects with crashes that are not held."""
        return sum(table.suspect_count for table in self.tables)

    def admit(
        self, suspects: Iterable[int], now_s: float
    ) -> QuarantineHit | None:
        """Return the suspect for which to refuse a new request, if any.

        A request that is let through after a quarantine counts as a trial.
        """
        by_table = self._by_table(suspects)
        hits = [table.refuse_new(own, now_s) for table, own in by_table if own]
        for table, own in by_table:
            if not any(hits):
                table.begin_trials(own, now_s)
        return _longest(hits)

    def find(
        self, suspects: Iterable[int], now_s: float
    ) -> QuarantineHit | None:
        """Return the suspect that keeps a request from being sent, if any.

        Unlike ``admit`` this begins no trial and lets one go on.
        """
        return _longest(
            [
                table.find(own, now_s)
                for table, own in self._by_table(suspects)
                if own
            ]
        )

    def record_crash(self, crash: RequestCrash, now_s: float) -> None:
        """Record an engine that was lost when it began to answer.

        If the request holds a suspect in quarantine, that explains the crash.
        """
        suspects = [
            suspect
            for suspect in crash.suspects
            if not self._table(suspect).is_vouched(suspect, now_s)
        ]
        held = [
            suspect
            for suspect in suspects
            if self._table(suspect).held((suspect,), now_s)
        ]
        for suspect in held or suspects:
            self._table(suspect).add_crash(
                SuspectCrash(
                    suspect, crash.engine, crash.request, now_s, crash.ran_s
                ),
                now_s,
            )

    def record_sound(self, suspects: Iterable[int], now_s: float) -> None:
        """Record that an engine answered a request completely."""
        for table in self.tables:
            table.answers += 1
        for suspect in suspects:
            self._table(suspect).record_sound(suspect, now_s)

    def news(self, now_s: float) -> QuarantineNews:
        """Return the new evidence and the suspects that are held."""
        parts = self.parts.news(now_s)
        requests = self.requests.news(now_s)
        return QuarantineNews(
            (*parts.crashes, *requests.crashes),
            (*parts.sound, *requests.sound),
            (*parts.holds, *requests.holds),
        )

    def apply(self, news: QuarantineNews, now_s: float) -> None:
        """Apply what another daemon tells."""
        for sound in news.sound:
            self._table(sound.suspect).apply_sound(sound, now_s)
        for crash in news.crashes:
            self._table(crash.suspect).apply_crash(crash, now_s)
        for hold in news.holds:
            self._table(hold.suspect).apply_hold(hold, now_s)

    def take_urgent_news(self) -> bool:
        """Return whether there is urgent news, and forget that there is."""
        urgent = any(table.has_urgent_news for table in self.tables)
        for table in self.tables:
            table.has_urgent_news = False
        return urgent

    def expire(self, now_s: float) -> None:
        """Hold suspects whose evidence has settled; forget old evidence."""
        for table in self.tables:
            table.expire(now_s)

    def _table(self, suspect: int) -> SuspectTable:
        return self.requests if is_fingerprint(suspect) else self.parts

    def _by_table(
        self, suspects: Iterable[int]
    ) -> list[tuple[SuspectTable, list[int]]]:
        listed = tuple(suspects)
        return [
            (table, [each for each in listed if self._table(each) is table])
            for table in self.tables
        ]

    def _explained_engines(self) -> Mapping[int, int]:
        """Return the most crashes of a held suspect by engine."""
        explained: Counter[int] = Counter()
        for table in self.tables:
            for record in table.held_records():
                for engine in record.engines:
                    explained[engine] = max(explained[engine], record.crashes)
        return explained


def _longest(hits: list[QuarantineHit | None]) -> QuarantineHit | None:
    """Return the hit that lasts longest, if any."""
    found = [hit for hit in hits if hit is not None]
    return max(found, key=lambda hit: hit.retry_after_s, default=None)
