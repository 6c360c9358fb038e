"""Retry budgets, and retry-after times for refused callers."""

from collections import deque
from random import Random

import attrs

from yuccavalve.load.const import (
    RETRY_AFTER_JITTER_S,
    RETRY_AFTER_MIN_S,
    RETRY_RATIO,
    RETRY_RESERVE,
    RETRY_RESERVE_MAX,
)

__all__ = ('RetryBudget', 'WindowedRetryBudget', 'retry_after_s')


@attrs.define
class RetryBudget:
    """Balance that grows with first attempts and shrinks with retries.

    Attributes
    ----------
    ratio
        Retries added by each first attempt.
    reserve
        Initial balance.
    reserve_max
        Upper bound of the balance.
    """

    ratio: float = RETRY_RATIO
    reserve: float = RETRY_RESERVE
    reserve_max: float = RETRY_RESERVE_MAX
    _balance: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Set the balance to the reserve."""
        self._balance = self.reserve

    def deposit(self) -> None:
        """Deposit the fraction of a retry that a first attempt adds."""
        self._balance = min(self.reserve_max, self._balance + self.ratio)

    def withdraw(self) -> bool:
        """Withdraw one retry; return False if none is left."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


@attrs.define
class WindowedRetryBudget:
    """This daemon's share of a retry budget over a sliding window.

    The budget of all daemons is a ratio of their first attempts plus a
    fixed extra. Each daemon applies the ratio to its own first attempts;
    the extra is divided equally among the live daemons.

    Attributes
    ----------
    ratio
        Retries allowed per first attempt in the window.
    extra
        Further retries allowed in a window, for all daemons together.
    window_s
        Length of the sliding window.
    """

    ratio: float
    extra: float
    window_s: float
    _first_attempts_at_s: deque[float] = attrs.field(factory=deque)
    _retries_at_s: deque[float] = attrs.field(factory=deque)

    def deposit(self, now_s: float) -> None:
        """Record a first attempt."""
        self._first_attempts_at_s.append(now_s)
        self._expire(now_s)

    def remaining(self, now_s: float, daemon_count: int) -> float:
        """Return how many retries this daemon has left."""
        self._expire(now_s)
        earned = self.ratio * len(self._first_attempts_at_s)
        share = self.extra / max(1, daemon_count)
        return earned + share - len(self._retries_at_s)

    def withdraw(self, now_s: float, daemon_count: int) -> bool:
        """Withdraw one retry; return False if none is left."""
        if self.remaining(now_s, daemon_count) < 1:
            return False
        self._retries_at_s.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self.window_s
        for times_s in (self._first_attempts_at_s, self._retries_at_s):
            while times_s and times_s[0] < oldest_s:
                times_s.popleft()


def retry_after_s(random: Random, wait_s: float = 0) -> float:
    """Return a retry-after time with jitter.

    Parameters
    ----------
    random
        Source of the jitter.
    wait_s
        Predicted time until the request could be admitted.
    """
    spread_s = max(RETRY_AFTER_JITTER_S, wait_s)
    return max(RETRY_AFTER_MIN_S, wait_s) + random.random() * spread_s
