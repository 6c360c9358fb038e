"""Bounds on relayed requests."""

import attrs

from yuccavalve.relay.const import MAX_RELAYED, MAX_RELAYED_BYTES

__all__ = ('RelayBounds',)


@attrs.define
class RelayBounds:
    """Relayed requests in progress and the bytes of their bodies."""

    max_count: int = MAX_RELAYED
    max_bytes: int = MAX_RELAYED_BYTES
    count: int = 0
    size_bytes: int = 0
    refused_total: int = 0

    def enter(self, size_bytes: int) -> bool:
        """Count a request; return False if there is no room for it."""
        is_full = (
            self.count >= self.max_count
            or self.size_bytes + size_bytes > self.max_bytes
        )
        if is_full:
            self.refused_total += 1
            return False
        self.count += 1
        self.size_bytes += size_bytes
        return True

    def leave(self, size_bytes: int) -> None:
        """Stop counting a request that was counted."""
        self.count -= 1
        self.size_bytes -= size_bytes
