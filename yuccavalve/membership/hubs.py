"""Choose the hubs of an availability zone.

A hub reads the store for its followers, sums their requests in flight, and
exchanges the sums with the hubs of other availability zones. A follower's
traffic does not depend on the number of daemons; a hub's grows with its
followers, whose number is bounded.

Hubs are not elected: each daemon ranks the daemons that it knows by the same
rule, and skips those that do not answer it. Daemons that disagree for a moment
form two groups, and the hubs of these exchange updates like hubs of different
availability zones.

Among machines with equally many processors the planner comes first: it reads
the store anyway, so its followers get the newest records. A planner on a
smaller machine follows a hub, as both duties together are too much for it.
"""

from collections.abc import Iterable

import attrs

from yuccavalve.hashing import rendezvous_order
from yuccavalve.membership.const import DAEMONS_PER_HUB
from yuccavalve.membership.models import Member
from yuccavalve.membership.roster import Roster

__all__ = ('HubRanking',)

_NEVER_S = float('-inf')


@attrs.define
class HubRanking:
    """The hubs of each availability zone, as one daemon ranks them.

    Attributes
    ----------
    planner
        Id of the daemon that plans; empty if none is known.
    """

    roster: Roster
    planner: str = ''
    _failed_at_s: dict[str, float] = attrs.field(factory=dict)

    def record_failure(self, member: str, now_s: float) -> None:
        """Skip a daemon until it is seen again."""
        self._failed_at_s[member] = now_s

    def record_answer(self, member: str) -> None:
        """Stop skipping a daemon."""
        self._failed_at_s.pop(member, None)

    def hubs(self, availability_zone: str) -> list[Member]:
        """Return the hubs of an availability zone in order of rank."""
        ranked = self._ranked(availability_zone)
        return ranked[: -(-len(ranked) // DAEMONS_PER_HUB)]

    def hub_to_follow(self) -> Member:
        """Return the hub to follow, or this daemon if it is a hub."""
        local_member = self.roster.local_member
        hubs = self.hubs(local_member.availability_zone)
        if local_member in hubs or not hubs:
            return local_member
        by_id = {member.member: member for member in hubs}
        return by_id[rendezvous_order(local_member.member, by_id)[0]]

    def other_hubs(self) -> list[Member]:
        """Return the hubs that a hub exchanges updates with.

        They are one hub of each other availability zone, and the other hubs
        of this one. The only hub of its availability zone includes the next
        in rank: that one may have been hub during an outage of this daemon,
        and learns in this way that it is back.
        """
        local_member = self.roster.local_member
        chosen: list[Member] = []
        for availability_zone in sorted(self._availability_zones()):
            hubs = [
                each
                for each in self.hubs(availability_zone)
                if each != local_member
            ]
            if availability_zone == local_member.availability_zone:
                chosen.extend(hubs or self._next_in_rank(availability_zone))
            elif hubs:
                by_id = {member.member: member for member in hubs}
                chosen_id = rendezvous_order(local_member.member, by_id)[0]
                chosen.append(by_id[chosen_id])
        return chosen

    def not_live(self, now_s: float) -> list[Member]:
        """Return known daemons that are not live."""
        return [
            each
            for each in self.roster.members()
            if not self.roster.is_live(each.member, now_s)
        ]

    def _next_in_rank(self, availability_zone: str) -> list[Member]:
        others = [
            each
            for each in self._ranked(availability_zone)
            if each != self.roster.local_member
        ]
        return others[:1]

    def _availability_zones(self) -> set[str]:
        return {each.availability_zone for each in self.roster.members()}

    def _ranked(self, availability_zone: str) -> list[Member]:
        """Return the zone's daemons that may answer, the best hubs first."""
        known = {
            member.member: member
            for member in self.roster.members()
            if member.availability_zone == availability_zone
            and self._may_answer(member)
        }
        order = rendezvous_order(availability_zone, known)
        return sorted(
            (known[name] for name in order),
            key=lambda member: (
                -member.processor_millicores,
                member.member != self.planner,
            ),
        )

    def _may_answer(self, member: Member) -> bool:
        if member.member == self.roster.local_member.member:
            return not member.leaving
        failed_at_s = self._failed_at_s.get(member.member, _NEVER_S)
        return not member.leaving and (
            failed_at_s == _NEVER_S
            or self.roster.last_seen_at_s(member.member) > failed_at_s
        )

    def forget_except(self, known: Iterable[str]) -> None:
        """Drop the failures of all daemons that are not in ``known``."""
        kept = set(known)
        for name in list(self._failed_at_s):
            if name not in kept:
                self._failed_at_s.pop(name)
