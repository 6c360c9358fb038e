"""Judge how many requests a backend server with a limit may get."""

from collections.abc import Iterable

__all__ = ('WINDOW_S', 'allowed_in_window', 'most_in_window')

# The users' bound: in any window half more than the limit allows, and five.
WINDOW_S = 4.0
_TOLERANCE = 1.5
_EXTRA = 5


def allowed_in_window(limit_per_s: float) -> float:
    """Return how many arrivals a limit allows in a window."""
    return _TOLERANCE * limit_per_s * WINDOW_S + _EXTRA


def most_in_window(times_s: Iterable[float]) -> int:
    """Return the largest number of arrivals in a sliding window."""
    ordered = sorted(times_s)
    most = 0
    first = 0
    for position, at_s in enumerate(ordered):
        while at_s - ordered[first] >= WINDOW_S:
            first += 1
        most = max(most, position - first + 1)
    return most
