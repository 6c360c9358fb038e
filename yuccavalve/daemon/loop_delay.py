"""Tell whether this daemon itself was slow when something seemed to time out.

A daemon whose event loop is delayed reads answers late, and would take its own
delay for the failure of all others.
"""

import attrs

from yuccavalve.fleet.const import LOOP_DELAY_S, STALL_MAX_DELAY_S

__all__ = ('LoopDelay',)

_NEVER_S = float('-inf')


@attrs.define
class LoopDelay:
    """When the event loop was last delayed.

    Attributes
    ----------
    delayed_at_s
        Monotonic time at which a delay was last seen.
    blocked_at_s
        The same of a delay that is as long as timeouts of connections.
    """

    delayed_at_s: float = _NEVER_S
    blocked_at_s: float = _NEVER_S

    def record(self, delay_s: float, now_s: float) -> None:
        """Record how late a timer was."""
        if delay_s >= LOOP_DELAY_S:
            self.delayed_at_s = now_s
        if delay_s >= STALL_MAX_DELAY_S:
            self.blocked_at_s = now_s

    def was_delayed_since(self, at_s: float) -> bool:
        """Return whether the loop was delayed after a monotonic time."""
        return self.delayed_at_s >= at_s
