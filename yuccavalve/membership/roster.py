"""Know the members and when each was last heard of."""

from collections.abc import Iterable
from random import Random

import attrs
import xxhash

from yuccavalve.const import (
    DIGEST_MEMBERS,
    PEER_SUSPECT_S,
    SUSPECT_PER_MEMBER_S,
)
from yuccavalve.hashing import tiny_id
from yuccavalve.membership.models import Member

__all__ = ('Roster', 'RosterIndex')

_NEVER_S = float('-inf')


@attrs.frozen
class RosterIndex:
    """What digests need of all known members.

    Attributes
    ----------
    ids
        Members' ids, in order.
    digest
        A hash over the ids.
    by_tiny_id
        Members by the short id that digests carry.
    """

    ids: list[str]
    digest: int
    by_tiny_id: dict[int, Member]


@attrs.define
class Roster:
    """Members known to one daemon.

    Hearing of a member counts at the reading at which that member was
    certainly alive, however many peers the news passed through.
    """

    own: Member
    suspect_s: float = PEER_SUSPECT_S
    suspect_per_member_s: float = SUSPECT_PER_MEMBER_S
    _members: dict[str, Member] = attrs.field(factory=dict)
    _heard_at_s: dict[str, float] = attrs.field(factory=dict)
    _index: RosterIndex | None = None

    def learn(self, member: Member) -> None:
        """Add a member, or note that a known one is leaving."""
        known = self._members.get(member.member)
        if known == member or (known is not None and known.leaving):
            return
        self._members[member.member] = member
        self._index = None

    def learn_all(self, members: Iterable[Member]) -> None:
        """Add members."""
        for member in members:
            self.learn(member)

    def hear(self, member: str, at_s: float) -> None:
        """Note that a member was alive at a reading."""
        earlier_s = self._heard_at_s.get(member, _NEVER_S)
        self._heard_at_s[member] = max(earlier_s, at_s)

    def replace_earlier(self, member: Member) -> None:
        """Drop other processes of a daemon that were heard of before this.

        A daemon runs as one process at a time, so the one heard of last is
        the one that runs.
        """
        heard_at_s = self.heard_at(member.member)
        for known in self.members()[1:]:
            if known.name != member.name or known.member == member.member:
                continue
            if self.heard_at(known.member) <= heard_at_s:
                self.forget(known.member)

    def forget(self, member: str) -> None:
        """Drop what is known of a member."""
        self._members.pop(member, None)
        self._heard_at_s.pop(member, None)
        self._index = None

    def forget_except(self, registered: Iterable[str], now_s: float) -> None:
        """Drop members that are neither registered nor heard of lately."""
        kept = set(registered)
        for name in list(self._members):
            if name not in kept and not self.is_alive(name, now_s):
                self.forget(name)

    def is_alive(self, member: str, now_s: float) -> bool:
        """Tell whether a member was heard of within the suspicion time."""
        if member == self.own.member:
            return True
        heard_at_s = self._heard_at_s.get(member, _NEVER_S)
        return now_s - heard_at_s <= self.patience_s()

    def patience_s(self) -> float:
        """Return the time without news after which a member is suspected.

        News of each member comes less often the more members there are,
        since digests don't grow with them.
        """
        return self.suspect_s + self.suspect_per_member_s * len(self._members)

    def heard_at(self, member: str) -> float:
        """Return when a member was last known to be alive."""
        return self._heard_at_s.get(member, _NEVER_S)

    def members(self) -> list[Member]:
        """Return all known members, this one included."""
        others = (
            member
            for name, member in self._members.items()
            if name != self.own.member
        )
        return [self.own, *others]

    def live(self, now_s: float) -> list[Member]:
        """Return the members that are alive, this one included."""
        return [
            member
            for member in self.members()
            if self.is_alive(member.member, now_s)
        ]

    def entries(self, now_s: float) -> list[Member]:
        """Return the live members that take new callers."""
        return [member for member in self.live(now_s) if not member.leaving]

    def by_member(self, name: str) -> Member | None:
        """Return a member by id."""
        if name == self.own.member:
            return self.own
        return self._members.get(name)

    def index(self) -> RosterIndex:
        """Return the known members in order; made anew after a change."""
        if self._index is None:
            ids = sorted({*self._members, self.own.member})
            self._index = RosterIndex(
                ids=ids,
                digest=xxhash.xxh64_intdigest(' '.join(ids).encode()),
                by_tiny_id={
                    tiny_id(member.member): member for member in self.members()
                },
            )
        return self._index

    def sample(
        self,
        random: Random,
        now_s: float,
    ) -> list[tuple[str, float]]:
        """Return ids and ages of a bounded number of live members."""
        ages = [
            (member.member, now_s - self.heard_at(member.member))
            for member in self.live(now_s)
            if member.member != self.own.member
        ]
        return random.sample(ages, min(DIGEST_MEMBERS, len(ages)))
