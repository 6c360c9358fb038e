"""Test when a daemon takes itself for partitioned, and its probes."""

import unittest
from random import Random

from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.relay import (
    ContactFailure,
    PartitionDetector,
    ProbeSchedule,
    Target,
)
from yuccavalve.relay.const import PROBES_PER_S


def _target(number: int, group: str = '', service: str = 'llm') -> Target:
    name = f'i-{number}'
    return Target(
        name, group or name, service, 'zone-a', is_plain=service != 'llm'
    )


class PartitionDetectorTest(unittest.TestCase):
    """Failures of several engines, with and without successes."""

    def setUp(self) -> None:
        """Create a detector."""
        self.detector = PartitionDetector()

    def _fail(
        self,
        targets: list[Target],
        kind: ContactFailure = ContactFailure.REFUSED,
        began_at_s: float = 10,
    ) -> None:
        for target in targets:
            self.detector.record_failure(
                target, kind, began_at_s, began_at_s + 0.15
            )

    def _is_partitioned(self, delayed_at_s: float = 0) -> bool:
        self.detector.check(10.2, delayed_at_s)
        return self.detector.partitioned

    def test_failures_of_different_engines_are_a_partition(self) -> None:
        self._fail([_target(number) for number in range(4)])
        self.assertTrue(self._is_partitioned())

    def test_replica_that_fails_is_no_partition(self) -> None:
        self._fail([_target(number, 'r-1') for number in range(12)])
        self._fail([_target(20)])
        self.assertFalse(self._is_partitioned())

    def test_plain_service_that_fails_is_no_partition(self) -> None:
        self._fail([_target(number, service='web') for number in range(4)])
        self.assertFalse(self._is_partitioned())

    def test_few_engines_are_no_partition(self) -> None:
        self._fail([_target(number) for number in range(3)])
        self.assertFalse(self._is_partitioned())

    def test_silent_streams_alone_are_no_partition(self) -> None:
        targets = [_target(number) for number in range(8)]
        self._fail(targets, ContactFailure.SILENT)
        self.assertFalse(self._is_partitioned())
        self._fail([_target(20), _target(21)], ContactFailure.TIMED_OUT)
        self.assertTrue(self._is_partitioned())

    def test_timeouts_of_a_delayed_event_loop_do_not_count(self) -> None:
        targets = [_target(number) for number in range(6)]
        self._fail(targets, ContactFailure.TIMED_OUT)
        self.assertFalse(self._is_partitioned(delayed_at_s=10.1))

    def test_later_connection_refutes_failures(self) -> None:
        self._fail([_target(number) for number in range(6)])
        self.detector.record_connected(10.05)
        self.assertFalse(self._is_partitioned())

    def test_earlier_connection_refutes_nothing(self) -> None:
        """Connections of before the cut may live on."""
        self._fail([_target(number) for number in range(4)])
        self.detector.record_connected(9.9)
        self.assertTrue(self._is_partitioned())

    def test_old_failures_do_not_count(self) -> None:
        self._fail([_target(number) for number in range(4)])
        self.detector.check(13)
        self.assertFalse(self.detector.partitioned)

    def test_partition_ends_if_a_single_engine_is_left(self) -> None:
        """Guards against relaying for ever after all others were lost."""
        self._fail([_target(number) for number in range(4)])
        self.detector.check(10.2)
        outcomes = [(0, None), (1, ContactFailure.REFUSED), (0, None)]
        ended = []
        for number, (engine, failure) in enumerate(outcomes):
            at_s = 11 + number * 0.25
            self.detector.record_probe(_target(engine), failure, at_s, at_s)
            ended.append(self.detector.check(at_s) is not None)
        self.assertEqual(ended, [False, False, True])

    def test_partition_ends_when_two_engines_are_reached(self) -> None:
        self._fail([_target(number) for number in range(4)])
        self.detector.check(10.2)
        outcomes = [None, ContactFailure.REFUSED, None, None]
        ended = []
        for number, failure in enumerate(outcomes):
            target = _target(number // 2)
            at_s = 11 + number * 0.25
            self.detector.record_probe(target, failure, at_s, at_s)
            ended.append(self.detector.check(at_s) is not None)
        self.assertEqual(ended, [False, False, True, False])
        self.assertFalse(self.detector.is_suspected())


class ProbeScheduleTest(unittest.TestCase):
    """Probes of engines in three zones."""

    def setUp(self) -> None:
        """Create the engines."""
        self.records = [
            EngineRecord(f'i-{number}', 'llm', 'a:1', f'zone-{number % 3}')
            for number in range(9)
        ]
        self.schedule = ProbeSchedule(Random(1))

    def _choose(self, now_s: float) -> EngineRecord:
        record = self.schedule.choose(self.records, {'llm/i-0'}, now_s)
        assert record is not None
        return record

    def test_never_more_than_four_in_a_second(self) -> None:
        begun_at_s: list[float] = []
        for step in range(300):
            now_s = 10 + step * 0.01
            partitioned = step > 60
            for _ in range(self.schedule.due(now_s, partitioned=partitioned)):
                self._choose(now_s)
                begun_at_s.append(now_s)
        most = max(
            sum(at_s <= other < at_s + 0.999 for other in begun_at_s)
            for at_s in begun_at_s
        )
        self.assertLessEqual(most, PROBES_PER_S)
        self.assertGreaterEqual(len(begun_at_s), 10)

    def test_first_probes_go_to_different_zones(self) -> None:
        """A zone that is cut off must not be taken for all engines."""
        chosen = [self._choose(10) for _ in range(3)]
        self.assertEqual(len({each.availability_zone for each in chosen}), 3)
        self.assertNotIn('i-0', {each.engine for each in chosen})
