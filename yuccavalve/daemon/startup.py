"""Decide when a daemon that starts knows enough to take requests."""

from collections.abc import Collection
from typing import Final

import attrs
from absl import logging

__all__ = ('READY_MAX_WAIT_S', 'StartupKnowledge')

# How long a daemon with routes and engines waits for what others know.
READY_MAX_WAIT_S: Final = 1.0
_MS = 1000


@attrs.define
class StartupKnowledge:
    """What a daemon has learned since its start.

    Attributes
    ----------
    has_heard
        Whether a daemon that takes requests has told what it knows.
    quarantine_read
        Whether the row of the quarantine was read.
    others_are_down
        Whether no other daemon ran as this one started. Those that have started
        since know no more than the store tells.
    is_complete
        Whether the daemon may take requests.
    """

    has_heard: bool = False
    quarantine_read: bool = False
    others_are_down: bool = False
    is_complete: bool = False
    _failed: set[str] = attrs.field(factory=set)
    _waits_since_s: float | None = None

    def record_reply(self, *, informed: bool) -> None:
        """Record what another daemon has told."""
        self.has_heard = self.has_heard or informed

    def record_failure(self, member: str) -> None:
        """Record a daemon that was not reached."""
        if not self.is_complete:
            self._failed.add(member)

    def update(
        self,
        others: Collection[str] | None,
        *,
        has_base: bool,
        is_current: bool,
        now_s: float,
    ) -> bool:
        """Return whether the daemon may take requests.

        Parameters
        ----------
        others
            Ids of the other daemons that may know more, which are those that
            do not start too; None before their rows were read.
        has_base
            Whether routes and engines are known.
        is_current
            Whether no daemon has told of newer routes.
        """
        if self.is_complete or not has_base:
            return self.is_complete
        if self._waits_since_s is None:
            self._waits_since_s = now_s
        lacks = self._lacks(others) if is_current else 'routes'
        waited_s = now_s - self._waits_since_s
        if lacks and waited_s >= READY_MAX_WAIT_S:
            logging.warning(
                'event=ready_uninformed waited_ms=%d lacks=%s',
                waited_s * _MS,
                lacks,
            )
            lacks = ''
        self.is_complete = not lacks
        return self.is_complete

    def _lacks(self, others: Collection[str] | None) -> str:
        """Return what else has to be heard; empty for nothing."""
        if self.has_heard:
            return ''
        if not self.others_are_down:
            if others is None:
                return 'members'
            if not self._failed.issuperset(others):
                return 'peer_news'
        return '' if self.quarantine_read else 'quarantine_row'
