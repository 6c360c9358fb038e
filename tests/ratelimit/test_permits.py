"""The sum over daemons of the requests to an engine that names a limit."""

import unittest
from random import Random

from tests.support.arrivals import allowed_in_window, most_in_window
from tests.support.limit_model import ENGINE, LimitModel
from yuccavalve.ratelimit import (
    LimitTable,
    PermitDemand,
    PermitGrant,
    PermitGrantor,
    PermitGrants,
    RateLimiter,
)
from yuccavalve.ratelimit.const import (
    GRANTED_FRACTION,
    PERMIT_LIFETIME_S,
    RESERVED_FRACTION,
)

_SETTLE_S = 3.0
_RUN_S = 20.0
# Part of a limit that is used while there are enough requests for it.
_USED_FRACTION = 0.5


class SumTest(unittest.TestCase):
    """Daemons that come, go, freeze and are cut off."""

    def _settled(
        self, count: int, requests_per_s: float, per_s: float
    ) -> LimitModel:
        """Return daemons that have known a limit for some seconds."""
        model = LimitModel.of(count, requests_per_s, per_s)
        model.run(_SETTLE_S)
        model.arrivals_s.clear()
        return model

    def _check(self, model: LimitModel, per_s: float) -> None:
        self.assertLessEqual(model.most_in_window(), allowed_in_window(per_s))

    def _check_used(self, arrived: list[float], per_s: float) -> None:
        expected = per_s * _RUN_S * _USED_FRACTION
        self.assertGreaterEqual(len(arrived), expected)

    def test_limit_holds_and_is_used_before_few_and_hundreds_of_daemons(
        self,
    ) -> None:
        for count, requests_per_s, per_s in (
            (1, 10, 1),
            (8, 30, 1.6),
            (8, 60, 30),
            (200, 60, 1),
            (200, 300, 40),
            (380, 100, 0.3),
        ):
            with self.subTest(daemons=count, per_s=per_s):
                model = self._settled(count, requests_per_s, per_s)
                self._check_used(model.run(_RUN_S), per_s)
                self._check(model, per_s)

    def test_limit_holds_when_planners_change(self) -> None:
        model = self._settled(8, 60, 3)
        for planner in model.daemons[1:]:
            model.set_planner(None)
            model.run(0.5)
            model.set_planner(planner)
            model.run(2)
        self._check(model, 3)

    def test_limit_holds_without_any_planner_and_is_used(self) -> None:
        model = self._settled(8, 60, 4)
        model.set_planner(None)
        arrived = model.run(_RUN_S)
        self._check(model, 4)
        self.assertGreater(len(arrived), 0)

    def test_limit_holds_when_half_of_the_daemons_are_cut_off(self) -> None:
        model = self._settled(8, 60, 3)
        for daemon in model.daemons[4:]:
            daemon.cut = True
        self._check_used(model.run(_RUN_S), 3)
        self._check(model, 3)

    def test_limit_holds_when_daemons_freeze_and_wake_together(self) -> None:
        model = self._settled(30, 60, 2)
        for _ in range(4):
            for daemon in model.daemons[1:20]:
                daemon.frozen = True
            model.run(2)
            for daemon in model.daemons:
                daemon.frozen = False
            model.run(2)
        self._check(model, 2)

    def test_limit_holds_when_the_planner_is_frozen(self) -> None:
        model = self._settled(8, 60, 3)
        model.daemons[0].frozen = True
        model.run(3)
        model.set_planner(model.daemons[1])
        model.run(2)
        model.daemons[0].frozen = False
        model.run(4)
        self._check(model, 3)

    def test_daemons_that_start_learn_limits_from_others(self) -> None:
        model = self._settled(20, 20, 1)
        for daemon in model.daemons[10:]:
            restarted = model.restart(daemon)
            model.run(1)
            self.assertEqual(restarted.limiter.table.per_s(ENGINE), 1)
        self._check(model, 1)

    def test_lower_limit_holds_at_all_daemons(self) -> None:
        model = self._settled(8, 60, 20)
        model.per_s = 1
        model.run(_SETTLE_S)
        model.arrivals_s.clear()
        self._check_used(model.run(_RUN_S), 1)
        self._check(model, 1)

    def test_higher_limit_is_used(self) -> None:
        model = self._settled(8, 60, 1)
        model.per_s = 20
        model.run(_SETTLE_S)
        self._check_used(model.run(_RUN_S), 20)

    def test_engine_whose_limit_has_ended_gets_all_requests(self) -> None:
        model = self._settled(8, 60, 1)
        model.per_s = None
        model.run(_SETTLE_S)
        arrived = model.run(_RUN_S)
        self.assertGreater(len(arrived), 60 * _RUN_S * 0.9)

    def test_engine_with_a_limit_of_zero_is_asked_now_and_then(self) -> None:
        model = self._settled(8, 60, 0)
        model.run(70)
        self.assertLessEqual(most_in_window(model.arrivals_s), 1)
        model.per_s = None
        model.run(70)
        self.assertIsNone(model.daemons[0].limiter.table.per_s(ENGINE))


