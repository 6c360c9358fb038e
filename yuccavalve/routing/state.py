"""The version of the routes in force on one daemon."""

import attrs
from absl import logging

from yuccavalve.routing.models import RoutingTable

__all__ = ('RoutingState',)

_NEVER_S = float('-inf')


@attrs.define
class RoutingState:
    """Adopts newer versions and never an older one.

    Attributes
    ----------
    table
        The version in force; None before the first.
    confirmed_at_s
        Reading of the clock at which the store last confirmed it.
    document
        The encoded version as the store holds it, for peers that lack it.
    """

    table: RoutingTable | None = None
    confirmed_at_s: float = _NEVER_S
    document: bytes = b''

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return 0 if self.table is None else self.table.version

    def note_confirmed(self, at_s: float) -> None:
        """Note that the store held this version as its newest."""
        self.confirmed_at_s = max(self.confirmed_at_s, at_s)

    def adopt(self, table: RoutingTable, document: bytes, source: str) -> bool:
        """Put a version in force if it is newer; tell whether it was."""
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
