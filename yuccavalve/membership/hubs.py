"""Choose the hubs of an availability zone.

A hub reads the store for the daemons that follow it, adds up what they have
under way, and exchanges that with the hubs of other zones. What a daemon that
follows sends and hears stays the same however many daemons there are; a hub's
part grows with its followers, whose number is bounded.

Nobody elects hubs: each daemon ranks the daemons that it knows by the same
rule, and passes over those that do not answer it. Daemons that disagree for a
moment split into two groups, each with a hub of its own, which hear of each
other like those of different zones.
"""

from collections.abc import Iterable

import attrs

from yuccavalve.hashing import rendezvous_order
from yuccavalve.membership.const import HUB_FOLLOWERS
from yuccavalve.membership.models import Member
from yuccavalve.membership.roster import Roster

__all__ = ('HubRanking',)

_NEVER_S = float('-inf')


@attrs.define
class HubRanking:
    """The hubs of each zone, as one daemon sees them."""

    roster: Roster
    _failed_at_s: dict[str, float] = attrs.field(factory=dict)

    def note_failure(self, member: str, now_s: float) -> None:
        """Pass over a daemon until it is heard of again."""
        self._failed_at_s[member] = now_s

    def note_answer(self, member: str) -> None:
        """Count on a daemon again."""
        self._failed_at_s.pop(member, None)

    def hubs(self, zone: str) -> list[Member]:
        """Return the daemons of a zone that should serve as its hubs."""
        ranked = self._ranked(zone)
        return ranked[: -(-len(ranked) // HUB_FOLLOWERS)]

    def own_hub(self) -> Member:
        """Return the hub to follow; this daemon where it is one itself."""
        own = self.roster.own
        hubs = self.hubs(own.availability_zone)
        if own in hubs or not hubs:
            return own
        by_id = {member.member: member for member in hubs}
        return by_id[rendezvous_order(own.member, by_id)[0]]

    def other_hubs(self) -> list[Member]:
        """Return a hub of each other zone, and the other hubs of the own.

        The only hub of its zone counts the next in rank as another, which
        so hears of it when it comes back.
        """
        own = self.roster.own
        chosen: list[Member] = []
        for zone in sorted(self._zones()):
            hubs = [each for each in self.hubs(zone) if each != own]
            if zone == own.availability_zone:
                chosen.extend(hubs or self._next_in_rank(zone))
            elif hubs:
                by_id = {member.member: member for member in hubs}
                first = rendezvous_order(own.member, by_id)[0]
                chosen.append(by_id[first])
        return chosen

    def silent(self, now_s: float) -> list[Member]:
        """Return known daemons that are not heard of."""
        return [
            each
            for each in self.roster.members()
            if not self.roster.is_alive(each.member, now_s)
        ]

    def _next_in_rank(self, zone: str) -> list[Member]:
        others = [
            each for each in self._ranked(zone) if each != self.roster.own
        ]
        return others[:1]

    def _zones(self) -> set[str]:
        return {each.availability_zone for each in self.roster.members()}

    def _ranked(self, zone: str) -> list[Member]:
        """Return the daemons of a zone that may answer, best hubs first."""
        known = {
            member.member: member
            for member in self.roster.members()
            if member.availability_zone == zone and self._may_answer(member)
        }
        order = rendezvous_order(zone, known)
        return sorted(
            (known[name] for name in order),
            key=lambda member: -member.processor_millicores,
        )

    def _may_answer(self, member: Member) -> bool:
        if member.member == self.roster.own.member:
            return not member.leaving
        failed_at_s = self._failed_at_s.get(member.member, _NEVER_S)
        return not member.leaving and (
            failed_at_s == _NEVER_S
            or self.roster.heard_at(member.member) > failed_at_s
        )

    def forget(self, known: Iterable[str]) -> None:
        """Drop notes on daemons that are not known any more."""
        kept = set(known)
        for name in list(self._failed_at_s):
            if name not in kept:
                self._failed_at_s.pop(name)
