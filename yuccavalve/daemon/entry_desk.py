"""Tell callers which daemons to use, and the platform whether this is one."""

from random import Random

import attrs

from yuccavalve.clock import Clock
from yuccavalve.gateway.server import GatewayStop
from yuccavalve.membership import Roster
from yuccavalve.peers import ShareBook

__all__ = ('EntryDesk',)

# Daemons in one answer; callers take no more.
MAX_ADDRESSES = 64


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
        excluded = self.book.uninformed()
        if self.stop.stopping:
            excluded.add(self.roster.own.member)
        members = [
            member
            for member in self.roster.entries(self.clock.now_s())
            if member.member not in excluded
        ]
        same_zone = [
            member
            for member in members
            if member.availability_zone == availability_zone
        ]
        addresses = [member.caller_address for member in same_zone or members]
        if len(addresses) <= MAX_ADDRESSES:
            return addresses
        return self.random.sample(addresses, MAX_ADDRESSES)
