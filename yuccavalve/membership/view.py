"""Choose the peers to pull from, so that connections are reused.

Opening a channel costs several times the bytes of a pull. A daemon therefore
pulls from a small sample of its peers, one of which is replaced periodically
(a partial view as in Jelasity et al., 2007). The sample is random enough for
an update to reach all daemons in a number of rounds that grows with the
logarithm of their number.
"""

from random import Random

import attrs

from yuccavalve.membership.const import VIEW_REPLACE_PERIOD_S, VIEW_SIZE
from yuccavalve.membership.models import Member
from yuccavalve.membership.roster import Roster

__all__ = ('PeerView',)


@attrs.define
class PeerView:
    """The peers that one daemon pulls from, oldest first."""

    roster: Roster
    size: int = VIEW_SIZE
    replace_period_s: float = VIEW_REPLACE_PERIOD_S
    _names: list[str] = attrs.field(factory=list)
    _replaced_at_s: float = 0

    def draw(self, random: Random, now_s: float, count: int) -> list[Member]:
        """Return distinct peers: ``count`` live ones and a suspect.

        Suspects also replace missing live ones, so that daemons that were
        cut off, or have just started, are found.
        """
        others = {each.member: each for each in self.roster.members()[1:]}
        self._names = [name for name in self._names if name in others]
        if now_s - self._replaced_at_s >= self.replace_period_s:
            self._replaced_at_s = now_s
            self._names = self._names[1:]
        candidates = sorted(others.keys() - set(self._names))
        missing = min(self.size - len(self._names), len(candidates))
        self._names.extend(random.sample(candidates, missing))
        live = [
            name for name in self._names if self.roster.is_live(name, now_s)
        ]
        drawn = random.sample(live, min(count, len(live)))
        suspects = [name for name in self._names if name not in live]
        suspect_count = max(1, count - len(drawn))
        drawn += random.sample(suspects, min(suspect_count, len(suspects)))
        return [others[name] for name in drawn]

    def add(self, member: str) -> None:
        """Add a new daemon in place of the oldest peer.

        Until enough daemons pull from it, its updates would be too rare.
        """
        if member not in self._names:
            self._names = [*self._names[1 - self.size :], member]

    def drop(self, member: str) -> None:
        """Remove a peer that did not answer, to make room for another."""
        if member in self._names:
            self._names.remove(member)
