"""Whether a call may still be sent once its connection is made."""

from collections.abc import Callable

__all__ = ('MaySend', 'always')

MaySend = Callable[[], bool]


def always() -> bool:
    """Return that a call may be sent."""
    return True
