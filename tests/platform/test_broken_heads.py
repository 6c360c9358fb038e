"""Engines that stop at any byte of an answer.

Guards against callers who get a 200 with an empty or short body that looks
complete, and against once-only requests that are repeated or reported as not
run, when an answer ends in its status line, a field, an interim head, a chunk
size or the last chunk.
"""

import unittest
from typing import Any

import attrs

from tests.platform import builders
from tests.platform.scripted import (
    FRAMINGS,
    MAIN_FRAMINGS,
    MANY_SLOTS,
    ONCE,
    REPEATABLE,
    RESUMABLE,
    STREAM_ONCE,
    Batch,
    check_broken,
    check_whole,
    configuration,
    knows_all,
    prepare,
    settings,
)
from tests.platform.standin import FleetStandin
from tests.platform.support import DaemonRun, async_stop_all, async_until


class OneDaemon(unittest.IsolatedAsyncioTestCase):
    """One daemon, three replicas and three plain servers."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in and a daemon."""
        prepare(self)
        self.fleet = FleetStandin()
        options = builders.engine_options(count=6, plain=3)
        await self.fleet.async_start(
            attrs.evolve(each, slots=MANY_SLOTS) for each in options
        )
        await self.fleet.async_configure(configuration())
        self.daemon = DaemonRun(settings(self.fleet))
        await self.daemon.async_start()
        await async_until(lambda: knows_all(self.daemon), 'all serve')

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop the daemon and the stand-in."""
        await async_stop_all(self.fleet, self.daemon)

    async def async_run_batch(self, batch: Batch) -> Any:
        for engine in self.fleet.engines.values():
            engine.answer_bytes = batch.script
        return await batch.async_run(self.daemon.caller_address)


class BrokenHeadTest(OneDaemon):
    """Answers that break off."""

    async def _async_check_cuts(self, *targets: str) -> None:
        batch = Batch()
        for target in targets:
            for framing in FRAMINGS:
                batch.add_cuts(target, framing, resets=False)
            is_once = target in {ONCE, STREAM_ONCE}
            for framing in FRAMINGS if is_once else MAIN_FRAMINGS:
                batch.add_cuts(target, framing, resets=True)
        check_broken(self, batch, await self.async_run_batch(batch))

    async def test_whole_answer_that_breaks_off(self) -> None:
        await self._async_check_cuts(ONCE, REPEATABLE)

    async def test_stream_that_breaks_off(self) -> None:
        await self._async_check_cuts(STREAM_ONCE, RESUMABLE)

    async def test_continued_stream_that_breaks_off(self) -> None:
        batch = Batch()
        for framing in FRAMINGS:
            batch.add_continued_cuts(framing, resets=False)
        for framing in MAIN_FRAMINGS:
            batch.add_continued_cuts(framing, resets=True)
        check_broken(self, batch, await self.async_run_batch(batch))

    async def test_answer_that_pauses_is_whole(self) -> None:
        batch = Batch()
        for framing in FRAMINGS:
            batch.add_pauses(ONCE, framing)
            batch.add_pauses(STREAM_ONCE, framing)
        check_whole(self, batch, await self.async_run_batch(batch))
