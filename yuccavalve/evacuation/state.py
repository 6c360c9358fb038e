"""The set of evacuated zones that one daemon applies."""

from collections.abc import Callable, Collection, Sequence

import attrs
from absl import logging

from yuccavalve.evacuation.marks import ZoneMarks
from yuccavalve.evacuation.models import (
    EvacuationNews,
    EvacuationReading,
    ZoneMark,
)
from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.ports.position import NOWHERE, Position

__all__ = ('EvacuationState',)

_NEVER_S = float('-inf')
_FROM_STORE = 'store'
_FROM_PEER = 'peer'


def _ignore_change() -> None:
    """Do nothing when the set changes."""


@attrs.define
class EvacuationState:
    """The evacuated zones and the position of the feed that they reflect.

    The set stays in effect until one of a later position replaces it, however
    old it is: a daemon that reaches neither the store nor other daemons can't
    know that an evacuation has ended. A zone whose row is missing after the
    store's return from a copy stays evacuated too, until the operator has
    written or removed the row again.

    Attributes
    ----------
    zones
        All evacuated zones.
    position
        Position of the feed that the rows reflect.
    is_known
        Whether the set was read or received since the start.
    confirmed_at_s
        Monotonic time at which the store last confirmed the set.
    passed_over
        Number of selections in which servers of evacuated zones were left
        out.
    on_change
        Called after the set has changed.
    marks
        What earlier eras tell of zones.
    """

    zones: frozenset[str] = frozenset()
    position: Position = NOWHERE
    is_known: bool = False
    confirmed_at_s: float = _NEVER_S
    passed_over: int = 0
    on_change: Callable[[], None] = _ignore_change
    marks: ZoneMarks = attrs.field(factory=ZoneMarks)
    _listed: frozenset[str] = frozenset()
    _read_zones: frozenset[str] | None = None
    _read_era: int = 0
    _logged_unserved: frozenset[str] = frozenset()

    @property
    def version(self) -> int:
        """Return the version that the rows reflect, within its era."""
        return self.position.version

    @property
    def listed(self) -> frozenset[str]:
        """Return the zones that have a row."""
        return self._listed

    @property
    def held(self) -> frozenset[str]:
        """Return the zones that are evacuated by an earlier era alone."""
        return self.marks.evacuated() - self._listed

    def apply_reading(self, reading: EvacuationReading, now_s: float) -> bool:
        """Apply an answer of the store; return whether the set changed.

        Changes are relative to earlier answers of the same era to this daemon,
        so they need all rows first, and are kept apart from what others
        report. An answer that is older than a report has no effect until its
        version passes.
        """
        if reading.is_complete:
            self._read_zones = frozenset()
            self._read_era = reading.era
        elif self._read_zones is None or reading.era != self._read_era:
            return False
        evacuated = {zone for zone, is_set in reading.zones.items() if is_set}
        unchanged = self._read_zones - reading.zones.keys()
        self._read_zones = frozenset(unchanged | evacuated)
        ended = ZoneMark(reading.position, is_evacuated=False)
        news = EvacuationNews(
            reading.version,
            self._read_zones,
            now_s,
            reading.era,
            {
                zone: ended
                for zone, is_set in reading.zones.items()
                if not is_set
            },
        )
        return self._adopt(news, _FROM_STORE)

    def apply_news(self, news: EvacuationNews) -> bool:
        """Apply what another daemon knows; return whether the set changed."""
        self.marks.has_returned = self.marks.has_returned or bool(news.marks)
        return self._adopt(news, _FROM_PEER)

    def is_evacuated(self, zone: str) -> bool:
        """Return whether servers of a zone get no new requests."""
        return zone in self.zones

    def outside(
        self, servers: Sequence[EngineRecord]
    ) -> Sequence[EngineRecord]:
        """Return the servers that are not in an evacuated zone."""
        if not self.zones:
            return servers
        outside = [
            each for each in servers if each.availability_zone not in self.zones
        ]
        self.passed_over += len(outside) < len(servers)
        return outside

    def log_unserved(self, served: Collection[str]) -> None:
        """Log each evacuated zone without servers, once for each evacuation.

        Parameters
        ----------
        served
            Zones that have servers.
        """
        unserved = self.zones.difference(served)
        for zone in sorted(unserved - self._logged_unserved):
            logging.warning('event=evacuation_without_servers zone=%s', zone)
        self._logged_unserved = (self._logged_unserved & self.zones) | unserved

    def _adopt(self, news: EvacuationNews, source: str) -> bool:
        self.marks.merge(news.marks)
        if not self.is_known or news.position >= self.position:
            self.confirmed_at_s = max(self.confirmed_at_s, news.confirmed_at_s)
        if not self.is_known or news.position > self.position:
            self.marks.record_rows(self.position, self._listed, news)
            self.is_known = True
            self.position = news.position
            self._listed = news.zones
        elif news.era < self.position.era:
            self.marks.record_earlier(news)
        previous = self.zones
        self.zones = self._listed | self.marks.evacuated()
        if previous == self.zones:
            return False
        self._log_change(previous, source)
        self.on_change()
        return True

    def _log_change(self, previous: frozenset[str], source: str) -> None:
        for evacuated in sorted(self.zones - previous):
            logging.warning(
                'event=zone_evacuated zone=%s position=%s source=%s',
                evacuated,
                self.position,
                source,
            )
        for reopened in sorted(previous - self.zones):
            logging.warning(
                'event=zone_reopened zone=%s position=%s source=%s',
                reopened,
                self.position,
                source,
            )
