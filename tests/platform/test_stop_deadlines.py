"""Requests that arrive at any moment of a planned stop."""

import asyncio
import unittest
from typing import Any

import attrs

from tests.platform import builders
from tests.platform.standin import FleetStandin
from tests.platform.support import (
    Answer,
    Caller,
    DaemonRun,
    KeptConnection,
    async_stop_all,
    async_until,
)
from yuccavalve.exceptions import BackendLostError, BackendNotReachedError
from yuccavalve.results import ResultCode

_INTERVAL_S = 0.1
_STOP_S = 30.0
_SLOTS = 200
_NOT_RUN = frozenset((429, 503))
_MS = 1000
_DEADLINES_MS = (200, 700, 1300, 2500, 60000)
# Time that engines take, in seconds, whole requests and the event of a stream.
_WORK = ((0.02, 0.01), (0.6, 0.08), (1.2, 0.15))


@attrs.define
class _Sent:
    """A request and what its caller got."""

    request_id: str
    deadline_ms: int
    status: int = 0
    body: bytes = b''
    took_s: float = 0
    was_cut: bool = False
    is_kept: bool = False


class StopDeadlinesTest(unittest.IsolatedAsyncioTestCase):
    """A daemon with a grace time of 3 s, two replicas, two plain servers."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in and a daemon."""
        self.sent: list[_Sent] = []
        self.fleet = FleetStandin()
        await self.fleet.async_start(builders.engine_options(count=4))
        configuration = builders.configuration()
        configuration['routes'].append(
            builders.route(
                'quick', '/quick/', kind='non_idempotent', timeout_ms=400
            )
        )
        configuration['services'][0]['engine']['slots'] = _SLOTS
        await self.fleet.async_configure(configuration)
        self.daemon = DaemonRun(builders.settings(self.fleet.store_address))
        await self.daemon.async_start()
        view = self.daemon.node.view
        await async_until(
            lambda: (
                len(view.backends('portal')) == 2
                and len(view.heads('llm', builders.MODEL)) == 2
            ),
            'both services serve',
        )
        self.caller = Caller(self.daemon.caller_address, builders.KEY)

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop the daemon and the stand-in."""
        await async_stop_all(self.fleet, self.daemon)

    def _set_work(self, plain_s: float, event_s: float) -> None:
        for engine in self.fleet.engines.values():
            is_plain = engine.options.service == 'portal'
            engine.options = attrs.evolve(
                engine.options,
                slots=_SLOTS,
                token_s=plain_s if is_plain else event_s,
            )

    async def _async_record(self, sent: _Sent, call: Any) -> None:
        self.sent.append(sent)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        try:
            answer: Answer = await call
        except BackendNotReachedError:
            self.sent.remove(sent)
        except BackendLostError:
            sent.was_cut = True
            sent.took_s = loop.time() - began_s
        else:
            sent.status = answer.status
            sent.body = answer.body

    def _send_all(self, tasks: asyncio.TaskGroup, moment: int) -> None:
        """Send one request of each kind and deadline."""
        for deadline_ms in _DEADLINES_MS:
            for target in ('/get/x', '/once/x', '/llm/x'):
                request_id = f'{moment}{target}/{deadline_ms}'
                call = self.caller.async_call(
                    'POST',
                    target,
                    request_id,
                    model=builders.MODEL,
                    token_counts='100,80',
                    deadline_ms=str(deadline_ms),
                )
                sent = _Sent(request_id, deadline_ms)
                tasks.create_task(self._async_record(sent, call))

    async def _async_keep_sending(self, target: str) -> None:
        """Send on a kept connection until the daemon is gone."""
        connection = KeptConnection(self.caller)
        number = 0
        while self.daemon.is_running:
            number += 1
            sent = _Sent(f'kept{target}/{number}', 400, is_kept=True)
            await self._async_record(
                sent, connection.async_call('GET', target, sent.request_id)
            )
            await asyncio.sleep(_INTERVAL_S / 2)
        connection.close()

    async def _async_play_stop(self) -> None:
        async with asyncio.timeout(_STOP_S), asyncio.TaskGroup() as tasks:
            for target in ('/quick/x', '/get/x'):
                tasks.create_task(self._async_keep_sending(target))
            await asyncio.sleep(_INTERVAL_S)
            tasks.create_task(self.daemon.async_stop())
            moment = 0
            while self.daemon.is_running:
                moment += 1
                self._send_all(tasks, moment)
                await asyncio.sleep(_INTERVAL_S)

    def _check(self) -> None:
        ran = set(self.fleet.all_runs)
        for sent in self.sent:
            has_run = sent.request_id in ran
            with self.subTest(request=sent.request_id, status=sent.status):
                if sent.status in _NOT_RUN:
                    self.assertFalse(has_run)
                elif sent.was_cut:
                    self.assertTrue(self._may_be_cut(sent, has_run=has_run))
                elif sent.status != 200:
                    self.assertIn(ResultCode.STREAM_SILENT.name, str(sent.body))

    def _may_be_cut(self, sent: _Sent, *, has_run: bool) -> bool:
        """Return whether its deadline or a crossing close excuses a cut."""
        is_late = sent.took_s >= sent.deadline_ms / _MS
        return is_late or (sent.is_kept and not has_run)

    async def test_every_request_passed_on_is_answered(self) -> None:
        """Guards against cutting requests that came late in the grace."""
        await self._async_play_stop_with(*_WORK[0])

    async def test_every_long_request_passed_on_is_answered(self) -> None:
        """Guards against cutting requests that came late in the grace."""
        await self._async_play_stop_with(*_WORK[1])

    async def test_every_longest_request_passed_on_is_answered(self) -> None:
        """Guards against cutting requests that came late in the grace."""
        await self._async_play_stop_with(*_WORK[2])

    async def _async_play_stop_with(
        self, plain_s: float, event_s: float
    ) -> None:
        self._set_work(plain_s, event_s)
        await self._async_play_stop()
        self._check()
        statuses = {sent.status for sent in self.sent}
        self.assertLessEqual({200, 503}, statuses)

    async def test_body_that_ends_after_the_signal_is_not_passed_on(
        self,
    ) -> None:
        """Guards against passing on what was accepted before the signal."""
        self._set_work(*_WORK[2])
        host, _, port = self.caller.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        head = (
            'POST /once/x HTTP/1.1',
            'host: h.example',
            'request-id: slow-body',
            f'x-api-key: {builders.KEY}',
            'content-length: 2',
        )
        writer.write('\r\n'.join((*head, '', 'a')).encode())
        await async_until(
            lambda: len(self.daemon.node.gateway.running) == 1, 'it arrived'
        )
        stop = asyncio.create_task(self.daemon.async_stop())
        await async_until(
            lambda: self.daemon.node.gateway.stop.stopping, 'it stops'
        )
        writer.write(b'b')
        answer = await reader.read()
        await stop
        writer.close()
        self.assertIn(b' 503 ', answer.partition(b'\r\n')[0])
        self.assertNotIn('slow-body', self.fleet.all_runs)
