"""Retry budgets by service."""

from collections.abc import Callable

import attrs

from yuccavalve.gateway.const import BUDGET_SAFETY_FACTOR
from yuccavalve.load import WindowedRetryBudget

__all__ = ('BudgetBook', 'BudgetTerms')


@attrs.frozen
class BudgetTerms:
    """The retry budget that all daemons share.

    Attributes
    ----------
    ratio
        Retries for each request.
    extra
        Retries beyond these, over all daemons, in a window.
    window_s
        Length of the window.
    """

    ratio: float = 0.2
    extra: float = 10
    window_s: float = 10


@attrs.define
class BudgetBook:
    """One budget a service; daemons alive divide the fixed part."""

    terms: BudgetTerms
    daemon_count: Callable[[], int]
    _budgets: dict[str, WindowedRetryBudget] = attrs.field(factory=dict)

    def follow(self, terms: BudgetTerms) -> None:
        """Go by changed terms from now on; what was spent still counts."""
        self.terms = terms
        for budget in self._budgets.values():
            budget.ratio = terms.ratio * BUDGET_SAFETY_FACTOR
            budget.extra = terms.extra * BUDGET_SAFETY_FACTOR
            budget.window_s = terms.window_s

    def earn(self, service: str, now_s: float) -> None:
        """Count a request for a service."""
        self._budget(service).earn(now_s)

    def spend(self, service: str, now_s: float) -> bool:
        """Take one retry; return False when none is left."""
        return self._budget(service).spend(now_s, self.daemon_count())

    def left(self, service: str, now_s: float) -> float:
        """Return how many retries are left."""
        return self._budget(service).left(now_s, self.daemon_count())

    def _budget(self, service: str) -> WindowedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = WindowedRetryBudget(
                self.terms.ratio * BUDGET_SAFETY_FACTOR,
                self.terms.extra * BUDGET_SAFETY_FACTOR,
                self.terms.window_s,
            )
            self._budgets[service] = budget
        return budget
