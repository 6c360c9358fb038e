"""Loads that the admission queue answers, against refusing at once."""

import unittest
from collections.abc import Callable
from random import Random

from tests.support.admission_model import AdmissionModel, Call
from yuccavalve.results import ResultCode

_HELD_S = 2.0


def _times(per_s: float, from_s: float, to_s: float) -> list[float]:
    random = Random(2)
    times_s = []
    at_s = from_s
    while (at_s := at_s + random.expovariate(per_s)) < to_s:
        times_s.append(at_s)
    return times_s


def _useful(calls: list[Call]) -> float:
    """Return the part of calls that began in time, at the first attempt."""
    useful = [
        each
        for each in calls
        if each.began_s is not None and not each.codes and not each.late
    ]
    return len(useful) / len(calls)


def _both(play: Callable[[bool], list[Call]]) -> tuple[float, float]:
    return _useful(play(False)), _useful(play(True))


class AdmissionDecisionTest(unittest.TestCase):
    """Replicas with 13 slots; one daemon unless a test says otherwise."""

    def test_callers_wait_for_a_repaired_replica(self) -> None:
        for repair_s in (0.5, 1, 1.5, 2):

            def play(queue: bool) -> list[Call]:
                model = AdmissionModel(queue=queue)
                calls = [Call(at_s) for at_s in _times(20, 0, 6)]
                model.after(3, lambda: model.lose('n0'))
                model.after(3 + repair_s, lambda: model.open('n1'))
                model.play(calls, 30)
                return [each for each in calls if 0 <= each.at_s - 3 < repair_s]

            with self.subTest(repair_s=repair_s):
                refusing, waiting = _both(play)
                self.assertEqual(refusing, 0)
                self.assertGreater(waiting, 0.75)

    def test_burst_at_sixty_daemons(self) -> None:
        def play(queue: bool) -> list[Call]:
            model = AdmissionModel(
                queue=queue, daemons=60, heads=8, service_s=1.5
            )
            times_s = _times(62, 0, 3) + _times(105, 3, 7) + _times(62, 7, 9)
            calls = [Call(at_s) for at_s in times_s]
            model.play(calls, 30)
            return [each for each in calls if 3 <= each.at_s < 8]

        # All must be answered in time as often, and refused a quarter as
        # often. Other daemons' loads are up to 0.3 s old.
        refusing, waiting = _both(play)
        self.assertGreaterEqual(waiting, refusing)
        refused = [
            sum(bool(each.codes) for each in play(queue))
            for queue in (False, True)
        ]
        self.assertLess(refused[1], refused[0] / 4)

    def test_flooding_workspace_does_not_keep_others_out(self) -> None:
        def play(queue: bool) -> list[Call]:
            model = AdmissionModel(queue=queue)
            calls = [Call(at_s, 'flood') for at_s in _times(60, 0, 6)]
            calm = [Call(at_s, 'calm') for at_s in _times(5, 2, 6)]
            model.play(calls + calm, 30)
            return calm

        refusing, waiting = _both(play)
        self.assertGreater(waiting, refusing + 0.2)
        self.assertGreater(waiting, 0.95)

    def test_retry_storm_takes_nothing_from_patient_callers(self) -> None:
        attempts = {}

        def play(queue: bool) -> list[Call]:
            model = AdmissionModel(queue=queue)
            calls = [
                Call(at_s, f'w{index % 7}', retries=6, impatient=index % 10 < 3)
                for index, at_s in enumerate(_times(40, 0, 6))
            ]
            model.play(calls, 30)
            attempts[queue] = sum(each.attempts for each in calls)
            return [each for each in calls if not each.impatient]

        refusing, waiting = _both(play)
        self.assertGreater(waiting, refusing + 0.1)
        self.assertLess(attempts[True], attempts[False])

    def test_nothing_is_held_once_nothing_is_expected(self) -> None:
        model = AdmissionModel(queue=True)
        model.after(1, lambda: model.lose('n0'))
        calls = [Call(at_s) for at_s in _times(10, 0, 10)]
        model.play(calls, 30)
        held_s = max(max(each.decided_s, default=0) for each in calls)
        self.assertLess(held_s, _HELD_S)
        for call in calls:
            if call.at_s > 5:
                self.assertEqual(call.decided_s, [0])
                self.assertEqual(call.codes, [ResultCode.NO_REPLICA])
                self.assertGreater(call.retry_after_s[0], 0)

    def test_large_prompts_and_the_least_urgent_are_not_starved(self) -> None:
        model = AdmissionModel(queue=True)
        calls = [
            Call(
                at_s,
                f'w{index % 5}',
                priority=index % 3,
                tokens=1000 if index % 10 == 0 else 100,
            )
            for index, at_s in enumerate(_times(40, 0, 8))
        ]
        model.play(calls, 30)
        large = [each for each in calls if each.tokens > 100]
        small = [each for each in calls if each.tokens == 100]
        self.assertGreater(_useful(large), _useful(small) / 2)
        urgent, _, least = (
            [each for each in calls if each.priority == priority]
            for priority in (0, 1, 2)
        )
        self.assertGreater(_useful(urgent), 0.95)
        self.assertGreater(_useful(least), 0.05)

    def test_caller_that_leaves_reaches_no_engine(self) -> None:
        model = AdmissionModel(queue=True)
        model.after(1, lambda: model.lose('n0'))
        model.after(2, lambda: model.open('n1'))
        calls = [Call(0.5), Call(1.1), Call(1.2)]
        calls[1].left = True
        model.play(calls, 30)
        self.assertIsNone(calls[1].began_s)
        self.assertAlmostEqual(calls[2].began_s, 0.8, delta=0.05)

    def test_stopping_daemon_refuses_what_waits(self) -> None:
        model = AdmissionModel(queue=True)
        model.after(1, lambda: model.lose('n0'))
        daemon = model.daemons[0]
        model.after(1.5, lambda: daemon.begin_stop(answer_until_s=5))
        calls = [Call(0.5), Call(1.2), Call(1.6)]
        model.play(calls, 30)
        for call in calls[1:]:
            self.assertEqual(call.codes, [ResultCode.MEMBER_LEAVING])
        self.assertAlmostEqual(calls[1].decided_s[0], 0.3)
