"""Demand by group and workspace, and its encoding for other daemons."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

import attrs

from yuccavalve.load.const import DEMAND_STEPS_PER_DOUBLING, MAX_DEMAND_ENTRIES

__all__ = ('DemandKey', 'Demands', 'decode_demands', 'encode_demands')

_BYTE_MAX = 255


@attrs.frozen(order=True)
class DemandKey:
    """A workspace and the group that its requests are for."""

    group: str
    workspace: str


def encode_demands(
    demands: Mapping[DemandKey, int],
    order: Sequence[DemandKey],
) -> bytes:
    """Encode the largest demands in two bytes each.

    Parameters
    ----------
    demands
        Number of requests in flight and queued.
    order
        Keys in an order that both sides know; only the first 256 are used.

    Returns
    -------
    bytes
        For each demand, its key's position in the order and the binary
        logarithm of the demand plus one, in sixteenths, rounded up.
    """
    positions = {
        key: position for position, key in enumerate(order[: _BYTE_MAX + 1])
    }
    largest = sorted(
        (key for key in demands if demands[key] > 0 and key in positions),
        key=lambda key: (-demands[key], key),
    )
    encoded = bytearray()
    for key in largest[:MAX_DEMAND_ENTRIES]:
        step = math.ceil(
            DEMAND_STEPS_PER_DOUBLING * math.log2(demands[key] + 1),
        )
        encoded.extend((positions[key], min(_BYTE_MAX, step)))
    return bytes(encoded)


def decode_demands(
    encoded: bytes,
    order: Sequence[DemandKey],
) -> dict[DemandKey, int]:
    """Decode the result of ``encode_demands``, accurate to a twentieth."""
    pairs = zip(encoded[::2], encoded[1::2], strict=False)
    return {
        order[position]: max(
            1,
            round(2 ** (step / DEMAND_STEPS_PER_DOUBLING) - 1),
        )
        for position, step in pairs
        if position < len(order)
    }


@attrs.define
class Demands:
    """Other daemons' requests in flight and queued, as last reported."""

    _by_member: dict[str, dict[str, Counter[str]]] = attrs.field(factory=dict)

    def record(self, member: str, demands: Mapping[DemandKey, int]) -> None:
        """Replace a member's demands by newly reported ones."""
        groups: dict[str, Counter[str]] = defaultdict(Counter)
        for key, count in demands.items():
            groups[key.group][key.workspace] = count
        self._by_member[member] = dict(groups)

    def totals(self, group: str, members: Iterable[str]) -> Counter[str]:
        """Return the demand for a group by workspace, over given members."""
        totals: Counter[str] = Counter()
        for member in members:
            reported = self._by_member.get(member)
            if reported is not None and group in reported:
                totals.update(reported[group])
        return totals
