"""The sum over daemons of the requests to a cold engine in any second."""

import unittest

from tests.support.warmup_model import BOUND_PER_S, WarmupModel
from yuccavalve.warmup import PermitWindow, WarmupLimit

_RUN_S = 6.0


class SumTest(unittest.TestCase):
    """Daemons before an engine that is cold for longer than usual."""

    def _settled(self, count: int) -> WarmupModel:
        """Return daemons of which each has known of the engine for 2 s."""
        model = WarmupModel.of(count, 60, waits_s=0.5)
        model.run(1)
        model.turn_cold(30)
        model.run(2)
        model.taken_s.clear()
        self.since_s = model.clock.now_s()
        return model

    def _check(self, model: WarmupModel, used: float = 0) -> None:
        self.assertLessEqual(model.most(self.since_s), BOUND_PER_S)
        self.assertGreaterEqual(model.used(self.since_s), used)

    def test_bound_holds_and_is_used(self) -> None:
        for count in (7, 69):
            with self.subTest(daemons=count):
                model = self._settled(count)
                model.run(_RUN_S)
                self._check(model, 0.5)

    def test_engine_that_becomes_cold_under_load(self) -> None:
        model = WarmupModel.of(69, 18, waits_s=0.5)
        model.run(2)
        self.since_s = model.clock.now_s() - 1
        model.turn_cold(3, model.daemons[5])
        model.run(3)
        self._check(model, 0.4)

    def test_engine_that_has_just_started_is_used_at_once(self) -> None:
        model = WarmupModel.of(7, 60, waits_s=0.5)
        model.run(3)
        model.taken_s.clear()
        self.since_s = model.clock.now_s()
        model.turn_cold(3, start=True)
        model.run(0.9)
        self._check(model, 0.5)

    def test_new_planner_adds_nothing_to_permits_of_the_last_one(self) -> None:
        model = self._settled(7)
        for planner in model.daemons[1:4]:
            model.set_planner(planner)
            model.run(2.5)
        self._check(model, 0.1)

    def test_reserve_is_used_without_a_planner(self) -> None:
        model = self._settled(7)
        model.set_planner(None)
        model.run(20)
        self._check(model, 0.01)

    def test_daemons_that_are_cut_off_use_the_reserve_only(self) -> None:
        model = self._settled(14)
        for daemon in model.daemons[7:]:
            daemon.cut = True
        model.run(_RUN_S)
        self._check(model, 0.4)

    def test_paused_daemons_do_not_use_old_permits(self) -> None:
        model = self._settled(14)
        for _ in range(3):
            for daemon in model.daemons[1:]:
                daemon.frozen = True
            model.run(2)
            for daemon in model.daemons:
                daemon.frozen = False
            model.run(1)
        self._check(model)

    def test_daemon_that_starts_learns_of_the_engine(self) -> None:
        model = self._settled(7)
        started = model.add(7)
        model.run(0.5)
        self.assertTrue(started.limiter.is_cold(0, model.clock.now_s()))

    def test_end_needs_no_message(self) -> None:
        model = WarmupModel.of(7, 60)
        model.turn_cold(1)
        model.run(1.1)
        model.refused = 0
        model.run(1)
        self.assertEqual(model.refused, 0)


class WindowTest(unittest.TestCase):
    """Permits that may be used within the same second."""

    def test_permits_count_until_a_second_after_they_ran_out(self) -> None:
        limit = WarmupLimit(1, 10, 200, 100, is_start=True)
        window = PermitWindow.begin(limit, 0)
        self.assertEqual(window.take(limit, 20, 0.3, 100), 8)
        self.assertEqual(window.take(limit, 1, 0.3, 101.2), 0)
        self.assertGreater(window.wait_s(limit, 101.2), 0.1)
        self.assertEqual(window.take(limit, 1, 0.3, 101.4), 1)
