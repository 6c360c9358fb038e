"""Tell callers which daemons to use, and the platform whether this is one."""

from random import Random

import attrs

from yuccavalve.clock import Clock
from yuccavalve.gateway.server import GatewayStop
from yuccavalve.membership import Roster
from yuccavalve.peers import ShareBook

__all__ = ('EntryDesk',)

# Daemons in one answer; callers take no more.
MAX_NAMED = 64


@attrs.define
class EntryDesk:
    """Answers from what this daemon knows; asks nobody."""

    roster: Roster
    book: ShareBook
    stop: GatewayStop
    clock: Clock
    random: Random
    lifetime_s: float

    def is_ready(self) -> bool:
        """Tell whether this daemon takes callers' requests."""
        return self.book.informed and not self.stop.stopping

    def addresses(self, availability_zone: str) -> list[str]:
        """Return the daemons for callers of an availability zone.

        Those of the same zone come alone when there are any, since bytes
        between zones are slower and dearer.
        """
        left_out = self.book.uninformed()
        if self.stop.stopping:
            left_out.add(self.roster.own.member)
        members = [
            each
            for each in self.roster.entries(self.clock.now_s())
            if each.member not in left_out
        ]
        near = [
            each
            for each in members
            if each.availability_zone == availability_zone
        ]
        named = [each.caller_address for each in near or members]
        if len(named) <= MAX_NAMED:
            return named
        return self.random.sample(named, MAX_NAMED)
