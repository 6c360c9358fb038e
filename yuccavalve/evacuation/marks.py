"""What earlier eras of the table service tell of evacuated zones."""

from collections.abc import Iterator, Mapping

import attrs
from absl import logging

from yuccavalve.evacuation.models import EvacuationNews, ZoneMark
from yuccavalve.ports.position import Position

__all__ = ('ZoneMarks',)

# Ends of evacuations that are remembered; the latest ones are kept.
_MAX_ENDED = 16


@attrs.define
class ZoneMarks:
    """The latest known mark of each zone of which the rows may not tell.

    An evacuation that the operator was told of, and that is missing from the
    copy with which the table service has returned, stays marked until the row
    is written or removed again. Ends are remembered as well, so that a daemon
    that was paused over the return doesn't bring back an evacuation that had
    ended before. The later of two marks of a zone counts, whoever told it.

    Attributes
    ----------
    has_returned
        Whether the table service has returned since this daemon or one that
        it heard of started.
    """

    has_returned: bool = False
    _marks: dict[str, ZoneMark] = attrs.field(factory=dict)

    def evacuated(self) -> frozenset[str]:
        """Return the zones that are marked as evacuated."""
        return frozenset(
            zone for zone, mark in self._marks.items() if mark.is_evacuated
        )

    def told(self) -> Iterator[tuple[str, ZoneMark]]:
        """Yield the marks that other daemons need, by zone."""
        if self.has_returned:
            yield from sorted(self._marks.items())

    def merge(self, marks: Mapping[str, ZoneMark]) -> None:
        """Add marks, which count if they are later."""
        for zone, mark in marks.items():
            self._add(zone, mark)

    def record_rows(
        self, previous: Position, listed: frozenset[str], news: EvacuationNews
    ) -> None:
        """Record that news replace the rows of an earlier position.

        Parameters
        ----------
        previous, listed
            The earlier position, and the zones that had rows there.
        news
            The rows of a later position.
        """
        is_return = previous.era < news.era
        self.has_returned = self.has_returned or bool(is_return and listed)
        for zone in listed - news.zones:
            if is_return:
                logging.warning(
                    'event=evacuation_held zone=%s position=%s',
                    zone,
                    previous,
                )
                self._add(zone, ZoneMark(previous, is_evacuated=True))
            else:
                ended = ZoneMark(news.position, is_evacuated=False)
                self._add(zone, ended)
        for written in news.zones & self._marks.keys():
            if self._marks[written].position <= news.position:
                self._marks.pop(written)

    def record_earlier(self, news: EvacuationNews) -> None:
        """Record rows of an era that has passed, as another daemon has them.

        They count where they are later than what is known of that era.
        """
        self.has_returned = True
        mark = ZoneMark(news.position, is_evacuated=True)
        for zone in news.zones:
            self._add(zone, mark)
        ended = ZoneMark(news.position, is_evacuated=False)
        for zone, known in list(self._marks.items()):
            is_earlier = known.position.era == news.era
            if zone not in news.zones and known.is_evacuated and is_earlier:
                self._add(zone, ended)

    def _add(self, zone: str, mark: ZoneMark) -> None:
        known = self._marks.get(zone)
        if known is not None and known >= mark:
            return
        self._marks[zone] = mark
        ended = [each for each in self._marks if not self._is_evacuated(each)]
        if len(ended) > _MAX_ENDED:
            self._marks.pop(min(ended, key=self._marks.__getitem__))

    def _is_evacuated(self, zone: str) -> bool:
        return self._marks[zone].is_evacuated
