"""Data classes of waiting requests."""

from typing import Any

import attrs

from yuccavalve.admission.const import (
    LOWEST_RANK,
    PRIORITY_STEP,
    RESUMED_RANK,
)

__all__ = ('PoolKey', 'WaitingRequest', 'priority_rank')

# Service and model whose engines a request needs.
PoolKey = tuple[str, str]


@attrs.define(eq=False)
class WaitingRequest:
    """A request in the admission queue.

    Attributes
    ----------
    rank
        Urgency; the lowest is served first.
    cost
        Estimated work.
    size_bytes
        Size of the body that is kept while the request waits.
    entered_at_s
        Monotonic time at which it joined the queue.
    first_arrived_at_s
        The same of the first attempt of its caller.
    give_up_at_s
        Monotonic time after which an engine is of no use to the caller.
    group
        Requests of one group are accepted or refused by engines alike;
        None for a request that is checked by itself.
    cause
        Why no engine takes it.
    sequence
        Set by the queue; grows with each request.
    """

    pool: PoolKey
    workspace: str
    request_class: str
    rank: int
    cost: float
    size_bytes: int
    entered_at_s: float
    first_arrived_at_s: float
    give_up_at_s: float
    group: tuple[float, bool] | None = None
    weight: float = 1
    cause: Exception | None = None
    context: Any = None
    sequence: int = 0

    @property
    def order(self) -> tuple[float, int]:
        """Return the order within a workspace and rank."""
        return (self.first_arrived_at_s, self.sequence)


def priority_rank(
    workspace_priority: int | None,
    class_priority: int,
    *,
    resumed: bool,
) -> int:
    """Return the rank of a request, as in the queues of engines."""
    if resumed:
        return RESUMED_RANK
    workspace = 1 if workspace_priority is None else workspace_priority
    return min(LOWEST_RANK, workspace * PRIORITY_STEP + class_priority)
