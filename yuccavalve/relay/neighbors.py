"""Choose the daemon that a partitioned daemon sends a request to."""

from collections.abc import Collection, Sequence
from random import Random

import attrs

from yuccavalve.membership import Member, Roster
from yuccavalve.peers import ShareState
from yuccavalve.relay.const import (
    MAX_PARTITIONED_PER_NEIGHBOR,
    NEIGHBOR_AVOID_S,
)

__all__ = ('NeighborChooser',)

_NEVER_S = float('-inf')


@attrs.define
class NeighborChooser:
    """Chooses among daemons that reach engines, own zone first."""

    roster: Roster
    share_state: ShareState
    random: Random
    _avoided_until_s: dict[str, float] = attrs.field(factory=dict)

    def avoid(self, member: str, now_s: float) -> None:
        """Avoid a daemon that did not take a request, for a while."""
        self._avoided_until_s = {
            each: until_s
            for each, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }
        self._avoided_until_s[member] = now_s + NEIGHBOR_AVOID_S

    def neighbors(self, now_s: float) -> list[Member]:
        """Return the other daemons that take relayed requests now."""
        local_member = self.roster.local_member
        left_out = self.share_state.engines_unreachable_at()
        left_out |= self.share_state.uninformed()
        return [
            each
            for each in self.roster.entries(now_s)
            if each.relay_address
            and each.member != local_member.member
            and each.member not in left_out
        ]

    def choose(self, tried: Collection[str], now_s: float) -> Member | None:
        """Return the daemon for the next attempt, or None.

        Daemons with more processor time are chosen more often.
        """
        untried = [
            each for each in self.neighbors(now_s) if each.member not in tried
        ]
        if not untried:
            return None
        sound = [
            each
            for each in untried
            if self._avoided_until_s.get(each.member, _NEVER_S) <= now_s
        ]
        preferred = self._preferred(sound or untried)
        weights = [max(1, each.processor_millicores) for each in preferred]
        return self.random.choices(preferred, weights)[0]

    def _preferred(self, neighbors: Sequence[Member]) -> Sequence[Member]:
        """Return the neighbors of the own zone, or all if these are too few.

        When most daemons of a zone are partitioned, the others of the zone
        can't take all of their requests.
        """
        zone = self.roster.local_member.availability_zone
        near = [each for each in neighbors if each.availability_zone == zone]
        members = (
            self.roster.get(each)
            for each in self.share_state.engines_unreachable_at()
        )
        partitioned = sum(
            each is not None and each.availability_zone == zone
            for each in members
        )
        if partitioned <= len(near) * MAX_PARTITIONED_PER_NEIGHBOR:
            return near or neighbors
        return neighbors
