"""The version of the routes that one daemon uses."""

import attrs
from absl import logging

from yuccavalve.routing.models import RoutingTable

__all__ = ('RoutingState',)

_NEVER_S = float('-inf')


@attrs.define
class RoutingState:
    """The current routes; only a newer version replaces them.

    Attributes
    ----------
    table
        Current version; None before the first.
    confirmed_at_s
        Monotonic time at which the store last confirmed the version.
    document
        Current version as encoded in the store, for peers that lack it.
    """

    table: RoutingTable | None = None
    confirmed_at_s: float = _NEVER_S
    document: bytes = b''

    @property
    def version(self) -> int:
        """Return the number of the current version, 0 before the first."""
        return 0 if self.table is None else self.table.version

    def record_confirmed(self, at_s: float) -> None:
        """Record when the store held the current version as its newest."""
        self.confirmed_at_s = max(self.confirmed_at_s, at_s)

    def adopt(self, table: RoutingTable, document: bytes, source: str) -> bool:
        """Adopt a version if it is newer; return whether it was."""
        if table.version <= self.version:
            return False
        logging.info(
            'event=config_adopted version=%d previous=%d source=%s routes=%d',
            table.version,
            self.version,
            source,
            sum(map(len, table.routes_by_host.values())),
        )
        self.table = table
        self.document = document
        return True
