"""Divide the engines' slots among daemons.

Every daemon knows what each workspace demands through each daemon, as last
heard. A workspace's due is its max-min fair part of the slots (Bertsekas and
Gallager, 1992, section 6.5.2) by weight, however many daemons it comes
through, and a daemon's share is the part of the dues that come through it.
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
    """Return the max-min fair slots of each workspace.

    Parameters
    ----------
    total_slots
        What there is to divide.
    demands
        Requests in flight and queued of each workspace.
    weights
        Weights of workspaces; a missing one counts as 1.
    """
    fair: dict[str, float] = {}
    slots_left = total_slots
    names = sorted(
        (name for name in demands if demands[name] > 0),
        key=lambda name: demands[name] / weights.get(name, _DEFAULT_WEIGHT),
    )
    weight_left = sum(weights.get(name, _DEFAULT_WEIGHT) for name in names)
    for name in names:
        weight = weights.get(name, _DEFAULT_WEIGHT)
        fair[name] = min(demands[name], slots_left * weight / weight_left)
        slots_left -= fair[name]
        weight_left -= weight
    return fair


@attrs.frozen
class DemandShares:
    """The rule in use.

    What nobody demands is divided equally, so that a daemon that has just
    joined or is cut off has something. The sum over all daemons is
    overcommitted; the engines' refusals correct it.
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
            Slots of all replicas of the group under grants.
        own
            Requests of each workspace in flight and queued here.
        others
            The same of each other live daemon, as last heard.
        """
        totals = Counter(own)
        for other in others:
            totals.update(other)
        return self.share_of(total_slots, own, totals, len(others) + 1)

    def share_of(
        self,
        total_slots: int,
        own: Mapping[str, int],
        totals: Mapping[str, int],
        live_members: int,
    ) -> int:
        """Return the same from totals over all daemons."""
        fair = fair_shares(total_slots, totals, self.weights)
        own_part = sum(
            fair[name] * own[name] / totals[name]
            for name in own
            if own[name] > 0
        )
        unclaimed = (total_slots - sum(fair.values())) / max(1, live_members)
        return max(1, math.ceil((own_part + unclaimed) * OVERCOMMIT_FACTOR))
