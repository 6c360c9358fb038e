"""Answers that engines break off, whatever marks the end of an answer."""

import asyncio
import unittest
from collections.abc import Mapping

from tests.platform import builders
from tests.platform.standin import FleetStandin, Framing
from tests.platform.support import (
    Answer,
    Caller,
    DaemonRun,
    async_stop_all,
    async_until,
)
from yuccavalve.exceptions import BackendLostError
from yuccavalve.fleet.activity import engine_key

_STREAM = {'model': builders.MODEL, 'token_counts': '100,80'}
_RESUMABLE = '/llm/x'
_NOT_RESUMABLE = '/once-llm/x'


def _head_alone(fields: Mapping[str, str]) -> bytes:
    """Return the head of a stream whose end is marked by the connection."""
    request_id = fields['request-id']
    lines = (
        'HTTP/1.1 200 OK',
        f'Request-Id: {request_id}',
        f'Response-Signature: {request_id}.i-0',
        'Content-Type: text/event-stream',
    )
    return '\r\n'.join((*lines, '', '')).encode()


def _events(body: bytes) -> list[int]:
    lines = body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith('id: ')]


class BrokenAnswerTest(unittest.IsolatedAsyncioTestCase):
    """One daemon, two replicas of two engines, two plain servers."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in and a daemon."""
        self.fleet = FleetStandin()
        await self.fleet.async_start(builders.engine_options(count=4))
        configuration = builders.configuration()
        configuration['routes'].append(
            builders.route(
                'stream-once',
                '/once-llm/',
                kind='streaming',
                service='llm',
                sticky=True,
                gap_target_ms=200,
            ),
        )
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

    def _set_faults(self, framing: Framing, break_after_events: int) -> None:
        for engine in self.fleet.engines.values():
            engine.framing = framing
            engine.break_after_events = break_after_events

    async def _async_until_none_suspect(self) -> None:
        node = self.daemon.node
        await async_until(
            lambda: (
                len(node.view.heads('llm', builders.MODEL)) == 2
                and not any(
                    node.activity.is_suspect(
                        engine_key(head), node.clock.now_s()
                    )
                    for head in node.view.heads('llm', builders.MODEL)
                )
            ),
            'two replicas serve and none is suspect',
        )

    async def _async_call(self, target: str, request_id: str) -> Answer:
        return await self.caller.async_call(
            'POST', target, request_id, **_STREAM
        )

    async def _async_call_broken_once(self, request_id: str) -> Answer:
        """Make a call whose first engine breaks its answer off."""
        pending = asyncio.create_task(self._async_call(_RESUMABLE, request_id))
        await async_until(
            lambda: request_id in self.fleet.all_runs,
            'an engine runs the request',
        )
        for engine in self.fleet.engines.values():
            if request_id not in engine.runs:
                engine.break_after_events = -1
        return await pending

    async def test_stream_closed_after_its_head_is_not_complete(self) -> None:
        """Guards against an empty stream for an engine that has stopped."""
        for engine in self.fleet.engines.values():
            engine.answer_bytes = _head_alone
        for target in (_RESUMABLE, _NOT_RESUMABLE):
            await self._async_until_none_suspect()
            with self.subTest(target=target):
                answer = await self._async_call(target, f'head-{target}')
                self.assertEqual(answer.status, 502)
        await self._async_until_none_suspect()
        stopped: list[str] = []

        def answer_once(fields: Mapping[str, str]) -> bytes:  # noqa: WPS430
            if stopped:
                return b''
            stopped.append(fields['request-id'])
            return _head_alone(fields)

        for engine in self.fleet.engines.values():
            engine.answer_bytes = answer_once
        answer = await self._async_call(_RESUMABLE, 'resumed')
        self.assertEqual(stopped, ['resumed'])
        self.assertEqual(_events(answer.body), list(range(1, 9)))

    async def test_stream_ended_inside_an_event_is_not_complete(self) -> None:
        for framing in Framing:
            self._set_faults(framing, break_after_events=3)
            for target in (_RESUMABLE, _NOT_RESUMABLE):
                await self._async_until_none_suspect()
                with (
                    self.subTest(framing=framing, target=target),
                    self.assertRaises(BackendLostError),
                ):
                    await self._async_call(target, f'{framing.value}-{target}')

    async def test_stream_ended_inside_an_event_is_resumed(self) -> None:
        for framing in Framing:
            await self._async_until_none_suspect()
            self._set_faults(framing, break_after_events=3)
            with self.subTest(framing=framing):
                answer = await self._async_call_broken_once(framing.value)
                self.assertEqual(_events(answer.body), list(range(1, 9)))
                self.assertTrue(answer.body.endswith(b'data: word8\n\n'))

    async def test_stream_that_sends_bytes_but_no_events_is_resumed(
        self,
    ) -> None:
        for engine in self.fleet.engines.values():
            engine.trickle_after_events = 3
        pending = asyncio.create_task(self._async_call(_RESUMABLE, 'trickles'))
        await async_until(
            lambda: 'trickles' in self.fleet.all_runs,
            'an engine runs the request',
        )
        for engine in self.fleet.engines.values():
            if 'trickles' not in engine.runs:
                engine.trickle_after_events = -1
        answer = await pending
        self.assertEqual(_events(answer.body), list(range(1, 9)))

    async def test_answers_without_a_length_are_relayed_whole(self) -> None:
        self._set_faults(Framing.CLOSE, break_after_events=-1)
        stream = await self._async_call(_NOT_RESUMABLE, 'id-1')
        self.assertEqual(_events(stream.body), list(range(1, 9)))
        plain = await self.caller.async_call('POST', '/get/x', 'id-2', b'body')
        self.assertEqual((plain.status, plain.body), (200, b'answer to body'))

    async def test_reset_answer_without_a_length_is_not_complete(self) -> None:
        self._set_faults(Framing.RESET, break_after_events=0)
        plain = await self.caller.async_call('POST', '/get/x', 'id-3', b'body')
        self.assertEqual(plain.status, 502)
        self.assertNotIn(b'response-signature', plain.headers)
