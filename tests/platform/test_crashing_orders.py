"""Orders of the planner that crash each engine that carries them out."""

import asyncio
import unittest

from tests.platform import builders
from tests.platform.standin import FleetStandin
from tests.platform.support import DaemonRun, async_stop_all, async_until

_ENGINES = 8
_CRASHES = 3
_STABLE_S = 3.0
_MAX_FURTHER = 3
_WATCHED_S = 6.0


class CrashingOrderTest(unittest.IsolatedAsyncioTestCase):
    """One daemon before engines that end when they join a group."""

    async def test_model_does_not_crash_engine_after_engine(self) -> None:
        fleet = FleetStandin()
        fleet.crashes_on_join = True
        await fleet.async_start(builders.engine_options(count=_ENGINES))
        await fleet.async_configure(builders.configuration())
        daemon = DaemonRun(builders.settings(fleet.store_address))
        try:
            await daemon.async_start()
            await async_until(
                lambda: len(fleet.crashed) >= _CRASHES, 'engines crash'
            )
            await asyncio.sleep(_STABLE_S)
            before = len(fleet.crashed)
            await asyncio.sleep(_WATCHED_S)
            self.assertLessEqual(len(fleet.crashed) - before, _MAX_FURTHER)
        finally:
            await async_stop_all(fleet, daemon)
