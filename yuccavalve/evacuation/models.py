"""Data classes of what a daemon reads or hears of evacuated zones."""

from collections.abc import Mapping

import attrs

__all__ = ('EvacuationNews', 'EvacuationReading')


@attrs.frozen
class EvacuationReading:
    """An answer of the table that holds the rows of evacuated zones.

    Attributes
    ----------
    version
        Version of the table's change feed up to which the answer reaches.
    zones
        Whether a zone is evacuated, by zone; False for a removed row. Zones
        whose rows have not changed may be missing unless ``is_complete``.
    is_complete
        Whether these are all rows, so that any other was removed.
    """

    version: int
    zones: Mapping[str, bool] = attrs.field(factory=dict)
    is_complete: bool = False


@attrs.frozen
class EvacuationNews:
    """The evacuated zones as another daemon knows them.

    Attributes
    ----------
    confirmed_at_s
        Local monotonic time, not later than the store's last confirmation.
    """

    version: int
    zones: frozenset[str]
    confirmed_at_s: float
