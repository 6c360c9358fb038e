"""A short fault soak, and reruns of the seeds that once failed."""

import tempfile
import unittest
from pathlib import Path

from script.tools.soak.runner import Soak
from script.tools.soak.schedule import (
    FaultKind,
    ScheduleName,
    calm_schedule,
    return_schedule,
    schedule,
)

_LENGTH_S = 6.0
_CALM_LENGTH_S = 12.0
_RETURNS_LENGTH_S = 16.0
# Seed, length in seconds and cause of the failure when it was found.
_FAILED_SEEDS = (
    (
        50,
        9.0,
        'SIGTERM 0.1 s after the start of a process, before the interpreter '
        'could install a handler; the check asked for status 0 even then',
    ),
    (
        914,
        12.0,
        'SIGHUP 0.2 s after the start of a process ended it, since its '
        'handler is installed after the imports',
    ),
)


class ShortSoak(unittest.IsolatedAsyncioTestCase):
    """Daemon processes that use the stand-in platform."""

    async def _async_play(
        self,
        seed: int,
        length_s: float,
        name: ScheduleName = ScheduleName.ANY,
    ) -> None:
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(seed, length_s, Path(folder), name)
            self.assertEqual(await soak.async_run(), [])
            self.assertIn(200, {each.status for each in soak.seen})

    async def test_one_seed(self) -> None:
        await self._async_play(1, _LENGTH_S)

    async def test_no_request_is_lost_while_engines_are_only_silent(
        self,
    ) -> None:
        await self._async_play(2, _CALM_LENGTH_S, ScheduleName.CALM)

    async def test_store_returns_from_copies(self) -> None:
        await self._async_play(1, _RETURNS_LENGTH_S, ScheduleName.RETURNS)

    async def test_seeds_that_failed(self) -> None:
        for seed, length_s, _ in _FAILED_SEEDS:
            with self.subTest(seed=seed):
                await self._async_play(seed, length_s)


class ScheduleTest(unittest.TestCase):
    """Fault schedules that are drawn from a seed."""

    def test_a_seed_gives_the_same_schedule(self) -> None:
        self.assertEqual(schedule(5, 30), schedule(5, 30))
        kinds = {
            fault.kind
            for draw in (schedule, return_schedule)
            for seed in range(30)
            for fault in draw(seed, 12)
        }
        self.assertEqual(kinds, set(FaultKind))

    def test_calm_schedules_excuse_no_lost_request(self) -> None:
        silences_s = [
            fault.duration_s
            for seed in range(30)
            for fault in calm_schedule(seed, 12)
            if fault.kind is FaultKind.ENGINE_SILENT
        ]
        self.assertLessEqual(max(silences_s), 1.2)
