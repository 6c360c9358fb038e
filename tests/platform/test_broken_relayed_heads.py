"""Relayed requests whose engine or daemon stops at any byte of an answer.

Guards against the same failures as ``test_broken_heads``, on the path on which
one daemon has a request answered by another.
"""

import unittest
from typing import Any

import attrs

from tests.platform import builders
from tests.platform.scripted import (
    CHUNKS_FIRST,
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
from tests.platform.support import (
    Caller,
    DaemonRun,
    async_stop_all,
    async_until,
)
from tests.platform.test_partitioned_daemons import EngineCut
from yuccavalve.results import ResultCode

_TARGETS = (ONCE, REPEATABLE, STREAM_ONCE, RESUMABLE)
_CUT = 'reset'
_DAEMONS = 4


@attrs.define
class _Redirect:
    """Sends what goes to other daemons to a scripted server."""

    port: Any
    address: str

    async def async_open(self, request: Any) -> Any:
        """Open an exchange with the server."""
        return await self.port.async_open(
            attrs.evolve(request, address=self.address)
        )


class RelayingDaemons(unittest.IsolatedAsyncioTestCase):
    """Four daemons, the first of which reaches no engine."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in and the daemons, and cut the first one off."""
        prepare(self)
        self.fleet = FleetStandin()
        options = builders.engine_options(count=6, plain=3)
        await self.fleet.async_start(
            attrs.evolve(each, slots=MANY_SLOTS) for each in options
        )
        await self.fleet.async_configure(configuration())
        self.daemons: list[DaemonRun] = []
        for number in range(_DAEMONS):
            own = settings(self.fleet, f'front-{number}')
            listen = attrs.evolve(own.listen, relay_address='127.0.0.1:0')
            daemon = DaemonRun(attrs.evolve(own, listen=listen), seed=number)
            if not number:
                cut = EngineCut(daemon.node)
            await daemon.async_start()
            self.daemons.append(daemon)
        self.first = self.daemons[0].node
        await async_until(
            lambda: (
                all(map(knows_all, self.daemons))
                and len(self._neighbors()) == _DAEMONS - 1
            ),
            'the daemons know each other and the engines',
        )
        cut.begin(_CUT)
        caller = Caller(self.daemons[0].caller_address, builders.KEY)
        await caller.async_call('GET', REPEATABLE, 'cut')
        await async_until(
            lambda: self.first.reach.partitioned, 'the cut is noticed', 2
        )

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop the daemons and the stand-in."""
        await async_stop_all(self.fleet, *self.daemons)

    def _neighbors(self) -> Any:
        sender = self.first.relay_sender
        return sender.chooser.neighbors(self.first.clock.now_s())

    def redirect(self) -> None:
        """Let a scripted server stand in for the other daemons."""
        sender = self.first.relay_sender
        sender.port = _Redirect(sender.port, self.fleet.engines['p-0'].address)

    async def async_check(self, batch: Batch, check: Any) -> None:
        for engine in self.fleet.engines.values():
            engine.answer_bytes = batch.script
        address = self.daemons[0].caller_address
        check(self, batch, await batch.async_run(address))
        self.assertTrue(self.first.reach.partitioned)


class BrokenRelayedHeadTest(RelayingDaemons):
    """Answers that break off."""

    async def test_engine_of_another_daemon_breaks_off(self) -> None:
        batch = Batch()
        for target in _TARGETS:
            for framing in MAIN_FRAMINGS:
                batch.add_cuts(target, framing, resets=False)
        for framing in MAIN_FRAMINGS:
            batch.add_cuts(ONCE, framing, resets=True)
        await self.async_check(batch, check_broken)

    async def test_another_daemon_breaks_off(self) -> None:
        batch = Batch()
        for target in _TARGETS:
            for framing in FRAMINGS:
                batch.add_cuts(target, framing, resets=False)
            batch.add_cuts(target, CHUNKS_FIRST, resets=True)
        batch.add_continued_cuts(CHUNKS_FIRST, resets=False)
        self.redirect()
        await self.async_check(batch, check_broken)

    async def test_refusal_of_another_daemon_breaks_off(self) -> None:
        """A broken refusal is no statement that the request has not run."""
        batch = Batch()
        for target in _TARGETS:
            for code in (ResultCode.MEMBER_LEAVING, ResultCode.NO_REPLICA):
                batch.add_refusal_cuts(target, int(code))
        self.redirect()
        await self.async_check(batch, check_broken)

    async def test_answer_of_another_daemon_that_pauses_is_whole(self) -> None:
        batch = Batch()
        for target in (ONCE, STREAM_ONCE):
            for framing in MAIN_FRAMINGS:
                batch.add_pauses(target, framing)
        self.redirect()
        await self.async_check(batch, check_whole)
