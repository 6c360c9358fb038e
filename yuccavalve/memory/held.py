"""Bound of the bytes of answers that a daemon holds for its callers."""

import math
from collections.abc import Callable
from typing import Final

import attrs

__all__ = ('ALWAYS_BYTES', 'HeldBytes')

# An answer of which less is held is read on beyond the bound, so that streams
# of tokens don't wait for slow callers of other answers.
ALWAYS_BYTES: Final = 16384


@attrs.define
class HeldBytes:
    """Bytes that are held for all callers, and answers that wait for room.

    Attributes
    ----------
    limit_bytes
        Sum at which reading from engines waits.
    held_bytes, peak_bytes
        The sum, and its largest value.
    waits
        Number of times that an answer has waited for room.
    """

    limit_bytes: float = math.inf
    held_bytes: int = 0
    peak_bytes: int = 0
    waits: int = 0
    _waiting: dict[Callable[[], None], None] = attrs.field(factory=dict)

    @property
    def is_full(self) -> bool:
        """Return whether answers have to wait."""
        return self.held_bytes >= self.limit_bytes

    def take(self, size_bytes: int) -> None:
        """Add bytes that were received."""
        self.held_bytes += size_bytes
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def release(self, size_bytes: int) -> None:
        """Remove bytes that callers have taken, and let answers go on."""
        self.held_bytes -= size_bytes
        while self._waiting and not self.is_full:
            resume = next(iter(self._waiting))
            self._waiting.pop(resume)
            resume()

    def wait(self, resume: Callable[[], None]) -> None:
        """Call a function once, in turn, when there is room."""
        self.waits += resume not in self._waiting
        self._waiting[resume] = None

    def forget(self, resume: Callable[[], None]) -> None:
        """Drop an answer that no longer waits."""
        self._waiting.pop(resume, None)
