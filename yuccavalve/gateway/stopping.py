"""Planned stop of a daemon: what it still passes on, and until when."""

import math

import attrs

__all__ = ('GatewayStop',)


@attrs.define
class GatewayStop:
    """Progress of a planned stop.

    Only its deadline says by when a request has ended for sure, however long
    engines work. One whose deadline lies after the bound is refused.

    Attributes
    ----------
    stopping
        Whether this daemon reports itself as not ready and closes
        connections after each answer, so that callers use other daemons.
    answer_until_s
        Monotonic time at which requests in flight are cancelled.
    """

    stopping: bool = False
    answer_until_s: float = math.inf

    def begin(self, answer_until_s: float) -> None:
        """Begin to stop."""
        self.stopping = True
        self.answer_until_s = answer_until_s

    def may_cut(self, deadline_at_s: float) -> bool:
        """Return whether a request may still run when it is cancelled."""
        return deadline_at_s > self.answer_until_s