class GrantorTest(unittest.TestCase):
    """Token buckets of the planner."""

    def setUp(self) -> None:  # noqa: N802
        """Create a planner that knows a limit of 4 a second."""
        self.table = LimitTable()
        self.table.record_named(ENGINE, 4, 100)
        self.term = 1
        self.grantor = PermitGrantor(self.table, lambda: self.term)

    def _grant(self, now_s: float, wanted: int = 64) -> int:
        granted = self.grantor.grant(1, [PermitDemand(ENGINE, wanted)], now_s)
        return sum(each.permits for each in granted.grants)

    def test_shares_of_planner_and_reserve_are_one_limit(self) -> None:
        self.assertLessEqual(GRANTED_FRACTION + RESERVED_FRACTION, 1)

    def test_bucket_begins_empty(self) -> None:
        self.assertEqual(self._grant(100), 0)
        self.assertEqual(self._grant(100.4), 1)

    def test_new_term_grants_nothing_on_top(self) -> None:
        self._grant(100)
        self.term = 2
        self.assertEqual(self._grant(110), 0)

    def test_daemon_without_the_lease_grants_nothing(self) -> None:
        self._grant(100)
        self.term = None
        demands = [PermitDemand(ENGINE, 1)]
        self.assertIsNone(self.grantor.grant(1, demands, 110))

    def test_checks_are_taken_before_requests(self) -> None:
        self._grant(100)
        self.grantor.spend(ENGINE, 3, 101)
        self.assertEqual(self._grant(101.3), 0)
        self.assertTrue(self.grantor.allows_check(ENGINE, 101.3))
        self.grantor.spend(ENGINE, 3, 101.3)
        self.assertFalse(self.grantor.allows_check(ENGINE, 101.3))
        self.assertTrue(self.grantor.allows_check(ENGINE, 103))

    def test_debt_of_checks_ends(self) -> None:
        self._grant(100)
        self.grantor.spend(ENGINE, 10000, 101)
        self.assertGreater(self._grant(106), 0)

    def test_many_daemons_ask_less_often(self) -> None:
        demands = [PermitDemand(ENGINE, 1)]
        for member in range(380):
            granted = self.grantor.grant(member, demands, 100)
        self.assertGreaterEqual(granted.retry_s, 1.9)


class LimiterTest(unittest.TestCase):
    """Permits of one daemon."""

    def setUp(self) -> None:  # noqa: N802
        """Create a daemon that knows a limit and holds a permit."""
        table = LimitTable()
        table.record_named(ENGINE, 2, 100)
        self.limiter = RateLimiter(Random(1), table, lambda: 4)
        self.limiter.record_grants(
            PermitGrants((PermitGrant(ENGINE, 1, PERMIT_LIFETIME_S),), 0.25),
            100,
        )

    def test_permit_allows_one_request(self) -> None:
        self.assertTrue(self.limiter.allows(ENGINE, 100.1))
        self.limiter.take(ENGINE, 100.1)
        self.assertFalse(self.limiter.allows(ENGINE, 100.1))

    def test_permit_that_ran_out_is_not_used(self) -> None:
        self.assertFalse(self.limiter.allows(ENGINE, 100 + PERMIT_LIFETIME_S))

    def test_request_delayed_beyond_its_permit_is_not_sent(self) -> None:
        permit = self.limiter.take(ENGINE, 100.5)
        self.assertTrue(self.limiter.may_send(ENGINE, permit, 100.9))
        self.assertFalse(self.limiter.may_send(ENGINE, permit, 102))

    def test_request_selected_before_the_limit_was_known_is_not_sent(
        self,
    ) -> None:
        self.assertFalse(self.limiter.may_send(ENGINE, None, 100.1))

    def test_reserve_is_used_only_without_a_planner(self) -> None:
        self.limiter.take(ENGINE, 100.1)
        for at_s in range(101, 200):
            self.assertFalse(self.limiter.allows(ENGINE, at_s))
        self.limiter.record_unanswered([], 200)
        self.assertFalse(self.limiter.allows(ENGINE, 201))
        self.assertFalse(self.limiter.allows(ENGINE, 202))
        self.assertTrue(self.limiter.allows(ENGINE, 212))

    def test_daemon_that_knows_no_others_has_no_reserve(self) -> None:
        limiter = RateLimiter(Random(1), self.limiter.table)
        limiter.record_unanswered([], 100)
        for at_s in range(100, 200):
            self.assertFalse(limiter.allows(ENGINE, at_s))

    def test_calls_without_a_permit_are_reported_once(self) -> None:
        self.limiter.record_spent(ENGINE)
        demands = self.limiter.take_demands(100.1)
        self.assertEqual(demands, [PermitDemand(ENGINE, 0, 1)])
        self.limiter.record_unanswered(demands, 100.2)
        self.assertEqual(self.limiter.take_demands(100.3), demands)
        self.assertEqual(self.limiter.take_demands(100.4), [])
