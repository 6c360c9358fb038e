"""Track the known members and when each was last seen."""

from collections.abc import Iterable
from random import Random

import attrs
import xxhash

from yuccavalve.const import (
    DIGEST_SAMPLE_MEMBERS,
    PEER_SUSPECT_S,
    SUSPECT_PER_MEMBER_S,
)
from yuccavalve.hashing import hash32
from yuccavalve.membership.models import Member

__all__ = ('Roster', 'RosterIndex')

_NEVER_S = float('-inf')


@attrs.frozen
class RosterIndex:
    """Index of all known members, for digests.

    Attributes
    ----------
    ids
        Member ids, sorted.
    digest
        Hash of the ids.
    by_hash32
        Members by the 32-bit id that digests carry.
    """

    ids: list[str]
    digest: int
    by_hash32: dict[int, Member]


@attrs.define
class Roster:
    """Members known to one daemon.

    The time at which a member was last seen is the latest one at which it
    was certainly live, however many peers passed the update on.
    """

    local_member: Member
    suspect_s: float = PEER_SUSPECT_S
    suspect_per_member_s: float = SUSPECT_PER_MEMBER_S
    _members: dict[str, Member] = attrs.field(factory=dict)
    _last_seen_at_s: dict[str, float] = attrs.field(factory=dict)
    _ids_by_name: dict[str, set[str]] = attrs.field(factory=dict)
    _index: RosterIndex | None = None

    def learn(self, member: Member) -> None:
        """Add or update a member, except one known to be leaving."""
        known = self._members.get(member.member)
        if known == member or (known is not None and known.leaving):
            return
        self._members[member.member] = member
        self._ids_by_name.setdefault(member.name, set()).add(member.member)
        self._index = None

    def learn_all(self, members: Iterable[Member]) -> None:
        """Add members."""
        for member in members:
            self.learn(member)

    def record_seen(self, member: str, at_s: float) -> None:
        """Record that a member was live at a monotonic time."""
        earlier_s = self._last_seen_at_s.get(member, _NEVER_S)
        self._last_seen_at_s[member] = max(earlier_s, at_s)

    def replace_earlier(self, member: Member) -> None:
        """Drop earlier processes of the same daemon.

        A daemon runs as one process at a time, so the one seen last is the
        one that runs.
        """
        last_seen_at_s = self.last_seen_at_s(member.member)
        same_name = self._ids_by_name.get(member.name, set())
        for known in same_name - {member.member}:
            if self.last_seen_at_s(known) <= last_seen_at_s:
                self.forget(known)

    def forget(self, member: str) -> None:
        """Drop a member."""
        known = self._members.pop(member, None)
        if known is not None:
            self._ids_by_name[known.name].discard(member)
        self._last_seen_at_s.pop(member, None)
        self._index = None

    def forget_except(self, registered: Iterable[str], now_s: float) -> None:
        """Drop members that are neither registered nor live."""
        kept = set(registered)
        for name in list(self._members):
            if name not in kept and not self.is_live(name, now_s):
                self.forget(name)

    def is_live(self, member: str, now_s: float) -> bool:
        """Return whether a member was seen within ``suspect_after_s``."""
        if member == self.local_member.member:
            return True
        last_seen_at_s = self._last_seen_at_s.get(member, _NEVER_S)
        return now_s - last_seen_at_s <= self.suspect_after_s()

    def suspect_after_s(self) -> float:
        """Return the time unseen after which a member is suspected.

        Digests list a bounded number of members, so each one is seen less
        often the more members there are.
        """
        return self.suspect_s + self.suspect_per_member_s * len(self._members)

    def last_seen_at_s(self, member: str) -> float:
        """Return when a member was last seen."""
        return self._last_seen_at_s.get(member, _NEVER_S)

    def members(self) -> list[Member]:
        """Return all known members, this one included."""
        others = (
            member
            for name, member in self._members.items()
            if name != self.local_member.member
        )
        return [self.local_member, *others]

    def live(self, now_s: float) -> list[Member]:
        """Return the live members, this one included."""
        return [
            member
            for member in self.members()
            if self.is_live(member.member, now_s)
        ]

    def entries(self, now_s: float) -> list[Member]:
        """Return the live members that take new callers."""
        return [member for member in self.live(now_s) if not member.leaving]

    def get(self, name: str) -> Member | None:
        """Return a member by id."""
        if name == self.local_member.member:
            return self.local_member
        return self._members.get(name)

    def index(self) -> RosterIndex:
        """Return the index of known members, rebuilt after a change."""
        if self._index is None:
            ids = sorted({*self._members, self.local_member.member})
            self._index = RosterIndex(
                ids=ids,
                digest=xxhash.xxh64_intdigest(' '.join(ids).encode()),
                by_hash32={
                    hash32(member.member): member for member in self.members()
                },
            )
        return self._index

    def sample(
        self,
        random: Random,
        now_s: float,
    ) -> list[tuple[str, float]]:
        """Return a random sample, of bounded size, of other live members.

        Each comes with the time since it was last seen.
        """
        ages = [
            (member.member, now_s - self.last_seen_at_s(member.member))
            for member in self.live(now_s)
            if member.member != self.local_member.member
        ]
        return random.sample(ages, min(DIGEST_SAMPLE_MEMBERS, len(ages)))
