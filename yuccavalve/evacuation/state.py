"""The set of evacuated zones that one daemon applies."""

from collections.abc import Callable, Collection, Sequence

import attrs
from absl import logging

from yuccavalve.evacuation.models import EvacuationNews, EvacuationReading
from yuccavalve.ports.fleet import EngineRecord

__all__ = ('EvacuationState',)

_NEVER_S = float('-inf')
_FROM_STORE = 'store'
_FROM_PEER = 'peer'


def _ignore_change() -> None:
    """Do nothing when the set changes."""


@attrs.define
class EvacuationState:
    """The evacuated zones and the version of the feed that they reflect.

    The set stays in effect until a newer version replaces it, however old it
    is: a daemon that reaches neither the store nor other daemons can't know
    that an evacuation has ended.

    Attributes
    ----------
    is_known
        Whether the set was read or received since the start.
    confirmed_at_s
        Monotonic time at which the store last confirmed the set.
    passed_over
        Number of selections in which servers of evacuated zones were left
        out.
    on_change
        Called after the set has changed.
    """

    zones: frozenset[str] = frozenset()
    version: int = 0
    is_known: bool = False
    confirmed_at_s: float = _NEVER_S
    passed_over: int = 0
    on_change: Callable[[], None] = _ignore_change
    _read_zones: frozenset[str] | None = None
    _logged_unserved: frozenset[str] = frozenset()

    def apply_reading(self, reading: EvacuationReading, now_s: float) -> bool:
        """Apply an answer of the store; return whether the set changed.

        Changes are relative to earlier answers to this daemon, so they need
        all rows first, and are kept apart from what others report. An answer
        that is older than a report has no effect until its version passes.
        """
        if reading.is_complete:
            self._read_zones = frozenset()
        elif self._read_zones is None:
            return False
        evacuated = {zone for zone, is_set in reading.zones.items() if is_set}
        unchanged = self._read_zones - reading.zones.keys()
        self._read_zones = frozenset(unchanged | evacuated)
        news = EvacuationNews(reading.version, self._read_zones, now_s)
        return self._adopt(news, _FROM_STORE)

    def apply_news(self, news: EvacuationNews) -> bool:
        """Apply what another daemon knows; return whether the set changed."""
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
        if self.is_known and news.version < self.version:
            return False
        self.confirmed_at_s = max(self.confirmed_at_s, news.confirmed_at_s)
        if self.is_known and news.version == self.version:
            return False
        previous = self.zones
        self.is_known = True
        self.version = news.version
        self.zones = news.zones
        if previous == news.zones:
            return False
        self._log_change(previous, source)
        self.on_change()
        return True

    def _log_change(self, previous: frozenset[str], source: str) -> None:
        for evacuated in sorted(self.zones - previous):
            logging.warning(
                'event=zone_evacuated zone=%s version=%d source=%s',
                evacuated,
                self.version,
                source,
            )
        for reopened in sorted(previous - self.zones):
            logging.warning(
                'event=zone_reopened zone=%s version=%d source=%s',
                reopened,
                self.version,
                source,
            )
