"""Daemons that reach no engine have other daemons answer their requests."""

import asyncio
import contextlib
import unittest
from collections.abc import Callable
from typing import Any

import attrs

from tests.platform import builders
from tests.platform.standin import FleetStandin
from tests.platform.support import (
    Caller,
    DaemonRun,
    async_stop_all,
    async_until,
)
from tests.platform.test_continued_streams import ANSWERS, resumed_answer
from yuccavalve.exceptions import BackendLostError, BackendNotReachedError
from yuccavalve.relay.const import VERDICT_MAX_WAIT_S
from yuccavalve.results import ResultCode

__all__ = ('EngineCut',)

_STREAM = {'model': builders.MODEL, 'token_counts': '100,80'}
_HANG = 'hang'
_RESET = 'reset'
_REFUSE_NEW = 'refuse_new'
_HOLD = 'hold'
_EVENTS = list(range(1, 9))


class EngineCut:
    """Cuts a daemon off from engines, in front of its ports."""

    def __init__(self, node: Any) -> None:
        """Stand in front of the ports of a daemon."""
        self.mode = ''
        self.began = asyncio.Event()
        self.ended = asyncio.Event()
        self.probes = 0
        dispatcher = node.gateway._dispatcher
        self.backend = dispatcher.backend
        self.relay = node.ports.relay
        dispatcher.backend = self
        node.ports = attrs.evolve(node.ports, relay=_CutProbes(self))

    def begin(self, mode: str) -> None:
        """Begin the cut."""
        self.mode = mode
        self.ended.clear()
        self.began.set()

    def end(self) -> None:
        """End the cut."""
        self.mode = ''
        self.began.clear()
        self.ended.set()

    async def async_check(self) -> None:
        """Fail as a new connection does during the cut."""
        if self.mode == _HOLD:
            await self.ended.wait()
        if self.mode == _HANG:
            await asyncio.sleep(0.15)
            raise BackendNotReachedError('cut') from TimeoutError()
        if self.mode:
            raise BackendNotReachedError('cut') from ConnectionRefusedError()

    async def async_open(self, request: Any) -> Any:
        """Open an exchange with an engine."""
        await self.async_check()
        return _CutAnswer(self, await self.backend.async_open(request))


class _CutProbes:
    """Probes that are cut off, too."""

    def __init__(self, cut: EngineCut) -> None:
        self.cut = cut

    async def async_probe(self, address: str, timeout_s: float) -> None:
        self.cut.probes += 1
        await self.cut.async_check()
        await self.cut.relay.async_probe(address, timeout_s)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.cut.relay, name)


class _StoppingRelay:
    """A relay port that stops its daemon while it connects to another."""

    def __init__(self, daemon: DaemonRun) -> None:
        """Stand in front of the port of a daemon."""
        self.stop: asyncio.Task[int] | None = None
        self._daemon = daemon
        self._relay = daemon.node.relay_sender.port
        daemon.node.relay_sender.port = self

    async def async_open(self, request: Any) -> Any:
        """Begin the stop, and open an exchange with a daemon."""
        if self.stop is None:
            self.stop = asyncio.create_task(self._daemon.async_stop())
        stop = self._daemon.node.gateway.stop
        await async_until(lambda: stop.stopping, 'the daemon stops', 1)
        return await self._relay.async_open(request)


class _Relay:
    """Records what is sent to neighbors; without a port, none is reached."""

    def __init__(self, port: Any) -> None:
        self.port = port
        self.request_ids: list[str] = []

    async def async_open(self, request: Any) -> Any:
        self.request_ids.append(request.request_id)
        if self.port is None:
            raise BackendNotReachedError('down')
        return await self.port.async_open(request)


class _CutAnswer:
    """An answer that hangs or breaks off when the cut begins."""

    def __init__(self, cut: EngineCut, answer: Any) -> None:
        self._cut = cut
        self._answer = answer

    def __getattr__(self, name: str) -> Any:
        return getattr(self._answer, name)

    async def async_read(self) -> bytes:
        if self._cut.mode == _HANG:
            await self._cut.ended.wait()
        reading = asyncio.create_task(self._answer.async_read())
        cutting = asyncio.create_task(self._cut.began.wait())
        try:
            await asyncio.wait(
                (reading, cutting), return_when=asyncio.FIRST_COMPLETED
            )
            if self._cut.mode == _HANG and not reading.done():
                reading.cancel()
                await self._cut.ended.wait()
                return await self._answer.async_read()
            if self._cut.mode == _RESET:
                raise BackendLostError('cut')
            return await reading
        finally:
            cutting.cancel()
            reading.cancel()
            with contextlib.suppress(asyncio.CancelledError, BackendLostError):
                await reading


