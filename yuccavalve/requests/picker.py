"""Limit the requests in flight and choose replicas for them."""

from collections import Counter
from collections.abc import Mapping
from random import Random
from typing import Protocol

import attrs

from yuccavalve.clock import Clock
from yuccavalve.load import (
    AffinityRouter,
    Candidate,
    Demands,
    DemandShares,
    ReplicaScores,
    Router,
)
from yuccavalve.load.const import DEMAND_TOTALS_MAX_AGE_S
from yuccavalve.membership import Roster
from yuccavalve.ratelimit import backend_id
from yuccavalve.replicas import GrantTable, Replica, ReplicaTable
from yuccavalve.requests.limits import LimitGuard

__all__ = ('ReplicaPicker', 'SlotSource')


class SlotSource(Protocol):
    """Source of the limit on a group's requests in flight."""

    def limit(
        self,
        group: str,
        demands: Mapping[str, int],
        weights: Mapping[str, float],
    ) -> int:
        """Return this daemon's limit, given its demands by workspace."""


@attrs.frozen
class _OtherDemands:
    """Demands of the other live daemons for one group.

    Attributes
    ----------
    summed_at_s
        Monotonic time at which they were summed.
    totals
        Requests in flight and queued by workspace.
    live_members
        Number of live daemons, this one included.
    """

    summed_at_s: float
    totals: Counter[str]
    live_members: int


@attrs.define
class ReplicaPicker:
    """Picks replicas with a current grant; counts requests sent there."""

    table: ReplicaTable
    grants: GrantTable
    roster: Roster
    scores: ReplicaScores
    demands: Demands
    clock: Clock
    random: Random
    max_in_flight: int
    limits: LimitGuard
    router: Router = AffinityRouter()
    _in_flight: Counter[str] = attrs.field(factory=Counter)
    _cached_others: dict[str, _OtherDemands] = attrs.field(factory=dict)
    _sent_since_report: Counter[str] = attrs.field(factory=Counter)
    _report_at_s: dict[str, float] = attrs.field(factory=dict)

    def limit(
        self,
        group: str,
        demands: Mapping[str, int],
        weights: Mapping[str, float],
    ) -> int:
        """Return how many requests this daemon may have in flight."""
        replicas = self.table.serving(group)
        if not replicas:
            return self.max_in_flight
        others = self._other_demands(group)
        share = DemandShares(weights).share_from_totals(
            sum(replica.slots for replica in replicas),
            demands,
            others.totals + Counter(demands),
            others.live_members,
        )
        return min(share, self.max_in_flight)

    def _other_demands(self, group: str) -> _OtherDemands:
        """Return the other daemons' demands, cached for a short time."""
        now_s = self.clock.now_s()
        cached = self._cached_others.get(group)
        if (
            cached is not None
            and now_s - cached.summed_at_s < DEMAND_TOTALS_MAX_AGE_S
        ):
            return cached
        names = [
            member.member
            for member in self.roster.live(now_s)
            if member.member != self.roster.local_member.member
        ]
        totals = self.demands.totals(group, names)
        cached = _OtherDemands(now_s, totals, len(names) + 1)
        self._cached_others[group] = cached
        return cached

    def pick(
        self,
        group: str,
        prefix_key: str,
        tried: set[str],
    ) -> Replica | None:
        """Return an untried replica with a current grant, or None.

        Raises
        ------
        RequestRefusedError
            If all of them are at the limits that they have named.
        """
        now_s = self.clock.now_s()
        granted = [
            replica
            for replica in self.table.serving(group)
            if self._is_granted(replica, now_s) and replica.replica not in tried
        ]
        healthy = [
            replica
            for replica in granted
            if not self.scores.is_suspended(replica.replica, now_s)
        ]
        by_id = {
            backend_id(replica.replica, replica.incarnation): replica
            for replica in healthy or granted
        }
        if not by_id:
            return None

        def choose(backends: set[int]) -> int:  # noqa: WPS430
            candidates = [
                self._candidate(replica, now_s)
                for backend, replica in by_id.items()
                if backend in backends
            ]
            chosen = self.router.choose(candidates, prefix_key, self.random)
            return next(
                backend
                for backend, replica in by_id.items()
                if replica.replica == chosen.replica
            )

        return by_id[self.limits.select(by_id, choose)]

    def begin(self, replica: str) -> None:
        """Count a request sent to a replica."""
        self._in_flight[replica] += 1
        self._sent_since_report[replica] += 1

    def end(self, replica: str) -> None:
        """Count a request that has ended."""
        self._in_flight[replica] -= 1
        if self._in_flight[replica] <= 0:
            self._in_flight.pop(replica)

    def in_flight(self, replica: str) -> int:
        """Return the requests of this daemon in flight at a replica."""
        return self._in_flight[replica]

    def _is_granted(self, replica: Replica, now_s: float) -> bool:
        grant = self.grants.current(
            replica.replica,
            replica.incarnation,
            now_s,
        )
        return grant is not None

    def _candidate(self, replica: Replica, now_s: float) -> Candidate:
        name = replica.replica
        grant = self.grants.current(name, replica.incarnation, now_s)
        reported = 0
        age_s: float = 0
        if grant is not None:
            reported = grant.load
            age_s = now_s - grant.at_s
            if self._report_at_s.get(name) != grant.at_s:
                self._report_at_s[name] = grant.at_s
                self._sent_since_report.pop(name, None)
        return Candidate(
            replica=name,
            slots=replica.slots,
            own_in_flight=self._in_flight[name],
            reported=reported,
            report_age_s=age_s,
            own_since_report=self._sent_since_report[name],
            slowness=self.scores.slowness(name),
        )
