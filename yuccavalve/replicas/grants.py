"""Grants: evidence that all hosts of a replica are present.

A grant expires unless newer evidence of the same incarnation renews it. A
revoked incarnation never gets a grant again.
"""

import attrs

from yuccavalve.const import GRANT_LIFETIME_S

__all__ = ('Grant', 'GrantTable')


@attrs.frozen
class Grant:
    """Evidence that all hosts of an incarnation answered.

    Attributes
    ----------
    at_s
        Monotonic time at which the evidence was certainly true.
    load
        Running and queued requests, as reported by the engine.
    """

    replica: str
    incarnation: int
    at_s: float
    load: int = 0


@attrs.define
class GrantTable:
    """The newest grant of each replica."""

    lifetime_s: float = GRANT_LIFETIME_S
    _grants: dict[str, Grant] = attrs.field(factory=dict)
    _revoked: dict[str, int] = attrs.field(factory=dict)
    _broken: set[str] = attrs.field(factory=set)

    def offer(self, grant: Grant) -> None:
        """Store a grant unless it is revoked or a newer one is known."""
        if grant.incarnation <= self._revoked.get(grant.replica, 0):
            return
        stored = self._grants.get(grant.replica)
        if stored is None or grant.at_s > stored.at_s:
            self._grants[grant.replica] = grant

    def revoke(
        self,
        replica: str,
        incarnation: int,
        *,
        broken: bool,
    ) -> bool:
        """Revoke an incarnation for good; return whether that is a change.

        A broken one has lost a host. One that is not broken only takes no new
        requests.
        """
        was_broken = replica in self._broken
        if incarnation <= self._revoked.get(replica, 0):
            if was_broken or not broken:
                return False
        if broken:
            self._broken.add(replica)
        self._revoked[replica] = incarnation
        self._grants.pop(replica, None)
        return True

    def current(
        self,
        replica: str,
        incarnation: int,
        now_s: float,
    ) -> Grant | None:
        """Return the grant in force for an incarnation."""
        grant = self._grants.get(replica)
        if grant is None or grant.incarnation != incarnation:
            return None
        if now_s - grant.at_s > self.lifetime_s:
            return None
        return grant

    def all_current(self, now_s: float) -> list[Grant]:
        """Return every grant in force."""
        return [
            grant
            for grant in self._grants.values()
            if now_s - grant.at_s <= self.lifetime_s
        ]

    def is_broken(self, replica: str) -> bool:
        """Return whether a replica is known to have lost a host."""
        return replica in self._broken

    def revocations(self) -> list[tuple[str, int, bool]]:
        """Return the revoked incarnations, and whether each is broken."""
        return [
            (replica, incarnation, replica in self._broken)
            for replica, incarnation in self._revoked.items()
        ]

    def forget_except(self, replicas: set[str]) -> None:
        """Remove the entries of replicas that no longer exist."""
        for table in (self._grants, self._revoked):
            for name in table.keys() - replicas:
                table.pop(name)
        self._broken &= replicas
