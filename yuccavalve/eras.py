"""Notice that the table service has returned from a copy of itself.

What was written since the copy is then lost, and versions are given out again,
so that versions can only be compared within one era. The service may state the
number of its era in each answer. Where it doesn't, a newest version that is
below one it gave before shows the return.
"""

from collections.abc import Callable

import attrs
from absl import logging

from yuccavalve.ports.position import ERAS_PER_NUMBER, Position

__all__ = ('FIRST_STATED_ERA', 'EraWatch')

FIRST_STATED_ERA = ERAS_PER_NUMBER
_MAX_STATED = 0xFFFFFFFF


@attrs.define
class EraWatch:
    """The newest era that a daemon knows, and the newest version in it.

    Attributes
    ----------
    era
        Number of the era; 0 while the service has stated none.
    returns
        Number of returns that were noticed since the start.
    listeners
        Called once for each new era, with its number, before the answer or
        the message that showed it is used.
    """

    era: int = 0
    returns: int = 0
    listeners: list[Callable[[int], None]] = attrs.field(factory=list)
    _is_known: bool = False
    _newest_version: int = 0

    @property
    def is_first(self) -> bool:
        """Return whether the service has not returned since it was set up."""
        return self.returns == 0 and self.era <= FIRST_STATED_ERA

    def position(self) -> Position:
        """Return the newest known position, from which a call is sent."""
        return Position(self.era, self._newest_version)

    def place(
        self, sent_from: Position, stated: int | None, version: int | None
    ) -> int | None:
        """Return the era of an answer; None if it has passed or is unknown.

        Parameters
        ----------
        sent_from
            Position that was known when the call was sent. An answer is of an
            earlier one only if the service has returned from a copy.
        stated
            Number of the era in the answer; None if it states none.
        version
            Version up to which a valid answer reaches; None if it has none.
        """
        if stated is not None and 0 < stated <= _MAX_STATED:
            stated_era = stated * ERAS_PER_NUMBER
            first_era = self.era - self.era % ERAS_PER_NUMBER
            if stated_era < first_era:
                return None
            if stated_era > first_era:
                self._begin(stated_era, 'stated')
                self._record(version)
                return self.era
        # The answer may be of the era in which the call was sent.
        is_stated = stated is not None and not self.era % ERAS_PER_NUMBER
        if sent_from.era < self.era and not is_stated:
            return None
        is_same_era = sent_from.era == self.era
        if version is not None and is_same_era and version < sent_from.version:
            self._begin(self.era + 1, 'version fell')
        self._record(version)
        return self.era

    def record_peer(self, era: int) -> None:
        """Record an era that another daemon knows."""
        if era > self.era:
            self._begin(era, 'peer')

    def _begin(self, era: int, cause: str) -> None:
        previous = self.position()
        self.era = era
        self._newest_version = 0
        if self._is_known:
            self.returns += 1
            logging.warning(
                'event=store_returned position=%s previous=%s cause=%r',
                Position(era),
                previous,
                cause,
            )
        else:
            logging.info(
                'event=store_era_known position=%s cause=%r',
                Position(era),
                cause,
            )
        self._is_known = True
        for listener in self.listeners:
            listener(era)

    def _record(self, version: int | None) -> None:
        if version is not None:
            self._is_known = True
            self._newest_version = max(self._newest_version, version)
