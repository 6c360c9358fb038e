"""Select a replica for a request by prefix affinity and load."""

from collections.abc import Sequence
from random import Random
from typing import Protocol

import attrs

from yuccavalve.hashing import rendezvous_order
from yuccavalve.load.const import LOAD_BOUND_FACTOR, REPORT_TRUST_S

__all__ = ('AffinityRouter', 'Candidate', 'Router')


@attrs.frozen
class Candidate:
    """A replica that may be selected, and its load.

    Attributes
    ----------
    own_in_flight
        This daemon's requests in flight at the replica.
    reported
        Requests of all daemons that the replica last reported as running
        or queued.
    report_age_s
        Age of that report.
    own_since_report
        Requests that this daemon sent to the replica since that report.
    slowness
        Time per token relative to the other replicas, 1 or more.
    """

    replica: str
    slots: int
    own_in_flight: int = 0
    reported: int = 0
    report_age_s: float = 0
    own_since_report: int = 0
    slowness: float = 1


class Router(Protocol):
    """Strategy that selects one of several replicas."""

    def choose(
        self,
        candidates: Sequence[Candidate],
        prefix_key: str,
        random: Random,
    ) -> Candidate:
        """Return the replica to use."""


@attrs.frozen
class AffinityRouter:
    """Prefix affinity by rendezvous hashing, with a bound on load.

    Of the first few replicas in the rendezvous order of the request's
    prefix, the first one whose estimated load is within a factor of the mean
    is selected. If there is none, it is the less loaded of two replicas
    drawn at random.

    Attributes
    ----------
    bound_factor
        Bound on the load of a preferred replica, relative to the mean.
    trust_s
        Age at which a load report no longer counts.
    affinity_depth
        How many replicas of the rendezvous order are considered.

    Notes
    -----
    Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
    loads", 2018; Mitzenmacher, "The power of two choices", 2001.
    """

    bound_factor: float = LOAD_BOUND_FACTOR
    trust_s: float = REPORT_TRUST_S
    affinity_depth: int = 2

    def choose(
        self,
        candidates: Sequence[Candidate],
        prefix_key: str,
        random: Random,
    ) -> Candidate:
        """Return the replica to use."""
        if prefix_key:
            preferred = self._preferred(candidates, prefix_key)
            if preferred is not None:
                return preferred
        drawn = random.sample(list(candidates), min(2, len(candidates)))
        return min(drawn, key=self.load)

    def load(self, candidate: Candidate) -> float:
        """Return the estimated load with the new request added.

        A load of 1 means that all slots are in use; the slowness of the
        replica raises it. Other daemons' requests come from the report and
        count less as it ages. This daemon's requests always count in full.
        """
        trust = max(0, 1 - candidate.report_age_s / self.trust_s)
        reported = candidate.reported + candidate.own_since_report
        others = max(0, reported - candidate.own_in_flight) * trust
        busy = candidate.own_in_flight + others + 1
        return busy * candidate.slowness / candidate.slots

    def _preferred(
        self,
        candidates: Sequence[Candidate],
        prefix_key: str,
    ) -> Candidate | None:
        by_name = {candidate.replica: candidate for candidate in candidates}
        loads = [self.load(candidate) for candidate in candidates]
        mean = sum(loads) / len(loads)
        bound = max(self.bound_factor * mean, 1 / candidates[0].slots)
        order = rendezvous_order(prefix_key, by_name)
        for name in order[: self.affinity_depth]:
            if self.load(by_name[name]) <= bound:
                return by_name[name]
        return None