class PartitionedDaemonsTest(unittest.IsolatedAsyncioTestCase):
    """Three daemons with relay addresses, and engines of two replicas."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in and the daemons."""
        self.fleet = FleetStandin()
        await self.fleet.async_start(builders.engine_options(count=6))
        await self.fleet.async_configure(builders.configuration())
        self.daemons: list[DaemonRun] = []
        self.cuts: list[EngineCut] = []
        self.callers: list[Caller] = []
        for number in range(3):
            settings = builders.settings(
                self.fleet.store_address, name=f'front-{number}'
            )
            listen = attrs.evolve(settings.listen, relay_address='127.0.0.1:0')
            daemon = DaemonRun(
                attrs.evolve(settings, listen=listen), seed=number
            )
            self.cuts.append(EngineCut(daemon.node))
            await daemon.async_start()
            self.daemons.append(daemon)
            self.callers.append(Caller(daemon.caller_address, builders.KEY))
        await async_until(
            lambda: all(
                len(
                    each.node.relay_sender.chooser.neighbors(
                        each.node.clock.now_s()
                    )
                )
                == 2
                and len(each.node.view.heads('llm', builders.MODEL)) >= 2
                and len(each.node.view.backends('portal')) == 2
                for each in self.daemons
            ),
            'the daemons know each other and the engines',
        )

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop the daemons and the stand-in."""
        await async_stop_all(self.fleet, *self.daemons)

    async def _async_cut(self, mode: str, *numbers: int) -> None:
        """Cut daemons off, and wait until they have noticed."""
        for number in numbers:
            self.cuts[number].begin(mode)
        for number in numbers:
            await self._async_get(number, f'cut-{number}')
        await async_until(
            lambda: all(
                self.daemons[number].node.reach.partitioned
                for number in numbers
            ),
            'the daemons have noticed that they are cut off',
            1,
        )

    async def _async_get(self, number: int, request_id: str) -> Any:
        return await self.callers[number].async_call(
            'GET', '/get/x', request_id, deadline_ms='2000'
        )

    async def _async_end_cut(self) -> None:
        """End a cut, and wait until a second has passed without probes."""
        self.cuts[0].end()
        await async_until(
            lambda: not self.daemons[0].node.reach.partitioned,
            'the end of the cut is noticed',
            2,
        )
        await asyncio.sleep(1)

    def _runs(self, request_id: str) -> int:
        return sum(
            each.runs.count(request_id) for each in self.fleet.engines.values()
        )

    async def test_first_request_of_each_cut_is_answered(self) -> None:
        for mode in (_HANG, _RESET, _REFUSE_NEW):
            with self.subTest(mode=mode):
                self.cuts[0].begin(mode)
                loop = asyncio.get_running_loop()
                began_at_s = loop.time()
                answer = await self._async_get(0, f'id-{mode}')
                self.assertEqual(answer.status, 200, answer.body)
                self.assertLess(loop.time() - began_at_s, 0.8)
                self.assertTrue(self.daemons[0].node.reach.partitioned)
                await self._async_end_cut()

    async def test_fields_of_the_caller_arrive_unchanged(self) -> None:
        await self._async_cut(_RESET, 0)
        answer = await self.callers[0].async_call(
            'POST', '/once/x?a=1', 'id-1', body=b'letter', deadline_ms='900'
        )
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers[b'request-id'], b'id-1')
        self.assertIn(b'response-signature', answer.headers)
        seen = next(
            each
            for engine in self.fleet.engines.values()
            for each in engine.received_headers
            if each['request-id'] == 'id-1'
        )
        self.assertEqual(seen['tenant'], 'north')
        self.assertNotIn('x-api-key', seen)
        self.assertLessEqual(int(seen['deadline-ms']), 900)

    async def _async_stream_during(self, mode: str) -> list[int]:
        """Cut a daemon off during a stream; return the ids of its events."""
        pending = asyncio.create_task(
            self.callers[0].async_call(
                'POST', '/llm/x', f'id-{mode}', **_STREAM
            ),
        )
        await async_until(lambda: self._runs(f'id-{mode}'), 'it is run')
        self.cuts[0].begin(mode)
        await self._async_get(0, 'id-other')
        answer = await pending
        lines = answer.body.decode().splitlines()
        return [int(line[4:]) for line in lines if line.startswith('id: ')]

    async def test_streams_go_on_at_a_neighbor(self) -> None:
        for mode in (_HANG, _RESET, _REFUSE_NEW):
            with self.subTest(mode=mode):
                for engine in self.fleet.engines.values():
                    engine.break_after_events = -1
                events = await self._async_stream_during(mode)
                self.assertEqual(events, list(range(1, 9)))
                await self._async_end_cut()

    async def _async_stall(self, is_sent: Callable[[], bool]) -> Any:
        """Cut a stream off, and wait until it is sent to a neighbor."""
        for engine in self.fleet.engines.values():
            engine.options = attrs.evolve(engine.options, token_s=0.1)
        pending = asyncio.create_task(
            self.callers[0].async_call('POST', '/llm/x', 'id-1', **_STREAM),
        )
        await async_until(lambda: self._runs('id-1'), 'it is run')
        await asyncio.sleep(0.25)
        self.cuts[0].begin(_HANG)
        others = [
            asyncio.create_task(self._async_get(0, f'id-other-{number}'))
            for number in range(4)
        ]
        await async_until(is_sent, 'it is sent to a neighbor', 3)
        for other in others:
            other.cancel()
        return pending

    def _check_events(self, answer: Any) -> None:
        lines = answer.body.decode().splitlines()
        events = [int(line[4:]) for line in lines if line.startswith('id: ')]
        self.assertEqual(events, _EVENTS)
        self.assertEqual(self._runs('id-1'), 1)

    async def test_stalled_engine_goes_on_before_a_neighbor(self) -> None:
        """Guards against a stream that no neighbor takes over and is cut."""
        for cut in self.cuts[1:]:
            cut.begin(_HOLD)
        relay = _Relay(self.daemons[0].node.relay_sender.port)
        self.daemons[0].node.relay_sender.port = relay
        pending = await self._async_stall(lambda: 'id-1' in relay.request_ids)
        self.cuts[0].end()
        async with asyncio.timeout(5):
            self._check_events(await pending)
        running = self.daemons[0].node.activity.local_loads()
        self.assertFalse(running)

    async def test_stalled_engine_goes_on_after_neighbors_fail(self) -> None:
        """Guards against a stream that ends since no neighbor is reached."""
        relay = _Relay(None)
        self.daemons[0].node.relay_sender.port = relay
        pending = await self._async_stall(
            lambda: relay.request_ids.count('id-1') == 2
        )
        await asyncio.sleep(0.1)
        self.cuts[0].end()
        async with asyncio.timeout(5):
            self._check_events(await pending)

    async def test_neighbor_s_other_answer_breaks_a_stream_off(self) -> None:
        """A stream goes on only with the rest of the same stream."""
        for number, case in enumerate(ANSWERS[:7:2]):
            for engine in self.fleet.engines.values():
                engine.answer_bytes = resumed_answer(*case)
            name = f'id-{number}'
            answer = await self.callers[0].async_open(
                'POST', '/llm/x', name, name.encode(), **_STREAM
            )
            body = await answer.async_read()
            self.cuts[0].begin(_RESET)
            with self.subTest(case=case):
                with self.assertRaises(BackendLostError):
                    while chunk := await answer.async_read():
                        body += chunk
                self.assertNotIn(b'other', body)
            await self._async_get(0, 'id-other')
            await self._async_end_cut()

    async def test_neighbor_that_stopped_is_passed_over(self) -> None:
        await self._async_cut(_RESET, 0)
        await self.daemons[1].async_kill()
        for number in range(6):
            answer = await self._async_get(0, f'id-{number}')
            self.assertEqual(answer.status, 200)
            self.assertEqual(self._runs(f'id-{number}'), 1)

    async def test_request_that_a_neighbor_lost_is_not_repeated(self) -> None:
        """A once-only request may have run when its neighbor dies."""
        await self._async_cut(_RESET, 0)
        for engine in self.fleet.engines.values():
            engine.lose_answers = True
        pending = asyncio.create_task(
            self.callers[0].async_call('POST', '/once/x', 'id-1')
        )
        await async_until(lambda: self._runs('id-1'), 'it is run')
        for daemon in self.daemons[1:]:
            if len(daemon.node.gateway.running):
                await daemon.async_kill()
        answer = await pending
        self.assertEqual(answer.status, 502, answer.body)
        self.assertEqual(self._runs('id-1'), 1)

    async def test_all_daemons_cut_off_refuse_at_once(self) -> None:
        await self._async_cut(_RESET, 0, 1, 2)
        await async_until(
            lambda: not self.daemons[0].node.relay_sender.has_neighbor(),
            'the daemon knows that no other one reaches engines',
            2,
        )
        loop = asyncio.get_running_loop()
        began_at_s = loop.time()
        answer = await self._async_get(0, 'id-1')
        self.assertEqual(answer.status, 503)
        self.assertIn(b'2014', answer.body)
        self.assertIn(b'retry-after', answer.headers)
        self.assertLess(loop.time() - began_at_s, 0.1)
        entries = self.daemons[0].node.entry_directory.addresses('zone-a')
        self.assertEqual(len(entries), 3)

    async def test_relayed_request_is_not_relayed_again(self) -> None:
        await self._async_cut(_RESET, 0, 1)
        member = self.daemons[1].node.roster.local_member
        caller = Caller(member.relay_address, builders.KEY)
        answer = await caller.async_call('GET', '/get/x', 'id-1')
        self.assertEqual(answer.status, 503)
        self.assertIn(b'2014', answer.body)
        self.assertEqual(self._runs('id-1'), 0)

    async def test_nothing_is_relayed_that_a_stop_may_cut(self) -> None:
        """Guards against a stop that begins while a neighbor is connected."""
        await self._async_cut(_RESET, 0)
        relay = _StoppingRelay(self.daemons[0])
        answer = await self.callers[0].async_call('POST', '/once/x', 'id-1')
        self.assertEqual(answer.status, 503)
        self.assertIn(ResultCode.MEMBER_LEAVING.name, str(answer.body))
        self.assertEqual(self._runs('id-1'), 0)
        if relay.stop is not None:
            await relay.stop

    async def test_others_learn_of_it_and_no_strikes(self) -> None:
        await self._async_cut(_HANG, 0)
        own = self.daemons[0].node.roster.local_member.member
        other = self.daemons[1].node
        await async_until(
            lambda: own in other.share_state.engines_unreachable_at(),
            'another daemon knows of the partition',
            1,
        )
        entries = other.entry_directory.addresses('zone-a')
        self.assertNotIn(self.daemons[0].caller_address, entries)
        await async_until(
            lambda: not other.share_state.strikes(),
            'no strikes are told',
            1,
        )

    async def test_planner_that_is_cut_off_yields(self) -> None:
        plans = [each.node.share_state.plans for each in self.daemons]
        planner = plans.index(True)
        await self._async_cut(_RESET, planner)
        await async_until(
            lambda: any(
                each.node.share_state.plans
                for number, each in enumerate(self.daemons)
                if number != planner
            ),
            'another daemon plans',
            4,
        )
        self.assertFalse(self.daemons[planner].node.share_state.plans)

    async def test_failure_of_one_replica_is_no_partition(self) -> None:
        heads = self.daemons[0].node.view.heads('llm', builders.MODEL)
        await self.fleet.async_kill(heads[0].engine)
        for number in range(8):
            await self.callers[0].async_call(
                'POST', '/llm/x', f'id-{number}', **_STREAM
            )
        await asyncio.sleep(VERDICT_MAX_WAIT_S)
        self.assertFalse(self.daemons[0].node.reach.partitioned)
        self.assertLessEqual(self.cuts[0].probes, 24)

    async def test_caller_that_leaves_ends_the_relayed_request(self) -> None:
        await self._async_cut(_RESET, 0)
        answer = await self.callers[0].async_open(
            'POST',
            '/llm/x',
            'id-1',
            model=builders.MODEL,
            token_counts='100,2000',
        )
        running = [each.node.gateway.running for each in self.daemons]
        self.assertEqual(sum(map(len, running)), 2)
        answer.close()
        await async_until(
            lambda: not sum(map(len, running)), 'nothing is in flight', 0.5
        )
