"""Retry budgets of services."""

from collections.abc import Callable

import attrs

from yuccavalve.gateway.const import BUDGET_SAFETY_FACTOR
from yuccavalve.load import WindowedRetryBudget

__all__ = ('ServiceRetryBudgets', 'RetryBudgetSettings')


@attrs.frozen
class RetryBudgetSettings:
    """Settings of the retry budget that all daemons share.

    Attributes
    ----------
    ratio
        Retries allowed per request.
    extra
        Further retries allowed in a window, for all daemons together.
    window_s
        Length of the sliding window.
    """

    ratio: float = 0.2
    extra: float = 10
    window_s: float = 10


@attrs.define
class ServiceRetryBudgets:
    """Retry budgets by service; live daemons divide the fixed extra.

    Attributes
    ----------
    daemon_count
        Returns the number of live daemons, including this one.
    """

    settings: RetryBudgetSettings
    daemon_count: Callable[[], int]
    _budgets: dict[str, WindowedRetryBudget] = attrs.field(factory=dict)

    def update_settings(self, settings: RetryBudgetSettings) -> None:
        """Apply changed settings; retries already spent still count."""
        self.settings = settings
        for budget in self._budgets.values():
            budget.ratio = settings.ratio * BUDGET_SAFETY_FACTOR
            budget.extra = settings.extra * BUDGET_SAFETY_FACTOR
            budget.window_s = settings.window_s

    def deposit(self, service: str, now_s: float) -> None:
        """Record a first attempt at a service."""
        self._budget(service).deposit(now_s)

    def withdraw(self, service: str, now_s: float) -> bool:
        """Withdraw one retry; return False if none is left."""
        return self._budget(service).withdraw(now_s, self.daemon_count())

    def remaining(self, service: str, now_s: float) -> float:
        """Return how many retries a service has left."""
        return self._budget(service).remaining(now_s, self.daemon_count())

    def _budget(self, service: str) -> WindowedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = WindowedRetryBudget(
                self.settings.ratio * BUDGET_SAFETY_FACTOR,
                self.settings.extra * BUDGET_SAFETY_FACTOR,
                self.settings.window_s,
            )
            self._budgets[service] = budget
        return budget
