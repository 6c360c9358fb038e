"""Data classes of what a daemon reads or hears of evacuated zones."""

from collections.abc import Mapping

import attrs

from yuccavalve.ports.position import Position

__all__ = ('EvacuationNews', 'EvacuationReading', 'ZoneMark')


@attrs.frozen
class EvacuationReading:
    """An answer of the table that holds the rows of evacuated zones.

    Attributes
    ----------
    version, era
        Position of the table's change feed up to which the answer reaches.
    zones
        Whether a zone is evacuated, by zone; False for a removed row. Zones
        whose rows have not changed may be missing unless ``is_complete``.
    is_complete
        Whether these are all rows, so that any other was removed.
    """

    version: int
    zones: Mapping[str, bool] = attrs.field(factory=dict)
    is_complete: bool = False
    era: int = 0

    @property
    def position(self) -> Position:
        """Return the position up to which the answer reaches."""
        return Position(self.era, self.version)


@attrs.frozen(order=True)
class ZoneMark:
    """Whether a zone was evacuated at a position; later marks are greater."""

    position: Position
    is_evacuated: bool


@attrs.frozen
class EvacuationNews:
    """The evacuated zones as another daemon knows them.

    Attributes
    ----------
    zones
        Zones that have a row at the position of ``version`` and ``era``.
    confirmed_at_s
        Local monotonic time, not later than the store's last confirmation.
    marks
        What is known of zones of which the rows of the era don't tell, because
        the table came back from a copy that lacks them.
    """

    version: int
    zones: frozenset[str]
    confirmed_at_s: float
    era: int = 0
    marks: Mapping[str, ZoneMark] = attrs.field(factory=dict)

    @property
    def position(self) -> Position:
        """Return the position at which the zones have rows."""
        return Position(self.era, self.version)
