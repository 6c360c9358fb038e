"""Answer which daemons callers should use and whether this one is ready."""

from random import Random

import attrs

from yuccavalve.clock import Clock
from yuccavalve.gateway.stopping import GatewayStop
from yuccavalve.membership import Roster
from yuccavalve.peers import ShareState

__all__ = ('EntryDirectory',)

# Callers use no more addresses of one answer than this.
MAX_ADDRESSES = 64


@attrs.define
class EntryDirectory:
    """Answers from local state, without calls to other systems."""

    roster: Roster
    share_state: ShareState
    stop: GatewayStop
    clock: Clock
    random: Random
    lifetime_s: float

    def is_ready(self) -> bool:
        """Return whether this daemon accepts callers' requests."""
        return self.share_state.informed and not self.stop.stopping

    def addresses(self, availability_zone: str) -> list[str]:
        """Return addresses of daemons for callers of an availability zone.

        Only daemons of that zone are returned if there are any, since
        traffic between zones is slower and more expensive. Daemons that reach
        no engine are left out while there are others.
        """
        excluded = self.share_state.uninformed()
        if self.stop.stopping:
            excluded.add(self.roster.local_member.member)
        members = [
            member
            for member in self.roster.entries(self.clock.now_s())
            if member.member not in excluded
        ]
        unreaching = self.share_state.engines_unreachable_at()
        reaching = [each for each in members if each.member not in unreaching]
        members = reaching or members
        same_zone = [
            member
            for member in members
            if member.availability_zone == availability_zone
        ]
        addresses = [member.caller_address for member in same_zone or members]
        if len(addresses) <= MAX_ADDRESSES:
            return addresses
        return self.random.sample(addresses, MAX_ADDRESSES)
