"""Divide the engines' slots among daemons.

Every daemon knows the last reported demand of each workspace through each
daemon. A workspace's fair share is its weighted max-min share of the slots
(Bertsekas and Gallager, 1992, section 6.5.2), regardless of how many daemons
its requests come through. A daemon gets the fraction of each fair share that
equals its fraction of the workspace's demand.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence

import attrs

from yuccavalve.load.const import OVERCOMMIT_FACTOR

__all__ = ('DemandShares', 'fair_shares')

_DEFAULT_WEIGHT = 1.0


def fair_shares(
    total_slots: float,
    demands: Mapping[str, int],
    weights: Mapping[str, float],
) -> dict[str, float]:
    """Return the max-min fair share of each workspace, in slots.

    Parameters
    ----------
    total_slots
        Number of slots to divide.
    demands
        Number of requests in flight and queued, by workspace.
    weights
        Weights by workspace; 1 for a workspace that is missing.
    """
    fair: dict[str, float] = {}
    remaining_slots = total_slots
    names = sorted(
        (name for name in demands if demands[name] > 0),
        key=lambda name: demands[name] / weights.get(name, _DEFAULT_WEIGHT),
    )
    remaining_weight = sum(weights.get(name, _DEFAULT_WEIGHT) for name in names)
    for name in names:
        weight = weights.get(name, _DEFAULT_WEIGHT)
        fair[name] = min(
            demands[name], remaining_slots * weight / remaining_weight
        )
        remaining_slots -= fair[name]
        remaining_weight -= weight
    return fair


@attrs.frozen
class DemandShares:
    """Computes a daemon's slots from the demands of all daemons.

    Slots without demand are divided equally, so that a daemon that has just
    joined or is cut off from the others gets some. The sum over all daemons
    is overcommitted; engines refuse the excess requests.
    """

    weights: Mapping[str, float]

    def share(
        self,
        total_slots: int,
        own: Mapping[str, int],
        others: Sequence[Mapping[str, int]],
    ) -> int:
        """Return how many requests this daemon may have in flight.

        Parameters
        ----------
        total_slots
            Slots of all serving replicas of the group.
        own
            This daemon's requests in flight and queued, by workspace.
        others
            The same for each other live daemon, as last reported.
        """
        totals = Counter(own)
        for other in others:
            totals.update(other)
        return self.share_from_totals(total_slots, own, totals, len(others) + 1)

    def share_from_totals(
        self,
        total_slots: int,
        own: Mapping[str, int],
        totals: Mapping[str, int],
        live_members: int,
    ) -> int:
        """Return the same as ``share``, given totals over all daemons.

        Parameters
        ----------
        total_slots
            Slots of all serving replicas of the group.
        own
            This daemon's requests in flight and queued, by workspace.
        totals
            The sums over all live daemons, this one included.
        live_members
            Number of live daemons, this one included.
        """
        fair = fair_shares(total_slots, totals, self.weights)
        own_share = sum(
            fair[name] * own[name] / totals[name]
            for name in own
            if own[name] > 0
        )
        unclaimed = (total_slots - sum(fair.values())) / max(1, live_members)
        return max(1, math.ceil((own_share + unclaimed) * OVERCOMMIT_FACTOR))
